package balance

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of the rate of cold endpoints.
const (
	// coldSenders is how many daemons of a region at least share the rate of a cold
	// endpoint; more do if the rate suffices for a request a second from each.
	coldSenders = 3
	// maxUnseenSenders bounds the senders assumed on the other side of a
	// partition: two more groups of daemons.
	maxUnseenSenders = 2 * coldSenders
	// coldMargin keeps the sum of the shares below the bound in regions with more
	// daemons than coldSenders, when one of them counts itself as one more sender
	// because the others do not know it yet.
	coldMargin = 0.75
	// joiningShare bounds the requests per second to a cold endpoint from a daemon
	// that has just started and may not know all others of its region yet.
	joiningShare = 1
)

// coldShare returns how many requests per second this daemon may send to the
// endpoint while it is cold or may have turned cold: the same in both cases, so
// that the shares add up also while only some daemons know that it is cold.
func (p *Pool) coldShare(ep *endpointState) int {
	return p.peers.coldShare(ep.service.ColdPerSecond*p.bounds.ColdOvershoot+p.bounds.ColdSlack, ep.coldRank)
}

// coldShare returns how many requests per second the daemon with a rank may send to
// a cold endpoint that all daemons together may send total requests per second. The
// daemons share the rate without communicating: those that see each other, and
// those of the region that this daemon does not see now, which may be on the other
// side of a partition and see only each other. A daemon that has never seen another
// assumes that others exist. One that has just started sends nothing, or at most
// joiningShare in a small region of which it has heard.
func (s Membership) coldShare(total float64, rank int) int {
	visible, unseen := s.visibleDaemons(), s.unseenSenders()
	small := s.PeakLive > 1 && visible+unseen <= coldSenders
	switch {
	case small && s.Joining:
		return min(joiningShare, int(total/float64(visible+unseen)))
	case small:
		return int(total / float64(visible+unseen))
	case s.Joining:
		return 0
	}
	budget := int(total * coldMargin * coldSenders / float64(coldSenders+unseen))
	senders := max(min(visible, budget), coldSenders)
	if rank >= senders {
		return 0
	}
	share := budget / senders
	if visible > coldSenders && rank < budget%senders {
		share++
	}
	return share
}

// unseenSenders returns how many daemons of the region that this one does not see
// now are assumed to send.
func (s Membership) unseenSenders() int {
	return min(max(s.PeakLive-s.visibleDaemons(), 0), maxUnseenSenders)
}

// visibleDaemons counts the daemons of the region that this one sees now, itself
// included.
func (s Membership) visibleDaemons() int {
	if slices.Contains(s.Live, s.Self) {
		return len(s.Live)
	}
	return len(s.Live) + 1
}

// coldRank returns the position of this daemon among those that share the rate of
// a cold endpoint, by rendezvous hashing, which all daemons compute alike.
func (s Membership) coldRank(endpoint types.EndpointID) int {
	own := rendezvous.Weight(string(endpoint), s.Self)
	ahead := 0
	for _, vm := range s.Live {
		if vm != s.Self && rendezvous.Weight(string(endpoint), vm) > own {
			ahead++
		}
	}
	return ahead
}
