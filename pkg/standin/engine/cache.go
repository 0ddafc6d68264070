package engine

import "time"

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 4096

// Cache event kinds.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// cacheEvent tells of one stored or evicted prefix.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix uint64 `json:"prefix"`
	at     time.Time
}

// prefixCache holds prefix hashes, least recently used first out. The engine's
// lock guards it.
type prefixCache struct {
	limit  int
	clock  uint64
	used   map[uint64]uint64
	events []cacheEvent
	seq    uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, used: make(map[uint64]uint64)}
}

// take returns how many leading prefixes were cached, and caches them all.
func (c *prefixCache) take(prefixes []uint64, now time.Time) int {
	hits := 0
	for _, prefix := range prefixes {
		if _, cached := c.used[prefix]; !cached {
			break
		}
		hits++
	}
	for _, prefix := range prefixes {
		c.store(prefix, now)
	}
	return hits
}

func (c *prefixCache) store(prefix uint64, now time.Time) {
	c.clock++
	_, cached := c.used[prefix]
	c.used[prefix] = c.clock
	if cached {
		return
	}
	c.record(eventStored, prefix, now)
	if len(c.used) > c.limit {
		c.evict(now)
	}
}

func (c *prefixCache) evict(now time.Time) {
	var oldest uint64
	oldestUse := c.clock + 1
	for prefix, use := range c.used {
		if use < oldestUse {
			oldest, oldestUse = prefix, use
		}
	}
	delete(c.used, oldest)
	c.record(eventEvicted, oldest, now)
}

func (c *prefixCache) record(kind string, prefix uint64, now time.Time) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: prefix, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after seq that are older than lag, leaving out each
// drop-th one.
func (c *prefixCache) since(seq uint64, now time.Time, lag time.Duration, drop int) []cacheEvent {
	events := []cacheEvent{}
	for _, event := range c.events {
		if event.Seq <= seq || now.Sub(event.at) < lag {
			continue
		}
		if drop > 0 && event.Seq%uint64(drop) == 0 {
			continue
		}
		events = append(events, event)
	}
	return events
}

// newest returns the number of the newest event that is older than lag; zero
// when there is none.
func (c *prefixCache) newest(now time.Time, lag time.Duration) uint64 {
	for i := len(c.events) - 1; i >= 0; i-- {
		if now.Sub(c.events[i].at) >= lag {
			return c.events[i].Seq
		}
	}
	return 0
}

// share returns the used share of the cache, 0 to 1.
func (c *prefixCache) share() float64 {
	return float64(len(c.used)) / float64(c.limit)
}
