package members

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Parameters for choosing which daemons read the store.
const (
	// staleMargin is added to the time of one watch call: when no daemon has read
	// the store for longer than both together, a daemon that is not its region's
	// primary reader starts to read the store itself.
	staleMargin = 500 * time.Millisecond
	// takeoverStagger delays the daemons of a region by their order, so that only one
	// takes over.
	takeoverStagger = 200 * time.Millisecond
	readerKey       = "store-reader"
)

// StoreAge tells how long ago daemons last read the store.
type StoreAge struct {
	// Newest is the age of the newest read by any daemon, including this one.
	Newest time.Duration
	// Primary is the age of the newest read by the region's primary reader.
	Primary time.Duration
	// Wait is how long one watch call of a reader may wait for changes.
	Wait time.Duration
}

// staleAfter returns the age above which a read is stale.
func (n StoreAge) staleAfter() time.Duration {
	return n.Wait + staleMargin
}

// ShouldRead reports whether this daemon reads the store itself. The first daemon
// of its region by rendezvous hashing, the primary reader, always does; the
// others do when the newest read is stale. A daemon that has started to read
// continues until the primary reader has read the store again.
func (t *Table) ShouldRead(reading bool, age StoreAge, now time.Time) bool {
	position := t.readerPosition(now)
	if position == 0 {
		return true
	}
	if reading {
		return age.Primary > age.staleAfter()
	}
	return age.Newest > age.staleAfter()+time.Duration(position-1)*takeoverStagger
}

// readerPosition returns this daemon's position in the order of readers, from 0.
func (t *Table) readerPosition(now time.Time) int {
	return slices.Index(t.readerOrder(now), t.self.VM)
}

// PrimaryReader returns the daemon of the local region that reads the store, which
// may be this one.
func (t *Table) PrimaryReader(now time.Time) types.VMID {
	return t.readerOrder(now)[0]
}

// readerOrder returns this daemon and the live daemons of its region that are not
// leaving, in the order in which they take over reading the store. Those with large links
// come first: what is read passes the reader's link again for each daemon that is told.
func (t *Table) readerOrder(now time.Time) []types.VMID {
	candidates := []Member{t.self}
	for _, member := range t.Live(now) {
		if member.Region == t.self.Region && member.State != Leaving {
			candidates = append(candidates, member)
		}
	}
	leading, others := splitByLink(candidates)
	return append(rendezvous.Top(readerKey, leading, len(leading)), rendezvous.Top(readerKey, others, len(others))...)
}

// splitByLink returns the daemons that take the traffic, as Leading chooses them, and the others.
func splitByLink(daemons []Member) (leading, others []types.VMID) {
	chosen := Leading(daemons)
	for _, member := range daemons {
		if slices.ContainsFunc(chosen, func(other Member) bool { return other.VM == member.VM }) {
			leading = append(leading, member.VM)
		} else {
			others = append(others, member.VM)
		}
	}
	return leading, others
}

// Relays returns one live daemon of each other data centre of the local region, to relay what
// this daemon has read to the others there: one with a large link if there are such.
func (t *Table) Relays(now time.Time) []types.VMID {
	var candidates []Member
	for _, member := range t.Live(now) {
		if member.Region == t.self.Region && member.DataCentre != t.self.DataCentre && member.State != Leaving {
			candidates = append(candidates, member)
		}
	}
	var relays []types.VMID
	told := make(map[types.DataCentre]bool)
	for _, member := range Leading(candidates) {
		if !told[member.DataCentre] {
			told[member.DataCentre] = true
			relays = append(relays, member.VM)
		}
	}
	return relays
}
