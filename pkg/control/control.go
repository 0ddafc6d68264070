// Package control runs the control state of a daemon: one goroutine owns it,
// handles typed events and publishes immutable snapshots for traffic goroutines.
// Package node and the packages it uses make the decisions; this package
// supplies the clock and performs the network calls.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/peer/peerhttp"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

const (
	// queueLength is the maximum number of events queued for the control
	// goroutine.
	queueLength = 4096
	// maxCalls is the maximum number of calls to peers and the platform in
	// flight.
	maxCalls = 64
)

// Submitter accepts events from any goroutine.
type Submitter interface {
	// Submit queues an event for the control goroutine. It never blocks: when
	// the queue is full, it drops and counts the event and returns false.
	Submit(e event.Event) bool
}

// Options configure a Control. All fields but Log and Metrics must be set.
type Options struct {
	Node   node.Options
	Config platform.ConfigService
	VMs    platform.VMList
	Peers  peerhttp.Sender
	// Log defaults to the standard logger of logrus.
	Log logrus.FieldLogger
	// Metrics is the registry for the metrics; nil registers none.
	Metrics prometheus.Registerer
}

// Control runs the control goroutine and is its interface to other goroutines.
// Its methods are safe for concurrent use.
type Control struct {
	opts   Options
	queue  chan queuedEvent
	holder *snapshot.Holder
	calls  chan struct{} // one token for each call in flight
	// lastStepAt is when the control goroutine last handled an event.
	lastStepAt atomic.Pointer[time.Time]
	metrics    *metrics
}

var (
	_ Submitter          = (*Control)(nil)
	_ peerhttp.Responder = (*Control)(nil)
)

// queuedEvent is an event in the queue. For a peer's request, reply receives the
// response; otherwise it is nil.
type queuedEvent struct {
	event event.Event
	reply chan<- *peer.Message
}

// New returns a Control whose goroutine is started by Run. It returns an error
// when a required option is missing.
func New(opts Options) (*Control, error) {
	if opts.Node.Rand == nil || opts.Config == nil || opts.VMs == nil || opts.Peers == nil {
		return nil, eris.New("control: Node.Rand, Config, VMs and Peers must be set")
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	return &Control{
		opts: opts, queue: make(chan queuedEvent, queueLength), holder: &snapshot.Holder{},
		calls: make(chan struct{}, maxCalls), metrics: newMetrics(opts.Metrics),
	}, nil
}

// Snapshots returns the holder of the latest snapshot.
func (c *Control) Snapshots() *snapshot.Holder { return c.holder }

// Submit implements Submitter.
func (c *Control) Submit(e event.Event) bool {
	return c.enqueue(queuedEvent{event: e})
}

// Stalled reports whether the control goroutine has not handled an event for at
// least node.DefaultPauseThreshold, so that the process may have been paused.
// Traffic goroutines check it before an action that must not rely on stale
// state: after a pause, they may run before the control goroutine has detected
// it.
func (c *Control) Stalled(now time.Time) bool {
	last := c.lastStepAt.Load()
	return last == nil || now.Sub(*last) >= node.DefaultPauseThreshold
}

func (c *Control) enqueue(q queuedEvent) bool {
	select {
	case c.queue <- q:
		return true
	default:
		c.metrics.dropped.Inc()
		return false
	}
}

// Answer implements peerhttp.Responder. It returns nil when the queue is full or
// the control goroutine does not respond before ctx ends.
func (c *Control) Answer(ctx context.Context, msg *peer.Message) *peer.Message {
	reply := make(chan *peer.Message, 1)
	if !c.enqueue(queuedEvent{event.PeerMessage{At: time.Now(), Message: msg}, reply}) {
		return nil
	}
	select {
	case response := <-reply:
		return response
	case <-ctx.Done():
		return nil
	}
}

// Run runs the control goroutine's event loop until ctx ends. It returns after
// all calls it started have ended.
func (c *Control) Run(ctx context.Context) error {
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	var calls conc.WaitGroup
	defer calls.Wait()
	state := node.New(c.opts.Node, time.Now())
	c.holder.Store(state.Snapshot())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			c.step(ctx, &calls, state, queuedEvent{event: event.Tick{Now: now, Wall: now.Round(0)}})
		case q := <-c.queue:
			c.step(ctx, &calls, state, q)
		}
	}
}

func (c *Control) step(ctx context.Context, calls *conc.WaitGroup, state *node.Node, q queuedEvent) {
	out := state.Handle(q.event)
	now := time.Now()
	c.lastStepAt.Store(&now)
	if out.Snapshot != nil {
		c.holder.Store(out.Snapshot)
	}
	if q.reply != nil {
		q.reply <- out.Reply
	}
	for _, alarm := range out.Alarms {
		c.metrics.alarms.Inc()
		c.opts.Log.WithField("at", alarm.At).Error(alarm.Text)
	}
	c.execute(ctx, calls, out)
}
