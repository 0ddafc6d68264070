package crashes

import (
	"sync"
	"time"
)

// Limits of a History.
const (
	// historySize bounds the traits of one generation.
	historySize = 8192
	// generationTime is how long a generation takes traits before the next one does.
	generationTime = 5 * time.Minute
)

// History remembers the traits of requests whose answers got on, for five to ten
// minutes. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// current and previous are the two newest generations.
	current, previous map[Trait]bool
	begunAt           time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{current: make(map[Trait]bool)}
}

// Add remembers the traits.
func (h *History) Add(traits Traits, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.begunAt) > generationTime || len(h.current) >= historySize {
		h.previous, h.current, h.begunAt = h.current, make(map[Trait]bool), now
	}
	for _, trait := range traits {
		h.current[trait] = true
	}
}

// Contains reports whether the trait is remembered.
func (h *History) Contains(trait Trait) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current[trait] || h.previous[trait]
}
