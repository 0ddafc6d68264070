package once

import (
	"encoding/binary"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// OwnerFor names the incarnation that a fresh ticket should bind to: this
// daemon, or another live one of an allowed region, the nearest first, while
// this daemon is draining or may not serve the service. A nil service allows
// every region. It reports false when there is none.
func OwnerFor(id ticket.ID, service *published.Service, view *snapshot.Snapshot) (types.Incarnation, bool) {
	allowed := func(region types.Region) bool { return service == nil || service.Allows(region) }
	if !view.Draining && allowed(view.Self.Region) {
		return view.Self.Incarnation, true
	}
	var best []types.Incarnation
	nearest := farther
	for _, member := range view.Members {
		if member.State != snapshot.MemberAlive || member.Incarnation.Boot == "" || !allowed(member.Region) {
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

// distance orders members by how near they are.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	farther
)

func distanceTo(member snapshot.Member, self snapshot.Self) distance {
	switch {
	case member.Region != self.Region:
		return otherRegion
	case member.DataCentre != self.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}
