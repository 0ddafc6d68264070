package oncehistory

import (
	"strconv"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	callerTimeout = 3 * time.Second
	maxSends      = 8
	maxKeys       = 6
	retryDelay    = 500 * time.Millisecond
)

// order is one order of one caller.
type order struct {
	w      *world
	id     int
	region int
	// key is empty until the caller holds one.
	key   key
	keys  int
	sends int
	asks  int
	// best is the strongest verdict told for the present key.
	best  types.Verdict
	heard bool
	// unsent is true while the present key was sent on one connection only.
	unsent bool
	done   bool
}

// place begins a new order.
func (w *world) place() {
	o := &order{w: w, id: len(w.orders), region: w.rng.IntN(regionCount)}
	w.orders = append(w.orders, o)
	switch {
	case w.config.Way != WayTicket:
		o.use(o.ownKey(), w.rng.IntN(len(w.vms)))
	case w.chance(w.config.Bare):
		o.sendBare()
	default:
		o.ask()
	}
	if w.chance(w.config.Faults.Resend) {
		w.after(w.between(0, 2*time.Minute), o.sendBare)
	}
	w.resendLater(o)
}

// ownKey is the key of a caller that uses no ticket; it carries the time of
// issue, which only WayRendezvous looks at.
func (o *order) ownKey() key {
	return key(strconv.FormatInt(o.w.now.UnixMilli(), 10) + "-order-" + strconv.Itoa(o.id))
}

// resendLater sends the key that the caller then holds once more, anywhere, as
// callers do that have lost track.
func (w *world) resendLater(o *order) {
	if !w.chance(w.config.Faults.Resend) {
		return
	}
	w.after(w.between(0, 2*time.Minute), func() {
		if o.key != "" {
			o.send(o.key, w.rng.IntN(len(w.vms)))
		}
	})
}

// entry picks an entry of the caller's region most of the time.
func (o *order) entry() int {
	index := o.w.rng.IntN(len(o.w.vms))
	for range 3 {
		if o.w.vms[index].region == o.region {
			break
		}
		index = o.w.rng.IntN(len(o.w.vms))
	}
	return index
}

// ask gets a ticket together with the answer to "which entry do I use?".
func (o *order) ask() {
	if o.done || o.key != "" || o.asks >= maxSends {
		return
	}
	o.asks++
	answered := false
	index := o.entry()
	o.w.toDaemon(o.region, index, true, func(d *daemon) {
		text := d.issue()
		o.w.transmit(d.vm.region, o.region, false, func() {
			answered = true
			o.w.after(o.w.between(0, o.w.config.Hold), func() { o.adopt(text) })
		})
	}, func() {})
	o.w.after(callerTimeout, func() {
		if !answered {
			o.ask()
		}
	})
}

// adopt takes the first ticket that arrives while the caller holds no key.
func (o *order) adopt(text string) {
	if o.key != "" || o.done || text == "" {
		return
	}
	claims, err := o.w.keyring.Verify(text)
	if err != nil {
		return
	}
	index := indexOf(claims.Owner.VM)
	if o.w.chance(o.w.config.Faults.Resend) {
		index = o.w.rng.IntN(len(o.w.vms))
	}
	o.use(key(text), index)
}

// use makes k the order's key and sends it, sometimes to two entries at once.
func (o *order) use(k key, index int) {
	o.key, o.keys, o.sends, o.best, o.heard = k, o.keys+1, 0, types.NotRun, false
	if o.w.config.Way == WayTicket {
		o.firstAttempt(index)
	} else {
		o.attempt(index)
	}
	if o.w.chance(o.w.config.Faults.Resend) {
		o.send(k, o.w.rng.IntN(len(o.w.vms)))
	}
}

// firstAttempt sends a fresh ticket. When the only connection so far was
// refused the caller knows that nothing was sent, and takes another ticket.
func (o *order) firstAttempt(index int) {
	o.unsent = true
	o.sends++
	k := o.key
	o.transmit(k, index, false, func() {
		if o.unsent && o.key == k {
			o.key = ""
			o.ask()
		}
	})
	o.tryAgainAfterTimeout()
}

// attempt sends the present key and tries again elsewhere without an answer.
func (o *order) attempt(index int) {
	o.sends++
	o.send(o.key, index)
	o.tryAgainAfterTimeout()
}

func (o *order) tryAgainAfterTimeout() {
	sent, k := o.sends, o.key
	o.w.after(callerTimeout, func() {
		if !o.done && o.key == k && o.sends == sent && sent < maxSends {
			o.attempt(o.entry())
		}
	})
}

// send sends a key once.
func (o *order) send(k key, index int) {
	o.unsent = false
	o.transmit(k, index, true, func() {})
}

func (o *order) transmit(k key, index int, duplicable bool, refused func()) {
	o.w.toDaemon(o.region, index, duplicable, func(d *daemon) {
		d.handle(message{key: k, order: o.id, respond: func(a answer) {
			o.w.transmit(d.vm.region, o.region, false, func() { o.receive(k, a) })
		}})
	}, refused)
}

// sendBare sends the order without a ticket.
func (o *order) sendBare() {
	if o.w.config.Way != WayTicket {
		return
	}
	bare := key("order-" + strconv.Itoa(o.id))
	index := o.entry()
	answered := false
	o.w.toDaemon(o.region, index, true, func(d *daemon) {
		d.handle(message{key: bare, order: o.id, respond: func(a answer) {
			o.w.transmit(d.vm.region, o.region, false, func() {
				answered = true
				o.w.check.told(bare, o.id, a)
				o.adopt(a.ticket)
			})
		}})
	}, func() {})
	o.w.after(callerTimeout, func() {
		if !answered && o.key == "" && o.asks < maxSends {
			o.asks++
			o.sendBare()
		}
	})
}

// receive takes in an answer, which may be late and of an earlier key.
func (o *order) receive(k key, a answer) {
	o.w.check.told(k, o.id, a)
	if o.done || k != o.key {
		return
	}
	o.heard, o.unsent = true, false
	o.best = o.best.Merge(a.verdict)
	switch a.verdict {
	case types.Ran:
		o.done = true
	case types.NotRun:
		o.renew(a.ticket)
	case types.MayHaveRun:
		o.retry()
	}
}

// renew goes on with a fresh ticket, since the present one never runs.
func (o *order) renew(text string) {
	if o.keys >= maxKeys {
		o.done = true
		return
	}
	if o.w.config.Way != WayTicket {
		o.retry()
		return
	}
	o.key = ""
	o.w.after(o.w.between(0, retryDelay), func() {
		if text == "" {
			o.ask()
			return
		}
		o.adopt(text)
	})
}

// retry sends the same key again later, to learn more.
func (o *order) retry() {
	sent, k := o.sends, o.key
	if sent >= maxSends {
		o.done = true
		return
	}
	o.w.after(retryDelay+o.w.between(0, retryDelay), func() {
		if !o.done && o.key == k && o.sends == sent {
			o.attempt(o.entry())
		}
	})
}
