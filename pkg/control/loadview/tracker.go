package loadview

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Tracker turns load reports and ended attempts into the counters that routing
// and admission read: the counts at the time of a report, the adaptive limit and
// the pace. The control goroutine tells it of reports, traffic goroutines of
// attempts; it is safe for concurrent use.
type Tracker struct {
	options   limit.Options
	ramp      *score.SlowStart
	mu        sync.Mutex
	endpoints map[types.EndpointID]*tracked
}

// tracked is the state of one endpoint.
type tracked struct {
	limit   *limit.AIMD
	pace    limit.Pace
	history History
}

// NewTracker builds an empty tracker.
func NewTracker(o limit.Options) *Tracker {
	return &Tracker{options: o, ramp: score.NewSlowStart(score.SlowStartOptions{}), endpoints: map[types.EndpointID]*tracked{}}
}

// SampleCounters remembers the endpoint's counters for reports that arrive later. Call it
// for each endpoint about four times a second.
func (t *Tracker) SampleCounters(ep *snapshot.Endpoint, daemons int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(ep, daemons)
	state.history.Add(Counts{At: now, Sent: ep.Counters.Sent.Load(), Done: ep.Counters.Done.Load()})
}

// Report takes in the endpoint's new load report, ep.Load. Daemons is how many
// daemons share the endpoint, this one included.
func (t *Tracker) Report(ep *snapshot.Endpoint, daemons int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(ep, daemons)
	c := ep.Counters
	if counts, known := state.history.At(ep.Load.TakenAt); known {
		c.SentAtReport.Store(counts.Sent)
		c.DoneAtReport.Store(counts.Done)
	}
	state.limit.Report(limit.Report{
		TakenAt: ep.Load.TakenAt, Slots: ep.Slots, Running: ep.Load.Running, Queued: ep.Load.Queued,
		InFlight: int(c.InFlight.Load()), Daemons: daemons,
	}, now)
	c.Limit.Store(int64(state.limit.Limit()))
	c.Pace.Store(state.pace.At(now))
}

// Ended takes in an attempt that brought a whole answer: the time it took and
// the time expected of it in a full batch.
func (t *Tracker) Ended(ep *snapshot.Endpoint, daemons int, took, expected time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(ep, daemons)
	ep.Counters.Pace.Store(state.pace.Observe(took, expected, now))
}

// Capacity is how many requests this daemon may have running at the endpoints of
// its region: the sum of its limits at those that are ready, a ramping one in
// part.
func (t *Tracker) Capacity(eps []*snapshot.Endpoint, region types.Region, daemons int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0.0
	for _, ep := range eps {
		if ep.Region == region && ep.State == snapshot.EndpointReady {
			sum += t.state(ep, daemons).limit.Share() * t.ramp.Share(ep, now)
		}
	}
	return int(sum)
}

// Forget drops an endpoint that is no longer published.
func (t *Tracker) Forget(id types.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
}

func (t *Tracker) state(ep *snapshot.Endpoint, daemons int) *tracked {
	state := t.endpoints[ep.ID]
	if state == nil {
		state = &tracked{limit: limit.NewAIMD(t.options, ep.Slots, daemons)}
		t.endpoints[ep.ID] = state
	}
	return state
}
