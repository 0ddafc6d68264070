package admission

import (
	"math"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// pump starts waiting requests while slots are free.
func (c *Controller) pump(now time.Time) {
	for {
		rank, ok := c.nextRank()
		if !ok {
			return
		}
		it := c.queues[rank].head()
		if it.offer.Deadline.Before(now.Add(c.hold[rank].expected() / 2)) {
			c.queues[rank].take(it)
			c.overloaded(it.offer, now, "the request waited until its deadline was out of reach")
			continue
		}
		c.queues[rank].charge(it)
		c.start(it.offer, now)
	}
}

func (c *Controller) start(o Offer, now time.Time) {
	c.running[o.ID] = running{rank: o.Rank, org: o.Org, started: now}
	c.counts[o.Rank]++
	c.byOrg[o.Org]++
	c.out = append(c.out, Decision{ID: o.ID, Outcome: Started, OrgRunning: c.byOrg[o.Org]})
}

// nextRank returns the rank whose next request may start. Urgent work goes
// first, but for the slots that the patient floor still lacks.
func (c *Controller) nextRank() (types.Rank, bool) {
	free := c.capacity - len(c.running)
	if free <= 0 {
		return 0, false
	}
	urgentWaits := c.queues[types.RankUrgent].len() > 0
	if c.queues[types.RankPatient].len() == 0 {
		return types.RankUrgent, urgentWaits
	}
	lacking := max(c.floorSlots()-c.counts[types.RankPatient], 0)
	if urgentWaits && free > lacking {
		return types.RankUrgent, true
	}
	return types.RankPatient, lacking > 0 || free > c.reserveSlots()
}

// floorSlots is the number of slots that the patient rank may hold against
// waiting urgent requests. Fractions of a slot are paid out in turns.
func (c *Controller) floorSlots() int {
	whole := int(c.options.PatientFloor * float64(c.capacity))
	if c.floor.due(c.hold[types.RankPatient].expected()) {
		whole++
	}
	return min(whole, c.capacity)
}

// reserveSlots is the number of slots that patient requests leave free.
func (c *Controller) reserveSlots() int {
	return int(math.Round(c.options.UrgentReserve * float64(c.capacity)))
}

// floorCredit is the account of the patient floor in slot-seconds: what the
// rank was owed while it had requests waiting, less what it got.
type floorCredit struct {
	updated time.Time
	credit  float64
}

// advance adds the time since the last event at the given rate.
func (f *floorCredit) advance(now time.Time, rate float64, waiting bool) {
	elapsed := now.Sub(f.updated).Seconds()
	if f.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	f.updated = now
	if !waiting {
		f.credit = 0
		return
	}
	f.credit = min(max(f.credit+rate*elapsed, 0), maxFloorCreditSlotSeconds)
}

// due reports whether the credit is worth most of one request's time.
func (f *floorCredit) due(hold time.Duration) bool {
	return f.credit > 0 && f.credit >= hold.Seconds()/2
}

// holdEstimate smooths how long requests keep a slot.
type holdEstimate struct {
	mean  float64
	known bool
}

const holdSmoothing = 0.02

func (h *holdEstimate) add(held time.Duration) {
	seconds := held.Seconds()
	if !h.known {
		h.mean = seconds
		h.known = true
		return
	}
	h.mean += (seconds - h.mean) * holdSmoothing
}

func (h *holdEstimate) expected() time.Duration {
	return time.Duration(h.mean * float64(time.Second))
}
