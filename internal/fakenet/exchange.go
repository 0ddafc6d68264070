package fakenet

import (
	"errors"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// headerBytes is what an HTTP/1.1 request or answer between daemons adds to its
// body, as the test of package peerhttp measures it.
const headerBytes = 220

// capturedMessage is a sealed request that an eavesdropper kept.
type capturedMessage struct {
	to     types.VMID
	sealed peer.Sealed
}

// maxCaptured bounds what the eavesdropper keeps.
const maxCaptured = 64

// send carries one exchange: the request, its answer, or neither.
func (d *Daemon) send(msg *peer.Message) {
	n := d.net
	target := n.byVM[msg.To]
	if target == nil {
		return
	}
	sealed, err := d.guard.Seal(n.now, peer.Request, 0, msg)
	if err != nil {
		n.checker.fail("seal: %v", err)
		return
	}
	d.Stats.Messages++
	d.Stats.BytesSent += len(sealed.Body) + headerBytes
	n.capture(capturedMessage{msg.To, sealed})
	x := &exchange{from: d, to: target, incarnation: d.incarnation, nonce: msg.Nonce}
	copies := 1
	if n.rng.Float64() < n.opts.Duplicate {
		copies = 2
	}
	for range copies {
		if n.passes(d, target) {
			n.after(n.delay(d, target), func() { x.arrive(sealed) })
		}
	}
	n.after(exchangeTimeout, x.timeout)
}

// exchange is one request that waits for its answer.
type exchange struct {
	from, to    *Daemon
	incarnation types.Incarnation // of the sender
	nonce       uint64
	done        bool
}

// arrive hands the request to the receiver.
func (x *exchange) arrive(sealed peer.Sealed) {
	x.to.whenAwake(x.to.incarnation, func() {
		msg := x.to.open(peer.Request, 0, sealed)
		if msg == nil {
			return
		}
		x.to.handle(event.PeerMessage{At: x.to.net.now, Message: msg}, x.answer)
	})
}

// answer carries the receiver's answer back.
func (x *exchange) answer(reply *peer.Message) {
	n := x.to.net
	sealed, err := x.to.guard.Seal(n.now, peer.Reply, x.nonce, reply)
	if err != nil {
		n.checker.fail("seal: %v", err)
		return
	}
	x.to.Stats.BytesSent += len(sealed.Body) + headerBytes
	if n.passes(x.to, x.from) {
		n.after(n.delay(x.to, x.from), func() { x.answered(sealed) })
	}
}

func (x *exchange) answered(sealed peer.Sealed) {
	x.from.whenAwake(x.incarnation, func() {
		if x.done {
			return
		}
		msg := x.from.open(peer.Reply, x.nonce, sealed)
		if msg == nil {
			return
		}
		x.done = true
		x.from.handle(event.PeerMessage{At: x.from.net.now, Message: msg, Reply: true}, nil)
	})
}

func (x *exchange) timeout() {
	x.from.whenAwake(x.incarnation, func() {
		if x.done {
			return
		}
		x.done = true
		x.from.handle(event.PeerFailed{At: x.from.net.now, To: x.to.VM}, nil)
	})
}

// open opens a message at the daemon's guard; nil when it is refused.
func (d *Daemon) open(dir peer.Direction, nonce uint64, sealed peer.Sealed) *peer.Message {
	d.Stats.BytesReceived += len(sealed.Body) + headerBytes
	msg, err := d.guard.Open(d.net.now, dir, nonce, sealed)
	replayed := errors.Is(err, peer.ErrReplayed) && d.net.opts.AcceptReplays
	if err != nil && !replayed {
		d.Stats.Refused++
		return nil
	}
	d.net.checker.accepted(d, msg)
	if d.net.opts.Mutant != nil {
		d.net.opts.Mutant(msg)
	}
	return msg
}

func (n *Network) capture(c capturedMessage) {
	if len(n.captured) < maxCaptured {
		n.captured = append(n.captured, c)
		return
	}
	n.captured[n.rng.IntN(maxCaptured)] = c
}

// Replay sends a captured message once more, to its receiver or to another VM.
func (n *Network) Replay() {
	if len(n.captured) == 0 {
		return
	}
	c := n.captured[n.rng.IntN(len(n.captured))]
	target := n.byVM[c.to]
	if n.rng.IntN(2) == 0 {
		target = n.Daemons[n.rng.IntN(len(n.Daemons))]
	}
	n.inject(target, c.sealed)
}

// Forge sends a captured message with one byte changed.
func (n *Network) Forge() {
	if len(n.captured) == 0 {
		return
	}
	c := n.captured[n.rng.IntN(len(n.captured))]
	body := append([]byte(nil), c.sealed.Body...)
	body[n.rng.IntN(len(body))] ^= 1 << n.rng.IntN(8)
	c.sealed.Body = body
	n.inject(n.byVM[c.to], c.sealed)
}

// inject hands a message of the eavesdropper to a daemon.
func (n *Network) inject(target *Daemon, sealed peer.Sealed) {
	target.whenAwake(target.incarnation, func() {
		msg := target.open(peer.Request, 0, sealed)
		if msg == nil {
			return
		}
		target.handle(event.PeerMessage{At: n.now, Message: msg}, nil)
	})
}
