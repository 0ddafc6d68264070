package oncehistory

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Way is a way to keep orders from running twice.
type Way string

// The ways that are compared.
const (
	// WayTicket is package once.
	WayTicket Way = "ticket"
	// WayRendezvous lets the VM with the highest hash of key and published VM
	// own a key that the caller chose and that carries its time of issue.
	WayRendezvous Way = "rendezvous"
	// WayNaive remembers keys in each daemon by itself.
	WayNaive Way = "naive"
)

func (w *world) newLedger(d *daemon) decider {
	switch w.config.Way {
	case WayRendezvous:
		first := reading{published: w.publishedVMs(), at: d.clock()}
		return &rendezvous{memory: newMemory(), d: d, readings: []reading{first}}
	case WayNaive:
		return newMemory()
	}
	return once.NewLedger(d.self, w.keyring, w.config.Ledger)
}

// memory is the naive way: a map of one daemon, of whatever size.
type memory struct {
	known map[ticket.ID]*memoryRecord
}

type memoryRecord struct {
	running bool
	outcome once.Outcome
}

var _ decider = (*memory)(nil)

func newMemory() *memory {
	return &memory{known: make(map[ticket.ID]*memoryRecord)}
}

// idOf maps a key that is no ticket to an ID.
func idOf(k string) ticket.ID {
	sum := sha256.Sum256([]byte(k))
	return ticket.ID(sum[:len(ticket.ID{})])
}

// Begin runs every key that this daemon has not seen.
func (m *memory) Begin(_ time.Time, order once.RequestInfo, _ *snapshot.Snapshot) once.Decision {
	id := idOf(order.Key)
	record, ok := m.known[id]
	if !ok {
		m.known[id] = &memoryRecord{running: true}
		return once.Decision{Action: once.ActionRun, ID: id}
	}
	if record.running {
		return once.Decision{Action: once.ActionWait, ID: id}
	}
	return record.outcome.Decision(id, 0)
}

// Finish remembers the outcome; a key that was not run may run later.
func (m *memory) Finish(_ time.Time, id ticket.ID, outcome once.Outcome) {
	if outcome.Verdict == types.NotRun {
		delete(m.known, id)
		return
	}
	m.known[id] = &memoryRecord{outcome: outcome}
}

// Len is zero: the bounds are not watched.
func (m *memory) Len() int { return 0 }

// ResponseBytes is zero: the bounds are not watched.
func (m *memory) ResponseBytes() int { return 0 }

// futureTolerance is how far ahead of the owner's clock a key's time may lie.
const futureTolerance = 2 * time.Second

// rendezvous is the way without tickets: ownership by hash over the published
// VM list as this daemon last read it, for keys issued after it settled.
type rendezvous struct {
	*memory
	d *daemon
	// readings holds the VM lists that were read, the first one at boot.
	readings []reading
}

// reading is the published VM list as read at a time.
type reading struct {
	published []int
	at        time.Time
}

var _ decider = (*rendezvous)(nil)

// Begin runs a key of this daemon that was issued after ownership settled.
func (r *rendezvous) Begin(now time.Time, order once.RequestInfo, view *snapshot.Snapshot) once.Decision {
	id := idOf(order.Key)
	owner := ownerOf(order.Key, r.readings[len(r.readings)-1].published)
	if owner != r.d.vm.index {
		if len(order.Path) > 0 {
			return refuseMayHaveRun(id, types.CodeLoop)
		}
		return once.Decision{Action: once.ActionForward, ID: id, Owner: types.Incarnation{VM: vmID(owner)}}
	}
	if _, ok := r.known[id]; !ok {
		millis, err := strconv.ParseInt(strings.SplitN(order.Key, "-", 2)[0], 10, 64)
		issued := time.UnixMilli(millis)
		if err != nil || !r.settled(order.Key, issued) || issued.After(now.Add(futureTolerance)) {
			return refuseMayHaveRun(id, types.CodeOwnerGone)
		}
	}
	return r.memory.Begin(now, order, view)
}

func refuseMayHaveRun(id ticket.ID, code types.Code) once.Decision {
	return once.Decision{ID: id, Failure: types.NewFailure(types.MayHaveRun, code, "ownership is not settled")}
}

// Finish keeps refused attempts as well, so that not-run is final here too.
func (r *rendezvous) Finish(_ time.Time, id ticket.ID, outcome once.Outcome) {
	r.known[id] = &memoryRecord{outcome: outcome}
}

// settled reports whether this incarnation has owned the key under every list
// that was read less than the settling time before the key was issued.
func (r *rendezvous) settled(k string, issued time.Time) bool {
	for i := len(r.readings) - 1; ; i-- {
		if issued.After(r.readings[i].at.Add(r.d.w.config.settle())) {
			return true
		}
		if i == 0 || ownerOf(k, r.readings[i-1].published) != r.d.vm.index {
			return false
		}
	}
}

// read takes in a newer reading of the published VM list.
func (r *rendezvous) read(published []int) {
	if !slices.Equal(published, r.readings[len(r.readings)-1].published) {
		r.readings = append(r.readings, reading{published: published, at: r.d.clock()})
	}
}

func ownerOf(k string, published []int) int {
	best, owner := uint64(0), -1
	for _, index := range published {
		if score := xxhash.Sum64String(k + "@" + strconv.Itoa(index)); score >= best {
			best, owner = score, index
		}
	}
	return owner
}

// publishedVMs lists the VMs that the platform publishes at this moment.
func (w *world) publishedVMs() []int {
	var published []int
	for _, v := range w.vms {
		if v.listed {
			published = append(published, v.index)
		}
	}
	return published
}

// publish changes the VM list; each daemon reads it after a lag.
func (w *world) publish(v *vm, listed bool) {
	v.listed = listed
	published := w.publishedVMs()
	for _, other := range w.vms {
		if other.current == nil {
			continue
		}
		reader, ok := other.current.ledger.(*rendezvous)
		if !ok {
			continue
		}
		w.after(w.between(0, w.config.ListLag), func() {
			w.on(reader.d, func() { reader.read(published) })
		})
	}
}
