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
		if !it.offer.Deadline.After(now.Add(c.hold[rank].cautious())) {
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

// nextRank returns the rank whose next request may start.
//
// Engines run urgent requests before patient ones, so urgent requests are
// bounded by their own count: the capacity less the patient floor. Patient
// requests above the floor need a free slot that the urgent rank is not about
// to need.
func (c *Controller) nextRank() (types.Rank, bool) {
	urgent, patient := c.counts[types.RankUrgent], c.counts[types.RankPatient]
	patientWaits := c.queues[types.RankPatient].len() > 0
	floor := c.floorSlots()
	if patientWaits && patient < floor {
		return types.RankPatient, true
	}
	kept := patient
	if patientWaits {
		kept = floor
	}
	limit := c.capacity - min(kept, floor)
	if c.queues[types.RankUrgent].len() > 0 && urgent < limit+c.burst(limit) {
		return types.RankUrgent, true
	}
	room := urgent+patient < c.capacity && patient < c.capacity-c.urgentSlots()
	return types.RankPatient, patientWaits && room
}

// burst is how far a short rise of urgent requests may exceed the daemon's
// limit: the engines are shared with other daemons, whose urgent requests do
// not rise at the same moment. A lasting or a steep rise gets none.
func (c *Controller) burst(limit int) int {
	mean := c.demand.mean
	size := int(math.Ceil(burstDeviations * math.Sqrt(mean)))
	if mean >= burstBelow*float64(limit) || c.queues[types.RankUrgent].len() > size {
		return 0
	}
	return size
}

const (
	// burstBelow is the share of the limit that urgent demand must stay below
	// on average for a burst.
	burstBelow      = 0.95
	burstDeviations = 2.0
)

// floorSlots is the number of slots that the patient rank may hold against
// waiting urgent requests. Fractions of a slot are paid out in turns.
func (c *Controller) floorSlots() int {
	whole := int(c.options.PatientFloor * float64(c.capacity))
	if c.floor.due(c.hold[types.RankPatient].expected()) {
		whole++
	}
	return min(whole, c.capacity)
}

// urgentSlots is the number of slots that patient requests leave to urgent
// ones: what urgent requests used lately and a reserve for their variation.
func (c *Controller) urgentSlots() int {
	mean := c.demand.mean
	return int(math.Ceil(mean + c.options.UrgentReserve*math.Sqrt(mean)))
}

// demandEstimate smooths how many urgent requests run or wait.
type demandEstimate struct {
	updated time.Time
	mean    float64
}

// demandMemory is the time constant of the smoothing.
const demandMemory = 20 * time.Second

// advance accounts for the time since the last event, during which the count
// did not change.
func (d *demandEstimate) advance(now time.Time, count int) {
	elapsed := now.Sub(d.updated)
	if d.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	d.updated = now
	forgotten := 1 - math.Exp(-float64(elapsed)/float64(demandMemory))
	d.mean += (float64(count) - d.mean) * forgotten
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

// holdEstimate smooths how long requests keep a slot, in seconds.
type holdEstimate struct {
	mean      float64
	deviation float64
	known     bool
}

const (
	holdSmoothing = 0.02
	// holdDeviations is how many mean deviations a cautious estimate adds.
	holdDeviations = 2.0
)

func (h *holdEstimate) add(held time.Duration) {
	seconds := held.Seconds()
	if !h.known {
		h.mean = seconds
		h.known = true
		return
	}
	h.deviation += (math.Abs(seconds-h.mean) - h.deviation) * holdSmoothing
	h.mean += (seconds - h.mean) * holdSmoothing
}

func (h *holdEstimate) expected() time.Duration {
	return time.Duration(h.mean * float64(time.Second))
}

// cautious is a time within which most requests end.
func (h *holdEstimate) cautious() time.Duration {
	return time.Duration((h.mean + holdDeviations*h.deviation) * float64(time.Second))
}
