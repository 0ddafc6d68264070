package balance

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Daemon is a daemon that serves in the region.
type Daemon struct {
	VM         types.VMID
	DataCentre types.DataCentre
}

// Membership lists the daemons that use the same endpoints, as this daemon sees
// them.
type Membership struct {
	Self types.VMID
	// Live lists the live daemons of the region; it may or may not include this
	// one.
	Live []types.VMID
	// SameDataCentre lists the serving daemons of the data centre of this daemon.
	SameDataCentre []types.VMID
	// Serving lists the serving daemons of the region that take its traffic, with their
	// data centres.
	Serving []Daemon
	// OthersTakeNothing is true if the other daemons of the region are led no traffic.
	OthersTakeNothing bool
	// PeakLive is the largest number of daemons of the region ever seen at once.
	PeakLive int
	// Joining is true while this daemon has just started and may not know the
	// others yet.
	Joining bool
}

// senders returns how many daemons send to the endpoints of the region.
func (s Membership) senders() int {
	if s.OthersTakeNothing {
		return max(len(s.Serving), 1)
	}
	return s.visibleDaemons()
}

// equal reports whether both memberships lead to the same assignment of
// endpoints.
func (s Membership) equal(other Membership) bool {
	return s.Self == other.Self && slices.Equal(s.Live, other.Live) &&
		slices.Equal(s.SameDataCentre, other.SameDataCentre) && slices.Equal(s.Serving, other.Serving) && s.OthersTakeNothing == other.OthersTakeNothing
}
