package balance

import "time"

// cacheShare is the share of an engine's memory assumed to hold prefixes;
// running requests need the rest.
const cacheShare = 0.6

// defaultCacheTokens applies to engines that do not report their memory.
const defaultCacheTokens = 250_000

// cache models which large prefixes an engine holds: the ones that this daemon
// sent to it most recently, as far as they fit.
type cache struct {
	held   map[uint64]cachedPrefix
	tokens int
}

type cachedPrefix struct {
	tokens   int
	lastUsed time.Time
}

// insert records that the engine prefills a prefix now, and evicts the least
// recently used prefixes that no longer fit.
func (c *cache) insert(prefix uint64, tokens, capacity int, now time.Time) {
	if c.held == nil {
		c.held = make(map[uint64]cachedPrefix)
	}
	c.tokens += tokens - c.held[prefix].tokens
	c.held[prefix] = cachedPrefix{tokens: tokens, lastUsed: now}
	for c.tokens > capacity && len(c.held) > 1 {
		c.evictLeastRecent()
	}
}

func (c *cache) evictLeastRecent() {
	var oldest uint64
	var oldestUse time.Time
	for prefix, entry := range c.held {
		if oldestUse.IsZero() || entry.lastUsed.Before(oldestUse) {
			oldest, oldestUse = prefix, entry.lastUsed
		}
	}
	c.tokens -= c.held[oldest].tokens
	delete(c.held, oldest)
}

// insertAll records every shared prefix of a prompt that the engine prefills
// now.
func (c *cache) insertAll(req RequestInfo, capacity int, now time.Time) {
	before := 0
	for _, part := range req.ShorterPrefixes {
		c.insert(part.Hash, part.Tokens-before, capacity, now)
		before = part.Tokens
	}
	c.insert(req.Prefix, req.PrefixTokens-before, capacity, now)
}

// longestHeld returns the length, in tokens, of the longest shared prefix that
// the engine holds.
func (c *cache) longestHeld(req RequestInfo) int {
	if c.holds(req.Prefix) {
		return req.PrefixTokens
	}
	longestHeld := 0
	for _, part := range req.ShorterPrefixes {
		if c.holds(part.Hash) {
			longestHeld = part.Tokens
		}
	}
	return longestHeld
}

// holds reports whether the engine is expected to have the prefix.
func (c *cache) holds(prefix uint64) bool {
	_, held := c.held[prefix]
	return held
}

// clear removes all prefixes: the engine may have restarted.
func (c *cache) clear() {
	c.held, c.tokens = nil, 0
}
