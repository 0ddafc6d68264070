package spill

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	bitsPerByte = 8
	// linkBurst is how much of its rate a link's budget saves up.
	linkBurst = time.Second
)

// linkBudget is this daemon's part of a link's bytes, as a token bucket. It may
// go into debt by one request, so that a request larger than the burst passes
// once the bucket is full and is paid off before the next one.
type linkBudget struct {
	bytes   float64
	updated time.Time
}

// refill adds what time has brought; rate is in bytes per second.
func (b *linkBudget) refill(rate float64, now time.Time) {
	most := rate * linkBurst.Seconds()
	if b.updated.IsZero() {
		b.bytes, b.updated = most, now
		return
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.bytes += rate * elapsed.Seconds()
		b.updated = now
	}
	b.bytes = min(b.bytes, most)
}

// has reports whether a request of that many bytes may be sent now.
func (b *linkBudget) has(rate, bytes float64, now time.Time) bool {
	b.refill(rate, now)
	return b.bytes >= min(bytes, rate*linkBurst.Seconds())
}

// between returns the published link of two regions, in either direction.
func between(links []published.Link, a, b types.Region) (published.Link, bool) {
	for _, link := range links {
		if link.From == a && link.To == b || link.From == b && link.To == a {
			return link, true
		}
	}
	return published.Link{}, false
}
