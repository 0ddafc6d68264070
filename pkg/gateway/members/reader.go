package members

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of the choice of readers.
const (
	// staleSlack is what the age of the newest news of the store may exceed one
	// waiting call by before a daemon that is not its region's reader starts to
	// read for itself.
	staleSlack = 500 * time.Millisecond
	// staleStep sets the daemons of a region apart, so that one takes over.
	staleStep = 200 * time.Millisecond
	readerKey = "store-reader"
)

// StoreAge is when the store was last heard of.
type StoreAge struct {
	// Newest is the age of the newest news from any daemon, this one included.
	Newest time.Duration
	// Primary is the age of the newest news that the region's first reader read.
	Primary time.Duration
	// Wait is how long one waiting call of a reader takes.
	Wait time.Duration
}

// stale is the age from which news are old.
func (n StoreAge) stale() time.Duration {
	return n.Wait + staleSlack
}

// ShouldRead reports whether this daemon reads the store itself: the first of
// its region by rendezvous always does, the others when the news have become
// old. A daemon that has begun goes on until the first one has fresh news.
func (t *Table) ShouldRead(reading bool, news StoreAge, now time.Time) bool {
	place := t.readerPlace(now)
	if place == 0 {
		return true
	}
	if reading {
		return news.Primary > news.stale()
	}
	return news.Newest > news.stale()+time.Duration(place-1)*staleStep
}

// readerPlace is this daemon's place among the live daemons of its region.
func (t *Table) readerPlace(now time.Time) int {
	return slices.Index(t.readers(now), t.self.VM)
}

// PrimaryReader returns the daemon of the own region that reads the store, which
// may be this one.
func (t *Table) PrimaryReader(now time.Time) types.VMID {
	return t.readers(now)[0]
}

// readers returns the daemons of the own region, this one included, in the order
// in which they read the store.
func (t *Table) readers(now time.Time) []types.VMID {
	candidates := []types.VMID{t.self.VM}
	for _, member := range t.Live(now) {
		if member.Region == t.self.Region && member.State != Leaving {
			candidates = append(candidates, member.VM)
		}
	}
	return rendezvous.Top(readerKey, candidates, len(candidates))
}
