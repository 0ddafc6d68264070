package members

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// smallLinkFactor is how many times as fast the link of the best connected daemon of a
	// data centre is as one that counts as small.
	smallLinkFactor = 4
	// minLeading is the least number of daemons of a data centre that take its traffic:
	// with fewer, the loss of one daemon would leave none.
	minLeading = 2
)

// Leading returns the daemons that take the traffic: of each data centre those with large
// links, if these together have most of what all its links have, else all of it. On a small
// link a few long prompts hold up everything that comes behind them, what the daemons say to
// each other too. Daemons that do not tell their link are as good as any.
func Leading(daemons []Member) []Member {
	links := make(map[types.DataCentre]dataCentreLinks)
	for _, member := range daemons {
		known := links[member.DataCentre]
		known.largest = max(known.largest, member.LinkMegabits)
		links[member.DataCentre] = known
	}
	for _, member := range daemons {
		known := links[member.DataCentre]
		known.add(member)
		links[member.DataCentre] = known
	}
	return slices.DeleteFunc(slices.Clone(daemons), func(member Member) bool {
		known := links[member.DataCentre]
		return known.suffice() && known.isSmall(member)
	})
}

// dataCentreLinks sums up the links of the daemons of one data centre, in megabits per
// second.
type dataCentreLinks struct {
	largest int
	// large counts the daemons that are not small; their links sum up to largeSum, all to
	// sum.
	large         int
	largeSum, sum int
}

// add adds a daemon once the largest link is known.
func (l *dataCentreLinks) add(member Member) {
	l.sum += member.LinkMegabits
	if !l.isSmall(member) {
		l.large++
		l.largeSum += member.LinkMegabits
	}
}

// isSmall reports whether the link of a daemon is small beside the largest.
func (l *dataCentreLinks) isSmall(member Member) bool {
	return member.LinkMegabits > 0 && member.LinkMegabits < l.largest/smallLinkFactor
}

// suffice reports whether the daemons with large links can take all traffic.
func (l *dataCentreLinks) suffice() bool {
	return l.large >= minLeading && 2*l.largeSum > l.sum
}
