// Package control runs the control state of a daemon: one goroutine owns it,
// takes typed events and publishes immutable snapshots for traffic goroutines.
// The decisions stand in package node and below; this package is the edge that
// brings time and the network to them.
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
	// queueLength bounds the events that wait for the control goroutine.
	queueLength = 4096
	// maxCalls bounds the calls to peers and the platform in flight.
	maxCalls = 64
)

// Submitter takes events from other goroutines.
type Submitter interface {
	// Submit hands an event to the control goroutine. It never blocks: when
	// the queue is full the event is dropped, counted, and false returned.
	Submit(e event.Event) bool
}

// Options are what a Control needs. All but Log and Metrics must be set.
type Options struct {
	Node   node.Options
	Config platform.ConfigService
	VMs    platform.VMList
	Peers  peerhttp.Sender
	// Log defaults to logrus' standard logger.
	Log logrus.FieldLogger
	// Metrics is where metrics are registered; nil registers none.
	Metrics prometheus.Registerer
}

// Control is the control goroutine's front. Its methods are safe for concurrent
// use.
type Control struct {
	opts   Options
	queue  chan queued
	holder *snapshot.Holder
	calls  chan struct{} // one token for each call in flight
	// steppedAt is when the control goroutine last handled an event.
	steppedAt atomic.Pointer[time.Time]
	metrics   *metrics
}

var (
	_ Submitter         = (*Control)(nil)
	_ peerhttp.Answerer = (*Control)(nil)
)

// queued is an event that waits, with where to put the reply to a peer.
type queued struct {
	event event.Event
	reply chan<- *peer.Message
}

// New returns a control that does not run yet.
func New(opts Options) (*Control, error) {
	if opts.Node.Rand == nil || opts.Config == nil || opts.VMs == nil || opts.Peers == nil {
		return nil, eris.New("control: Node.Rand, Config, VMs and Peers must be set")
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	return &Control{
		opts: opts, queue: make(chan queued, queueLength), holder: &snapshot.Holder{},
		calls: make(chan struct{}, maxCalls), metrics: newMetrics(opts.Metrics),
	}, nil
}

// Snapshots returns the holder of the newest snapshot.
func (c *Control) Snapshots() *snapshot.Holder { return c.holder }

// Submit implements Submitter.
func (c *Control) Submit(e event.Event) bool {
	return c.enqueue(queued{event: e})
}

// Stalled reports whether the control goroutine has not run for so long that
// the process may have been paused. Traffic goroutines ask it before an act that
// must not rest on old knowledge: after a pause they may run before the control
// goroutine has noticed.
func (c *Control) Stalled(now time.Time) bool {
	last := c.steppedAt.Load()
	return last == nil || now.Sub(*last) >= node.DefaultPauseThreshold
}

func (c *Control) enqueue(q queued) bool {
	select {
	case c.queue <- q:
		return true
	default:
		c.metrics.dropped.Inc()
		return false
	}
}

// Answer implements peerhttp.Answerer. It returns nil when the control
// goroutine does not answer before ctx ends or its queue is full.
func (c *Control) Answer(ctx context.Context, msg *peer.Message) *peer.Message {
	reply := make(chan *peer.Message, 1)
	if !c.enqueue(queued{event.PeerMessage{At: time.Now(), Message: msg}, reply}) {
		return nil
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return nil
	}
}

// Run owns the control state until ctx ends. It returns after every call that
// it started has ended.
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
			c.step(ctx, &calls, state, queued{event: event.Tick{Now: now, Wall: now.Round(0)}})
		case q := <-c.queue:
			c.step(ctx, &calls, state, q)
		}
	}
}

func (c *Control) step(ctx context.Context, calls *conc.WaitGroup, state *node.Node, q queued) {
	out := state.Handle(q.event)
	now := time.Now()
	c.steppedAt.Store(&now)
	if out.Snapshot != nil {
		c.holder.Store(out.Snapshot)
		revision, _ := state.Revision()
		c.metrics.revision.Set(float64(revision))
	}
	if q.reply != nil {
		q.reply <- out.Reply
	}
	for _, alarm := range out.Alarms {
		c.metrics.alarms.Inc()
		c.opts.Log.WithField("at", alarm.At).Error(alarm.Text)
	}
	c.carryOut(ctx, calls, out)
}
