package control

import (
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Snapshot is an immutable copy of the control state at one time.
type Snapshot struct {
	Self members.Member
	// Members lists the other live daemons, sorted by VM.
	Members []members.Member
	// Peak holds the largest numbers of daemons seen at once.
	Peak members.Peak
	// Joining is true shortly after the start, while the daemon may not know the
	// others yet.
	Joining bool
	// Demand holds, by region, what callers lately asked for, as the daemons that left
	// there told it.
	Demand map[types.Region]demand.Counts
	// Left holds the regions with daemons that announced that they leave and are not
	// back yet.
	Left map[types.Region]bool
	View *catalog.View
	// StoreReadAt is when the store was last read, by whichever daemon, with nothing
	// in the answer that this daemon lacks; zero if that is not known.
	StoreReadAt time.Time
	// ConfirmedAt is the moment, in time that counts suspensions of the VM, up to which
	// View.Config includes every version that the store acknowledged; zero if none is known.
	ConfirmedAt time.Time
	// Withheld holds the traits that no request to an endpoint may have.
	Withheld map[crashes.Trait]crashes.Verdict
	// Suspected holds the traits of which answers that got on are reported.
	Suspected map[crashes.Trait]bool
}

// MayTry reports whether this daemon may let one request try a withheld trait: its
// time is over, and of the live daemons this one is chosen to try it.
func (s *Snapshot) MayTry(trait crashes.Trait, now time.Time) bool {
	verdict, found := s.Withheld[trait]
	if !found || now.Before(verdict.RetryAt) || s.Joining {
		return false
	}
	daemons := []types.VMID{s.Self.VM}
	for _, member := range s.Members {
		if member.State == members.Serving {
			daemons = append(daemons, member.VM)
		}
	}
	return rendezvous.Top(trait.String(), daemons, 1)[0] == s.Self.VM
}

// Ready reports whether the daemon accepts new callers: it has a configuration
// and is not leaving.
func (s *Snapshot) Ready() bool {
	return s.View.Config != nil && s.Self.State != members.Leaving
}

// InRegion returns the live serving daemons of a region, including this one.
func (s *Snapshot) InRegion(region types.Region) []members.Member {
	var serving []members.Member
	if s.Self.Region == region && s.Self.State == members.Serving {
		serving = append(serving, s.Self)
	}
	for _, member := range s.Members {
		if member.Region == region && member.State == members.Serving {
			serving = append(serving, member)
		}
	}
	return serving
}

// Leading returns those of some serving daemons that take the traffic: where the
// configuration has short urgent work beside long work, and links differ, those with large
// links; else all.
func (s *Snapshot) Leading(daemons []members.Member) []members.Member {
	if s.View == nil || s.View.Config == nil || !s.View.Config.Predicts() {
		return daemons
	}
	return members.Leading(daemons)
}

// Serving returns the regions with at least one serving daemon.
func (s *Snapshot) Serving() map[types.Region]bool {
	regions := map[types.Region]bool{}
	if s.Self.State == members.Serving {
		regions[s.Self.Region] = true
	}
	for _, member := range s.Members {
		if member.State == members.Serving {
			regions[member.Region] = true
		}
	}
	return regions
}

// snapshotHolder publishes snapshots to request goroutines.
type snapshotHolder struct {
	current atomic.Pointer[publication]
}

// publication is a snapshot with a channel that is closed when the next one
// replaces it.
type publication struct {
	snapshot *Snapshot
	replaced chan struct{}
}

// load returns the newest snapshot, and nil before the first one.
func (h *snapshotHolder) load() *Snapshot {
	if current := h.current.Load(); current != nil {
		return current.snapshot
	}
	return nil
}

// next returns the newest snapshot and a channel that is closed when a newer one
// is published.
func (h *snapshotHolder) next() (*Snapshot, <-chan struct{}) {
	current := h.current.Load()
	return current.snapshot, current.replaced
}

func (h *snapshotHolder) store(next *Snapshot) {
	previous := h.current.Swap(&publication{snapshot: next, replaced: make(chan struct{})})
	if previous != nil {
		close(previous.replaced)
	}
}
