package balance

// outputShare is the largest share of an engine's memory that counts for the response of one
// request: engines take it as they write, and callers may name any length.
const outputShare = 0.1

// memoryUse counts the tokens that the requests of this daemon need in the memory of an
// engine: a large prefix that several of them share counts once. An engine refuses a request
// that is larger than its memory.
type memoryUse struct {
	tokens float64
	// prefixes counts the requests with each large prefix.
	prefixes map[uint64]int
}

// of returns the tokens that a request needs, beside those that are counted, at an engine
// with a capacity.
func (m *memoryUse) of(req RequestInfo, capacity int) float64 {
	if req.PromptTokens > capacity {
		return 0
	}
	needed := float64(req.PromptTokens) + min(float64(req.OutputTokens), outputShare*float64(capacity))
	if req.large() && m.prefixes[req.Prefix] > 0 {
		needed -= float64(req.PrefixTokens)
	}
	return max(needed, 0)
}

// add counts a request at an engine with a capacity.
func (m *memoryUse) add(req RequestInfo, capacity int) {
	m.tokens += m.of(req, capacity)
	if !req.large() || req.PromptTokens > capacity {
		return
	}
	if m.prefixes == nil {
		m.prefixes = make(map[uint64]int)
	}
	m.prefixes[req.Prefix]++
}

// remove no longer counts a request that was added with a capacity.
func (m *memoryUse) remove(req RequestInfo, capacity int) {
	if req.large() && req.PromptTokens <= capacity {
		m.prefixes[req.Prefix]--
		if m.prefixes[req.Prefix] <= 0 {
			delete(m.prefixes, req.Prefix)
		}
	}
	m.tokens = max(m.tokens-m.of(req, capacity), 0)
}

// fits reports whether the request fits into the memory of the engine beside those of this
// daemon that run there: an engine without memory puts requests back and reads them again.
func (s *endpointState) fits(req RequestInfo) bool {
	if !s.isEngine() || s.inFlight == 0 {
		return true
	}
	return s.memory.tokens+s.memory.of(req, s.memoryTokens()) <= s.speed.MemoryLimit(s.memoryTokens())
}
