package demand

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// visitorMemory is for how long the callers of a region without serving daemons count as
// visitors; after that they belong to the daemons that serve them.
const visitorMemory = 2 * Window

// Visitors tells when callers of other regions may be using this daemon, because theirs
// has lost its daemons. The zero value is ready for use; it is not safe for concurrent
// use.
type Visitors struct {
	lastServed map[types.Region]time.Time
}

// Expected reports whether a region other than the own one, which lately had a serving
// daemon, has none now. serving holds the regions that have one.
func (v *Visitors) Expected(own types.Region, serving map[types.Region]bool, now time.Time) bool {
	if v.lastServed == nil {
		v.lastServed = make(map[types.Region]time.Time)
	}
	for region := range serving {
		v.lastServed[region] = now
	}
	expected := false
	for region, at := range v.lastServed {
		switch {
		case now.Sub(at) > visitorMemory:
			delete(v.lastServed, region)
		case region != own && !serving[region]:
			expected = true
		}
	}
	return expected
}
