// Package oncehistory plays random histories of orders against the at-most-once
// ledgers of a few daemons, on injected time and network, and checks after each
// step that no order ran twice and that every verdict told was true. All of it
// runs in one goroutine and follows from the seed.
package oncehistory

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const regionCount = 3

// epoch is the start of every history.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// world is the state of one history.
type world struct {
	config  Config
	rng     *rand.Rand
	now     time.Time
	seq     int
	queue   eventQueue
	cut     [regionCount][regionCount]bool
	vms     []*vm
	workers []*worker
	orders  []*order
	keyring *ticket.Keyring
	check   *checker
	runs    int
}

// vm is one entry VM; its daemon is replaced when it restarts.
type vm struct {
	index   int
	region  int
	boots   int
	current *daemon // nil while down
	listed  bool
}

// worker is one order worker. While down it refuses connections.
type worker struct {
	region int
	down   bool
}

func (w *world) chance(p float64) bool {
	return p > 0 && w.rng.Float64() < p
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) after(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(delay), seq: w.seq, run: run})
}

// step runs the next event; it reports false when there is none.
func (w *world) step() bool {
	if len(w.queue) == 0 {
		return false
	}
	next, _ := heap.Pop(&w.queue).(event)
	w.now = next.at
	w.check.step++
	next.run()
	return true
}

// transmit delivers between two regions, or not: it drops, delays, duplicates
// and reorders.
func (w *world) transmit(from, to int, duplicable bool, deliver func()) {
	copies := 1
	if duplicable && w.chance(w.config.Faults.Duplicate) {
		copies = 2
	}
	for range copies {
		if w.cut[from][to] || w.chance(w.config.Faults.Drop) {
			continue
		}
		delay := w.between(time.Millisecond, 5*time.Millisecond)
		if from != to {
			delay += 55 * time.Millisecond
		}
		if w.chance(w.config.Faults.Delay) {
			delay += w.between(0, maxDelay)
		}
		w.after(delay, deliver)
	}
}

// maxDelay is how late a message may arrive; it exceeds every timeout and the
// lifetime of a ticket.
const maxDelay = 45 * time.Second

// toDaemon sends to whatever daemon runs on the VM when the message arrives.
// A send that is not duplicable is made on one connection by a transport that
// does not repeat it: when that is refused, nothing was sent.
func (w *world) toDaemon(from, index int, duplicable bool, deliver func(*daemon), refused func()) {
	if w.chance(w.config.Faults.Misdeliver) {
		index = w.rng.IntN(len(w.vms))
	}
	target := w.vms[index]
	w.transmit(from, target.region, duplicable, func() {
		if target.current == nil {
			w.transmit(target.region, from, false, refused)
			return
		}
		d := target.current
		w.on(d, func() { deliver(d) })
	})
}

// on runs an event of a daemon: never once it has crashed, and not before the
// end of a pause.
func (w *world) on(d *daemon, run func()) {
	switch {
	case d.dead:
	case w.now.Before(d.pausedUntil):
		w.after(d.pausedUntil.Sub(w.now)+w.between(0, time.Millisecond), func() { w.on(d, run) })
	default:
		run()
	}
}

// work sends an attempt to an order worker. A TCP connection neither repeats
// nor reorders, so that the attempt arrives at most once.
func (w *world) work(from int, to *worker, k key, order int, answered func(string), refused func()) {
	w.transmit(from, to.region, false, func() {
		if to.down {
			w.transmit(to.region, from, false, refused)
			return
		}
		w.runs++
		w.check.ran(k, order)
		w.after(w.between(5*time.Millisecond, 200*time.Millisecond), func() {
			w.transmit(to.region, from, false, func() { answered(bodyOf(k)) })
		})
	})
}

// answer is what a caller receives.
type answer struct {
	verdict types.Verdict
	code    types.Code
	body    string
	ticket  string
}
