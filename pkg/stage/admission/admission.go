// Package admission is the stage that decides when a request may start. It
// serves two ranks: urgent requests first, by deadline; patient requests from a
// bounded queue, with a guaranteed share of capacity (the patient floor) that
// urgent requests can't use up. Within a rank, organisations share capacity by
// weighted fair queueing. A request that can't be served in time is refused at
// once.
//
// A Controller is a state machine for one service: it starts no goroutines and
// reads no clock. Package gate makes it usable from goroutines.
package admission

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Stage is the name of this stage in traces.
const Stage = "admission"

// ID identifies a waiting or running request within one controller.
type ID uint64

// Offer is a request for admission.
type Offer struct {
	ID   ID
	Rank types.Rank
	Org  types.OrgName
	// Share is the organisation's weight in fair queueing; 1 when it is not
	// positive.
	Share float64
	// Cost is the work of the request, in any unit that is the same for all
	// requests of the service, such as tokens; 1 when it is not positive.
	Cost float64
	// Bytes is the memory that the request holds while it waits.
	Bytes    int64
	Deadline time.Time
}

// Outcome is the result of an admission decision.
type Outcome uint8

// The outcomes.
const (
	// Started: the request may run now; a call to Done or Cancel must follow.
	Started Outcome = iota
	// Queued: the request waits; a later decision starts or refuses it, unless it
	// is cancelled.
	Queued
	// Refused: the request did not run; Failure gives the reason.
	Refused
)

// Decision is the outcome for one request.
type Decision struct {
	ID      ID
	Outcome Outcome
	// OrgRunning is set for a started request: how many requests of its
	// organisation run, including this one.
	OrgRunning int
	// Failure is set when the request is refused; its verdict is NotRun.
	Failure *types.Failure
}

// Completion reports that a started request ended.
type Completion struct {
	ID ID
	// Representative is false when the run time must not enter the estimate of
	// how long requests hold a slot, for example because the attempt failed at
	// once.
	Representative bool
}

// Admitter is the interface that Controller and the naive version share. Its
// methods are not safe for concurrent use. Each returns every decision that
// became due, for any request, in the order in which they were made.
type Admitter interface {
	// Offer submits a request for admission. Its ID must not be in use.
	Offer(o Offer, now time.Time) []Decision
	// Done frees the slot of a started request; an unknown ID is ignored.
	Done(c Completion, now time.Time) []Decision
	// Cancel removes a waiting request or frees the slot of a started one,
	// without a decision on that request.
	Cancel(id ID, now time.Time) []Decision
	// SetCapacity sets how many requests may run at once.
	SetCapacity(slots int, now time.Time) []Decision
	// Tick refuses waiting requests that can no longer meet their deadline.
	// Call it a few times a second.
	Tick(now time.Time) []Decision
}

// Options configures a controller.
type Options struct {
	// MaxQueued limits the number of waiting requests, by rank. Default 4096
	// each.
	MaxQueued [types.RankCount]int
	// MaxBytes limits the memory of waiting requests, by rank. Default 48 MiB
	// each.
	MaxBytes [types.RankCount]int64
	// PatientFloor is the share of capacity, 0 to 1, that is guaranteed to
	// patient requests while they wait. Negative means none; default 0.1.
	PatientFloor float64
	// UrgentReserve is how many slots patient requests above the floor leave
	// free for urgent requests, beyond the average number of urgent requests.
	// It is a multiple of the square root of that average. Negative means
	// none; default 1.8.
	UrgentReserve float64
	// MaxWaitShare limits the predicted wait of a request, as a share, 0 to 1,
	// of the time that its deadline leaves after its own run time. A request
	// predicted to wait longer is refused at once. Default 0.5 for urgent and
	// 0.9 for patient requests.
	MaxWaitShare [types.RankCount]float64
	// MaxRetryAfter limits the Retry-After of refused requests, by rank.
	// Default 10 s for urgent and 120 s for patient requests.
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
	// runningByOrg counts running requests; it holds only organisations that
	// have at least one.
	runningByOrg  map[types.OrgName]int
	runningByRank [types.RankCount]int
	holdTimes     [types.RankCount]holdEstimate
	patientCredit floorCredit
	urgentDemand  demandEstimate
	lastRetryAt   [types.RankCount]time.Time
	seq           uint64
	decisions     []Decision
}

var _ Admitter = (*Controller)(nil)

