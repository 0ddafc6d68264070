package once

import (
	"encoding/binary"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// OwnerFor names the incarnation that a fresh ticket should bind to: this
// daemon, or another live one, the nearest first, while this daemon is draining
// or its region can't run the service. A nil service runs in every region. It
// reports false when there is none.
func OwnerFor(id ticket.ID, service *published.Service, view *snapshot.Snapshot) (types.Incarnation, bool) {
	runs := regionsOf(service, view)
	if !view.Draining && runs.in(view.Self.Region) {
		return view.Self.Incarnation, true
	}
	var best []types.Incarnation
	nearest := farther
	for i := range view.Members {
		member := &view.Members[i]
		if member.State != snapshot.MemberAlive || member.Incarnation.Boot == "" || !runs.in(member.Region) {
			continue
		}
		distance := distanceTo(member, view.Self)
		if distance < nearest {
			best, nearest = best[:0], distance
		}
		if distance == nearest {
			best = append(best, member.Incarnation)
		}
	}
	if len(best) == 0 {
		return types.Incarnation{}, false
	}
	spread := binary.BigEndian.Uint64(id[:])
	return best[spread%uint64(len(best))], true
}

// serving tells which regions can run a service.
type serving struct {
	service *published.Service
	// ready lists the regions with a ready endpoint; empty means that none is
	// known, and then every allowed region counts.
	ready map[types.Region]bool
}

func regionsOf(service *published.Service, view *snapshot.Snapshot) serving {
	s := serving{service: service, ready: make(map[types.Region]bool)}
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

func (s serving) in(region types.Region) bool {
	if s.service == nil {
		return true
	}
	if len(s.ready) > 0 {
		return s.ready[region]
	}
	return s.service.Allows(region)
}

// distance orders members by how near they are.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	farther
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
