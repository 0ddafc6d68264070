package control

import (
	"sync/atomic"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Snapshot is what the daemon knows at one moment; it is immutable.
type Snapshot struct {
	Self members.Member
	// Members lists the other live daemons, sorted by VM.
	Members []members.Member
	// RegionPeak is the largest number of daemons of the own region seen at
	// once, this one included.
	RegionPeak int
	// FleetPeak is the same for all regions.
	FleetPeak int
	// Joining is true while the daemon has just started and may not know the
	// others yet.
	Joining bool
	View    *catalog.View
	// Suspects holds the contents after which an endpoint crashed; the value
	// is true for those that crashed too many and must not run.
	Suspects map[request.Fingerprint]bool
}

// Ready reports whether the daemon takes new callers.
func (s *Snapshot) Ready() bool {
	return s.View.Config != nil && s.Self.State != members.Leaving
}

// InRegion returns the live daemons of a region that serve, this one included.
func (s *Snapshot) InRegion(region types.Region) []members.Member {
	var found []members.Member
	if s.Self.Region == region && s.Self.State == members.Serving {
		found = append(found, s.Self)
	}
	for _, member := range s.Members {
		if member.Region == region && member.State == members.Serving {
			found = append(found, member)
		}
	}
	return found
}

// Serving returns the regions in which a daemon serves.
func (s *Snapshot) Serving() map[types.Region]bool {
	found := map[types.Region]bool{}
	if s.Self.State == members.Serving {
		found[s.Self.Region] = true
	}
	for _, member := range s.Members {
		if member.State == members.Serving {
			found[member.Region] = true
		}
	}
	return found
}

// holder publishes snapshots to traffic goroutines.
type holder struct {
	current atomic.Pointer[Snapshot]
}

func (h *holder) load() *Snapshot {
	return h.current.Load()
}

func (h *holder) store(next *Snapshot) {
	h.current.Store(next)
}
