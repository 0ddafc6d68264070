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

// senders returns among how many daemons this one shares the slots of an endpoint. One that
// takes no traffic shares them with all: callers with old answers may still use all of those,
// and together they get no more than the slots once again.
func (s Membership) senders() int {
	if s.OthersTakeNothing && !s.takesNothing() {
		return max(len(s.Serving), 1)
	}
	return s.visibleDaemons()
}

// takesNothing reports whether this daemon serves but is led no traffic.
func (s Membership) takesNothing() bool {
	taking := slices.ContainsFunc(s.Serving, func(daemon Daemon) bool { return daemon.VM == s.Self })
	return s.OthersTakeNothing && slices.Contains(s.Live, s.Self) && !taking
}

// equal reports whether both memberships lead to the same assignment of
// endpoints.
func (s Membership) equal(other Membership) bool {
	return s.Self == other.Self && slices.Equal(s.Live, other.Live) &&
		slices.Equal(s.SameDataCentre, other.SameDataCentre) && slices.Equal(s.Serving, other.Serving) && s.OthersTakeNothing == other.OthersTakeNothing
}
