package admission

import (
	"math"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// startWaiting starts waiting requests while slots are free.
func (c *Controller) startWaiting(now time.Time) {
	for {
		rank, ok := c.nextRank()
		if !ok {
			return
		}
		queued := c.queues[rank].head()
		if !queued.offer.Deadline.After(now.Add(c.holdTimes[rank].upperEstimate())) {
			c.queues[rank].remove(queued)
			c.refuseOverloaded(queued.offer, now, "the request waited until its deadline was out of reach")
			continue
		}
		c.queues[rank].charge(queued)
		c.start(queued.offer, now)
	}
}

func (c *Controller) start(o Offer, now time.Time) {
	c.running[o.ID] = running{rank: o.Rank, org: o.Org, started: now}
	c.runningByRank[o.Rank]++
	c.runningByOrg[o.Org]++
	c.decisions = append(c.decisions, Decision{ID: o.ID, Outcome: Started, OrgRunning: c.runningByOrg[o.Org]})
}

// nextRank returns the rank whose next request may start.
//
// Engines run urgent requests before patient ones, so urgent requests are
// limited only by their own count: the capacity less the patient floor. Patient
// requests above the floor need a free slot that is not reserved for urgent
// requests.
func (c *Controller) nextRank() (types.Rank, bool) {
	urgent, patient := c.runningByRank[types.RankUrgent], c.runningByRank[types.RankPatient]
	patientWaits := c.queues[types.RankPatient].len() > 0
	floor := c.floorSlots()
	if patientWaits && patient < floor {
		return types.RankPatient, true
	}
	reserved := patient
	if patientWaits {
		reserved = floor
	}
	limit := c.capacity - min(reserved, floor)
	if c.queues[types.RankUrgent].len() > 0 && urgent < limit+c.burst(limit) {
		return types.RankUrgent, true
	}
	slotFree := urgent+patient < c.capacity && patient < c.capacity-c.urgentSlots()
	return types.RankPatient, patientWaits && slotFree
}

// burst returns how many urgent requests may run above the limit during a short
// rise in demand. The engines are shared with other daemons, whose urgent demand
// does not rise at the same moment. A lasting or a steep rise gets no burst.
func (c *Controller) burst(limit int) int {
	mean := c.urgentDemand.mean
	size := int(math.Ceil(burstDeviations * math.Sqrt(mean)))
	if mean >= burstMaxLoad*float64(limit) || c.queues[types.RankUrgent].len() > size {
		return 0
	}
	return size
}

const (
	// burstMaxLoad is the share of the limit that the average urgent demand
	// must stay below for a burst.
	burstMaxLoad = 0.95
	// burstDeviations is the size of a burst in standard deviations of urgent
	// demand, taken as the square root of its average.
	burstDeviations = 2.0
)

// floorSlots returns the number of slots that patient requests may occupy while
// urgent requests wait. The fractional part of the floor becomes a whole slot
// from time to time, whenever enough credit has accumulated.
func (c *Controller) floorSlots() int {
	slots := int(c.options.PatientFloor * float64(c.capacity))
	if c.patientCredit.coversRequest(c.holdTimes[types.RankPatient].expected()) {
		slots++
	}
	return min(slots, c.capacity)
}

// urgentSlots returns the number of slots that patient requests leave to urgent
// ones: the recent average of urgent demand and a reserve for its variation.
func (c *Controller) urgentSlots() int {
	mean := c.urgentDemand.mean
	return int(math.Ceil(mean + c.options.UrgentReserve*math.Sqrt(mean)))
}

// demandEstimate is an EWMA of the number of urgent requests that run or wait.
type demandEstimate struct {
	updated time.Time
	mean    float64
}

// demandTimeConstant is the time constant of the EWMA.
const demandTimeConstant = 20 * time.Second

// advance accounts for the time since the last event, during which the count
// was constant.
func (d *demandEstimate) advance(now time.Time, count int) {
	elapsed := now.Sub(d.updated)
	if d.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	d.updated = now
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	d.mean += (float64(count) - d.mean) * weight
}

// floorCredit is what the patient floor owes to the patient rank, in
// slot-seconds: the slots guaranteed while requests waited, less the slots used.
type floorCredit struct {
	updated time.Time
	credit  float64
}

// advance adds the time since the last event, at rate slots.
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

// coversRequest reports whether the credit covers at least half of a request's
// expected hold time.
func (f *floorCredit) coversRequest(hold time.Duration) bool {
	return f.credit > 0 && f.credit >= hold.Seconds()/2
}

// holdEstimate is an EWMA of how long requests hold a slot, in seconds, and of
// the mean deviation from it.
type holdEstimate struct {
	mean        float64
	deviation   float64
	initialized bool
}

const (
	holdSmoothing = 0.02
	// holdDeviations is how many mean deviations upperEstimate adds.
	holdDeviations = 2.0
)

func (h *holdEstimate) add(duration time.Duration) {
	seconds := duration.Seconds()
	if !h.initialized {
		h.mean = seconds
		h.initialized = true
		return
	}
	h.deviation += (math.Abs(seconds-h.mean) - h.deviation) * holdSmoothing
	h.mean += (seconds - h.mean) * holdSmoothing
}

func (h *holdEstimate) expected() time.Duration {
	return time.Duration(h.mean * float64(time.Second))
}

// upperEstimate is a time within which most requests end.
func (h *holdEstimate) upperEstimate() time.Duration {
	return time.Duration((h.mean + holdDeviations*h.deviation) * float64(time.Second))
}
