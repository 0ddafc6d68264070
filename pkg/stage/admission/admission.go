// Package admission is the stage that decides when a request may start. It
// serves two ranks: urgent requests first, by deadline; patient requests from a
// bounded queue, with a floor that urgent floods can't take. Inside a rank the
// organisations share fairly. What can't be served in time is refused at once.
//
// A Controller is a pure state machine for one service. Package gate adapts it
// to goroutines.
package admission

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Stage is the name of this stage in traces.
const Stage = "admission"

// ID identifies a request at one controller while it waits or runs.
type ID uint64

// Offer is a request that asks to start.
type Offer struct {
	ID   ID
	Rank types.Rank
	Org  types.OrgName
	// Share is the organisation's weight; 1 when it is not positive.
	Share float64
	// Cost is the work of the request in any unit that is the same for all
	// requests of the service, such as tokens; 1 when it is not positive.
	Cost float64
	// Bytes is the memory that the request holds while it waits.
	Bytes    int64
	Deadline time.Time
}

// Outcome says what became of an offer.
type Outcome uint8

// The outcomes.
const (
	// Started: the request may run now; Done must follow.
	Started Outcome = iota
	// Queued: another decision on the same request follows.
	Queued
	// Refused: the request was not run; Failure says why.
	Refused
)

// Decision is the outcome for one request.
type Decision struct {
	ID      ID
	Outcome Outcome
	// OrgRunning is, for a started request, how many requests of its
	// organisation run, this one included.
	OrgRunning int
	// Failure is set when the request is refused; its verdict is NotRun.
	Failure *types.Failure
}

// Completion tells that a started request ended.
type Completion struct {
	ID ID
	// Representative is false when the time it ran says nothing about others, for
	// example because the attempt failed at once.
	Representative bool
}

// Admitter is what the controller and the naive version have in common. None
// of its methods is safe for concurrent use. Each returns every decision that
// became due, for any request, in the order in which they were made.
type Admitter interface {
	// Offer asks for a request to start. Its ID must not be in use.
	Offer(o Offer, now time.Time) []Decision
	// Done frees the slot of a started request; an unknown ID is ignored.
	Done(c Completion, now time.Time) []Decision
	// Cancel forgets a waiting request or frees the slot of a started one,
	// without a decision on that request.
	Cancel(id ID, now time.Time) []Decision
	// SetCapacity sets how many requests may run at once.
	SetCapacity(slots int, now time.Time) []Decision
	// Tick refuses waiting requests that can no longer meet their deadline.
	// Call it a few times a second.
	Tick(now time.Time) []Decision
}

// Options sets a controller.
type Options struct {
	// MaxQueued bounds the waiting requests, by rank. Default 4096 each.
	MaxQueued [types.RankCount]int
	// MaxBytes bounds the memory of waiting requests, by rank. Default 48 MiB
	// each.
	MaxBytes [types.RankCount]int64
	// PatientFloor is the share of capacity, 0 to 1, that waiting patient
	// requests keep. Negative means none; default 0.1.
	PatientFloor float64
	// UrgentReserve is how many slots patient requests above the floor leave
	// to urgent ones beyond what those use on average, as a multiple of the
	// square root of that average. Negative means none; default 1.8.
	UrgentReserve float64
	// MaxWaitShare is the share, 0 to 1, of the time left after a request's own
	// work that it may be predicted to wait; beyond it the request is refused at
	// once. Default 0.5 for urgent and 0.9 for patient requests.
	MaxWaitShare [types.RankCount]float64
	// MaxRetryAfter bounds the advice to refused callers, by rank. Default
	// 10 s for urgent and 120 s for patient requests.
	MaxRetryAfter [types.RankCount]time.Duration
}

const (
	defaultMaxQueued          = 4096
	defaultMaxBytes           = 48 << 20
	defaultPatientFloor       = 0.1
	defaultUrgentReserve      = 1.8
	defaultUrgentWaitShare    = 0.5
	defaultPatientWaitShare   = 0.9
	defaultUrgentRetryAfter   = 10 * time.Second
	defaultPatientRetryAfter  = 120 * time.Second
	minRetryAfter             = time.Second
	maxFloorCreditSlotSeconds = 600.0
)

func (o *Options) setDefaults() {
	for rank := range o.MaxQueued {
		if o.MaxQueued[rank] <= 0 {
			o.MaxQueued[rank] = defaultMaxQueued
		}
		if o.MaxBytes[rank] <= 0 {
			o.MaxBytes[rank] = defaultMaxBytes
		}
	}
	if o.PatientFloor == 0 {
		o.PatientFloor = defaultPatientFloor
	}
	if o.UrgentReserve == 0 {
		o.UrgentReserve = defaultUrgentReserve
	}
	o.PatientFloor = min(max(o.PatientFloor, 0), 1)
	o.UrgentReserve = max(o.UrgentReserve, 0)
	if o.MaxWaitShare[types.RankUrgent] <= 0 {
		o.MaxWaitShare[types.RankUrgent] = defaultUrgentWaitShare
	}
	if o.MaxWaitShare[types.RankPatient] <= 0 {
		o.MaxWaitShare[types.RankPatient] = defaultPatientWaitShare
	}
	if o.MaxRetryAfter[types.RankUrgent] <= 0 {
		o.MaxRetryAfter[types.RankUrgent] = defaultUrgentRetryAfter
	}
	if o.MaxRetryAfter[types.RankPatient] <= 0 {
		o.MaxRetryAfter[types.RankPatient] = defaultPatientRetryAfter
	}
}

