package once

import (
	"encoding/binary"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// OwnerFor returns the daemon incarnation that a new ticket should name as its
// owner. That is this daemon, or one of the nearest other live daemons while
// this one is draining or its region can't run the service. A nil service runs
// in every region. OwnerFor returns false when no daemon qualifies.
func OwnerFor(id ticket.ID, service *published.Service, view *snapshot.Snapshot) (types.Incarnation, bool) {
	regions := servingRegionsOf(service, view)
	if !view.Draining && regions.contain(view.Self.Region) {
		return view.Self.Incarnation, true
	}
	var candidates []types.Incarnation
	shortest := noMember
	for i := range view.Members {
		member := &view.Members[i]
		if member.State != snapshot.MemberAlive || member.Incarnation.Boot == "" || !regions.contain(member.Region) {
			continue
		}
		distance := distanceTo(member, view.Self)
		if distance < shortest {
			candidates, shortest = candidates[:0], distance
		}
		if distance == shortest {
			candidates = append(candidates, member.Incarnation)
		}
	}
	if len(candidates) == 0 {
		return types.Incarnation{}, false
	}
	randomBits := binary.BigEndian.Uint64(id[:])
	return candidates[randomBits%uint64(len(candidates))], true
}

// servingRegions is the set of regions that can run a service.
type servingRegions struct {
	service *published.Service
	// ready holds the regions with a ready endpoint. When it is empty, no ready
	// endpoint is known and every allowed region counts.
	ready map[types.Region]bool
}

func servingRegionsOf(service *published.Service, view *snapshot.Snapshot) servingRegions {
	s := servingRegions{service: service, ready: make(map[types.Region]bool)}
	if service == nil {
		return s
	}
	for _, endpoint := range view.Endpoints[service.Name] {
		if endpoint.State == snapshot.EndpointReady && service.Allows(endpoint.Region) {
			s.ready[endpoint.Region] = true
		}
	}
	return s
}

func (s servingRegions) contain(region types.Region) bool {
	if s.service == nil {
		return true
	}
	if len(s.ready) > 0 {
		return s.ready[region]
	}
	return s.service.Allows(region)
}

// distance ranks members by their proximity to this daemon, nearest first.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	noMember // greater than the distance to any member
)

func distanceTo(member *snapshot.Member, self snapshot.Self) distance {
	switch {
	case member.Region != self.Region:
		return otherRegion
	case member.DataCentre != self.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}