// New returns a controller with a capacity of zero.
func New(o Options, rand route.Rand) *Controller {
	o.setDefaults()
	c := &Controller{options: o, rand: rand, running: map[ID]running{}, runningByOrg: map[types.OrgName]int{}}
	for _, rank := range types.Ranks() {
		c.queues[rank] = newRankQueue(rank)
	}
	return c
}

// Offer queues the request, or refuses it when it can't be served in time, and
// starts the requests that may start.
func (c *Controller) Offer(o Offer, now time.Time) []Decision {
	c.beginEvent(now)
	if int(o.Rank) >= types.RankCount {
		c.refuse(o.ID, types.NewFailure(types.NotRun, types.CodeBadRequest, "unknown rank"))
		return c.decisions
	}
	o = normalise(o)
	if !o.Deadline.After(now) {
		c.refuse(o.ID, types.NewFailure(types.NotRun, types.CodeDeadline, "the deadline has passed"))
		return c.decisions
	}
	if c.wouldMissDeadline(o, now) {
		c.refuseOverloaded(o, now, "the queue is too long for the deadline")
		return c.decisions
	}
	if !c.ensureQueueSpace(o, now) {
		return c.decisions
	}
	c.seq++
	c.queues[o.Rank].add(o, c.seq)
	c.startWaiting(now)
	if _, waiting := c.queues[o.Rank].byID[o.ID]; waiting {
		c.decisions = append(c.decisions, Decision{ID: o.ID, Outcome: Queued})
	}
	return c.decisions
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

// Done frees the slot and starts the requests that may start.
func (c *Controller) Done(done Completion, now time.Time) []Decision {
	c.beginEvent(now)
	run, found := c.running[done.ID]
	if !found {
		return c.decisions
	}
	if done.Representative {
		c.holdTimes[run.rank].add(now.Sub(run.started))
	}
	c.release(done.ID, run)
	c.startWaiting(now)
	return c.decisions
}

// Cancel removes the request and starts the requests that may start.
func (c *Controller) Cancel(id ID, now time.Time) []Decision {
	c.beginEvent(now)
	for _, queue := range c.queues {
		if queued, found := queue.byID[id]; found {
			queue.remove(queued)
		}
	}
	if run, found := c.running[id]; found {
		c.release(id, run)
	}
	c.startWaiting(now)
	return c.decisions
}

// SetCapacity sets the number of slots. When it falls, running requests above
// it continue undisturbed.
func (c *Controller) SetCapacity(slots int, now time.Time) []Decision {
	c.beginEvent(now)
	c.capacity = max(slots, 0)
	c.startWaiting(now)
	return c.decisions
}

// Tick refuses waiting requests that can no longer meet their deadline.
func (c *Controller) Tick(now time.Time) []Decision {
	c.beginEvent(now)
	for _, rank := range types.Ranks() {
		latest := now.Add(c.holdTimes[rank].upperEstimate())
		for {
			queued := c.queues[rank].expired(latest)
			if queued == nil {
				break
			}
			c.queues[rank].remove(queued)
			c.refuseOverloaded(queued.offer, now, "the request waited until its deadline was out of reach")
		}
	}
	c.startWaiting(now)
	return c.decisions
}

// SetPatientFloor sets the share of capacity, 0 to 1, that is guaranteed to
// waiting patient requests. Zero means the default.
func (c *Controller) SetPatientFloor(share float64) {
	if share <= 0 {
		share = defaultPatientFloor
	}
	c.options.PatientFloor = min(share, 1)
}

// beginEvent starts an event: it clears the previous decisions and advances the
// demand estimate and the patient credit to now.
func (c *Controller) beginEvent(now time.Time) {
	c.decisions = nil
	c.urgentDemand.advance(now, min(c.runningByRank[types.RankUrgent]+c.queues[types.RankUrgent].len(), c.capacity))
	guaranteed := c.options.PatientFloor * float64(c.capacity)
	c.patientCredit.advance(now, guaranteed-float64(c.runningByRank[types.RankPatient]), c.queues[types.RankPatient].len() > 0)
}

func (c *Controller) release(id ID, run running) {
	delete(c.running, id)
	c.runningByRank[run.rank]--
	c.runningByOrg[run.org]--
	if c.runningByOrg[run.org] <= 0 {
		delete(c.runningByOrg, run.org)
	}
}