// running is one started request.
type running struct {
	rank    types.Rank
	org     types.OrgName
	started time.Time
}

// Controller admits the requests of one service at one daemon.
type Controller struct {
	options  Options
	rand     route.Rand
	capacity int
	queues   [types.RankCount]*rankQueue
	running  map[ID]running
	// byOrg counts running requests; it holds active organisations only.
	byOrg  map[types.OrgName]int
	counts [types.RankCount]int
	hold   [types.RankCount]holdEstimate
	floor  floorCredit
	demand demandEstimate
	advice [types.RankCount]time.Time
	seq    uint64
	out    []Decision
}

var _ Admitter = (*Controller)(nil)

// New builds a controller with no capacity yet.
func New(o Options, rand route.Rand) *Controller {
	o.setDefaults()
	c := &Controller{options: o, rand: rand, running: map[ID]running{}, byOrg: map[types.OrgName]int{}}
	for _, rank := range types.Ranks() {
		c.queues[rank] = newRankQueue(rank)
	}
	return c
}

// Offer queues the request, or refuses it when it can't be served in time, and
// starts what may start.
func (c *Controller) Offer(o Offer, now time.Time) []Decision {
	c.begin(now)
	if int(o.Rank) >= types.RankCount {
		c.refuse(o.ID, types.NewFailure(types.NotRun, types.CodeBadRequest, "unknown rank"))
		return c.out
	}
	o = normalise(o)
	if !o.Deadline.After(now) {
		c.refuse(o.ID, types.NewFailure(types.NotRun, types.CodeDeadline, "the deadline has passed"))
		return c.out
	}
	if c.tooLate(o, now) {
		c.overloaded(o, now, "the queue is too long for the deadline")
		return c.out
	}
	if !c.makeRoom(o, now) {
		return c.out
	}
	c.seq++
	c.queues[o.Rank].add(o, c.seq)
	c.pump(now)
	if _, waiting := c.queues[o.Rank].items[o.ID]; waiting {
		c.out = append(c.out, Decision{ID: o.ID, Outcome: Queued})
	}
	return c.out
}

func normalise(o Offer) Offer {
	if o.Share <= 0 {
		o.Share = 1
	}
	if o.Cost <= 0 {
		o.Cost = 1
	}
	o.Bytes = max(o.Bytes, 0)
	return o
}

// Done frees the slot and starts what may start.
func (c *Controller) Done(done Completion, now time.Time) []Decision {
	c.begin(now)
	run, found := c.running[done.ID]
	if !found {
		return c.out
	}
	if done.Representative {
		c.hold[run.rank].add(now.Sub(run.started))
	}
	c.release(done.ID, run)
	c.pump(now)
	return c.out
}

// Cancel forgets the request and starts what may start.
func (c *Controller) Cancel(id ID, now time.Time) []Decision {
	c.begin(now)
	for _, queue := range c.queues {
		if it, found := queue.items[id]; found {
			queue.take(it)
		}
	}
	if run, found := c.running[id]; found {
		c.release(id, run)
	}
	c.pump(now)
	return c.out
}

// SetCapacity sets the slots; running requests above them finish undisturbed.
func (c *Controller) SetCapacity(slots int, now time.Time) []Decision {
	c.begin(now)
	c.capacity = max(slots, 0)
	c.pump(now)
	return c.out
}

// Tick refuses waiting requests that can't meet their deadline any more.
func (c *Controller) Tick(now time.Time) []Decision {
	c.begin(now)
	for _, rank := range types.Ranks() {
		latest := now.Add(c.hold[rank].cautious())
		for {
			it := c.queues[rank].expired(latest)
			if it == nil {
				break
			}
			c.queues[rank].take(it)
			c.overloaded(it.offer, now, "the request waited until its deadline was out of reach")
		}
	}
	c.pump(now)
	return c.out
}

// SetPatientFloor sets the share of capacity, 0 to 1, that waiting patient
// requests keep. Zero means the default.
func (c *Controller) SetPatientFloor(share float64) {
	if share <= 0 {
		share = defaultPatientFloor
	}
	c.options.PatientFloor = min(share, 1)
}

// begin starts an event: it brings the floor's account up to now.
func (c *Controller) begin(now time.Time) {
	c.out = nil
	c.demand.advance(now, min(c.counts[types.RankUrgent]+c.queues[types.RankUrgent].len(), c.capacity))
	owed := c.options.PatientFloor * float64(c.capacity)
	c.floor.advance(now, owed-float64(c.counts[types.RankPatient]), c.queues[types.RankPatient].len() > 0)
}

func (c *Controller) release(id ID, run running) {
	delete(c.running, id)
	c.counts[run.rank]--
	c.byOrg[run.org]--
	if c.byOrg[run.org] <= 0 {
		delete(c.byOrg, run.org)
	}
}
