package spill

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	bitsPerByte = 8
	// linkBurst is the period whose bytes a link budget accumulates at most.
	linkBurst = time.Second
)

// linkBudget is a token bucket for this daemon's share of a link's bytes. It
// may go into debt, so that a request larger than the burst passes once the
// bucket is full; the debt is paid off before the next request spills over.
// Requests bound to their home region are charged even if the bucket is empty.
type linkBudget struct {
	bytes   float64
	updated time.Time
}

// refill adds the bytes accumulated since the last call, up to the burst; rate
// is in bytes per second.
func (b *linkBudget) refill(rate float64, now time.Time) {
	burst := rate * linkBurst.Seconds()
	if b.updated.IsZero() {
		// Charges may have come before.
		b.bytes, b.updated = b.bytes+burst, now
		return
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.bytes += rate * elapsed.Seconds()
		b.updated = now
	}
	b.bytes = min(b.bytes, burst)
}

// allows reports whether a request of the given size may be sent now. It does
// not charge the budget.
func (b *linkBudget) allows(rate, bytes float64, now time.Time) bool {
	b.refill(rate, now)
	return b.bytes >= min(bytes, rate*linkBurst.Seconds())
}

// linkBetween returns the published link between two regions, in either
// direction.
func linkBetween(links []published.Link, a, b types.Region) (published.Link, bool) {
	for _, link := range links {
		if link.From == a && link.To == b || link.From == b && link.To == a {
			return link, true
		}
	}
	return published.Link{}, false
}
