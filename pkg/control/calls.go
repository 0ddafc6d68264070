package control

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/peer"
)

// peerTimeout is the timeout of one request to a peer.
const peerTimeout = 2 * time.Second

// listTimeout is the timeout of one read of the VM list.
const listTimeout = 5 * time.Second

// execute starts the calls that a step of the control state requested. Each
// submits its result as an event.
func (c *Control) execute(ctx context.Context, calls *conc.WaitGroup, out node.Output) {
	for _, msg := range out.Sends {
		failed := event.PeerFailed{At: time.Now(), To: msg.To}
		c.startCall(calls, failed, func() event.Event { return c.send(ctx, msg) })
	}
	for _, read := range out.Reads {
		failed := event.ConfigFailed{At: time.Now(), Key: read.Key}
		c.startCall(calls, failed, func() event.Event { return c.read(ctx, read) })
	}
	if out.ReadList {
		failed := event.ListFailed{At: time.Now()}
		c.startCall(calls, failed, func() event.Event { return c.list(ctx) })
	}
}

// startCall runs a call in a new goroutine. It submits failed at once when
// maxCalls calls are already in flight.
func (c *Control) startCall(calls *conc.WaitGroup, failed event.Event, call func() event.Event) {
	select {
	case c.calls <- struct{}{}:
	default:
		c.metrics.refusedCalls.Inc()
		c.Submit(failed)
		return
	}
	calls.Go(func() {
		defer func() { <-c.calls }()
		c.Submit(call())
	})
}

func (c *Control) send(ctx context.Context, msg *peer.Message) event.Event {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.opts.Peers.Send(ctx, msg)
	if err != nil {
		c.opts.Log.WithError(err).WithField("peer", msg.To).Debug("request to peer failed")
		return event.PeerFailed{At: time.Now(), To: msg.To}
	}
	return event.PeerMessage{At: time.Now(), Message: reply, Reply: true}
}

func (c *Control) read(ctx context.Context, read configsync.Read) event.Event {
	ctx, cancel := context.WithTimeout(ctx, read.Timeout)
	defer cancel()
	if read.Watch {
		value, err := c.opts.Config.Watch(ctx, read.Key, read.After)
		if err != nil {
			timedOut := errors.Is(err, context.DeadlineExceeded)
			return event.ConfigFailed{At: time.Now(), Key: read.Key, TimedOut: timedOut}
		}
		return event.ConfigRead{At: time.Now(), Key: read.Key, Value: value}
	}
	value, err := c.opts.Config.Read(ctx, read.Key)
	if err != nil {
		return event.ConfigFailed{At: time.Now(), Key: read.Key}
	}
	return event.ConfigRead{At: time.Now(), Key: read.Key, Value: value}
}

func (c *Control) list(ctx context.Context) event.Event {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := time.Now()
	listing, err := c.opts.VMs.List(ctx)
	if err != nil {
		return event.ListFailed{At: time.Now()}
	}
	return event.ListRead{At: time.Now(), StartedAt: requestedAt, Listing: listing}
}
