package balance

import "time"

// cacheShare is the part of an engine's memory that is taken to hold prefixes;
// running requests need the rest.
const cacheShare = 0.6

// defaultCacheTokens holds for engines that do not say how much memory they have.
const defaultCacheTokens = 250_000

// cache models which large prefixes an engine holds: those that this daemon sent
// it last, as far as they fit.
type cache struct {
	held   map[uint64]cachedPrefix
	tokens int
}

type cachedPrefix struct {
	tokens int
	usedAt time.Time
}

// note takes a prefix that the engine reads now and drops those used least
// recently that no longer fit.
func (c *cache) note(prefix uint64, tokens, capacity int, now time.Time) {
	if c.held == nil {
		c.held = make(map[uint64]cachedPrefix)
	}
	c.tokens += tokens - c.held[prefix].tokens
	c.held[prefix] = cachedPrefix{tokens: tokens, usedAt: now}
	for c.tokens > capacity && len(c.held) > 1 {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	var oldest uint64
	var at time.Time
	for prefix, one := range c.held {
		if at.IsZero() || one.usedAt.Before(at) {
			oldest, at = prefix, one.usedAt
		}
	}
	c.tokens -= c.held[oldest].tokens
	delete(c.held, oldest)
}

// noteAll takes every shared part of a prompt that the engine reads now.
func (c *cache) noteAll(ask RequestInfo, capacity int, now time.Time) {
	before := 0
	for _, part := range ask.ShorterPrefixes {
		c.note(part.Hash, part.Tokens-before, capacity, now)
		before = part.Tokens
	}
	c.note(ask.Prefix, ask.PrefixTokens-before, capacity, now)
}

// longest returns the length of the longest shared part that the engine holds.
func (c *cache) longest(ask RequestInfo) int {
	if c.holds(ask.Prefix) {
		return ask.PrefixTokens
	}
	longest := 0
	for _, part := range ask.ShorterPrefixes {
		if c.holds(part.Hash) {
			longest = part.Tokens
		}
	}
	return longest
}

// holds reports whether the engine should still have the prefix.
func (c *cache) holds(prefix uint64) bool {
	_, held := c.held[prefix]
	return held
}

// clear forgets everything: the engine may have restarted.
func (c *cache) clear() {
	c.held, c.tokens = nil, 0
}
