package loadview

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Tracker derives from load reports and ended attempts the counters that routing and
// admission read: the counts at the time of a report, the adaptive limit and the pace.
// The control goroutine passes it load reports, traffic goroutines pass it ended
// attempts. It is safe for concurrent use.
type Tracker struct {
	options   limit.Options
	slowStart *score.SlowStart
	mu        sync.Mutex
	endpoints map[types.EndpointID]*endpointState
}

// endpointState is the state of one endpoint.
type endpointState struct {
	limit   *limit.AIMD
	pace    limit.Pace
	history History
}

// NewTracker returns a tracker without endpoints.
func NewTracker(o limit.Options) *Tracker {
	return &Tracker{options: o, slowStart: score.NewSlowStart(score.SlowStartOptions{}), endpoints: map[types.EndpointID]*endpointState{}}
}

// SampleCounters records the endpoint's current counters, which correct load reports
// that arrive later. Call it about four times a second for each endpoint.
func (t *Tracker) SampleCounters(ep *snapshot.Endpoint, daemons int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(ep, daemons)
	state.history.Add(Counts{At: now, Sent: ep.Counters.Sent.Load(), Done: ep.Counters.Done.Load()})
}

// Report applies the endpoint's new load report, ep.Load, and updates the endpoint's
// counters. Daemons is the number of daemons that share the endpoint, including this
// one.
func (t *Tracker) Report(ep *snapshot.Endpoint, daemons int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(ep, daemons)
	c := ep.Counters
	if counts, ok := state.history.At(ep.Load.TakenAt); ok {
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

// Ended records an attempt that received a complete response: the time it took and the
// time expected for it in a full batch.
func (t *Tracker) Ended(ep *snapshot.Endpoint, daemons int, took, expected time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(ep, daemons)
	ep.Counters.Pace.Store(state.pace.Observe(took, expected, now))
}

// Capacity returns how many requests this daemon may have running on the endpoints of
// the region: the sum of its limits for the ready ones, rounded down. An endpoint in
// slow start counts only with its current share.
func (t *Tracker) Capacity(eps []*snapshot.Endpoint, region types.Region, daemons int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0.0
	for _, ep := range eps {
		if ep.Region == region && ep.State == snapshot.EndpointReady {
			sum += t.state(ep, daemons).limit.Share() * t.slowStart.Share(ep, now)
		}
	}
	return int(sum)
}

// Forget removes the state of an endpoint that is no longer published.
func (t *Tracker) Forget(id types.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
}

func (t *Tracker) state(ep *snapshot.Endpoint, daemons int) *endpointState {
	state := t.endpoints[ep.ID]
	if state == nil {
		state = &endpointState{limit: limit.NewAIMD(t.options, ep.Slots, daemons)}
		t.endpoints[ep.ID] = state
	}
	return state
}
