package balance

// outputShare is the largest share of an engine's memory that counts for the response of one
// request: engines take it as they write, and callers may name any length.
const outputShare = 0.1

// memoryUse counts the tokens that the requests of this daemon need in the memory of an
// engine: a large prefix that several of them share counts once. An engine refuses a request
// that is larger than its memory.
type memoryUse struct {
	tokens float64
	// prefixes holds the large prefixes of the requests.
	prefixes map[uint64]sharedPrefix
}

// sharedPrefix is a prefix that requests need.
type sharedPrefix struct {
	requests int
	// tokens is its size as the first of them told it; others may tell another one.
	tokens float64
}

// memoryParts returns the tokens of a request's large prefix, and those that it needs beside it.
func memoryParts(req RequestInfo, capacity int) (prefix, own float64) {
	if req.large() {
		prefix = float64(min(req.PrefixTokens, req.PromptTokens))
	}
	return prefix, float64(req.PromptTokens) - prefix + min(float64(req.OutputTokens), outputShare*float64(capacity))
}

// of returns the tokens that a request needs, beside those that are counted, at an engine
// with a capacity.
func (m *memoryUse) of(req RequestInfo, capacity int) float64 {
	if req.PromptTokens > capacity {
		return 0
	}
	prefix, own := memoryParts(req, capacity)
	if m.prefixes[req.Prefix].requests > 0 {
		prefix = 0
	}
	return prefix + own
}

// add counts a request at an engine with a capacity.
func (m *memoryUse) add(req RequestInfo, capacity int) {
	m.tokens += m.of(req, capacity)
	if !req.large() || req.PromptTokens > capacity {
		return
	}
	if m.prefixes == nil {
		m.prefixes = make(map[uint64]sharedPrefix)
	}
	shared := m.prefixes[req.Prefix]
	if shared.requests == 0 {
		shared.tokens, _ = memoryParts(req, capacity)
	}
	shared.requests++
	m.prefixes[req.Prefix] = shared
}

// remove no longer counts a request that was added with a capacity.
func (m *memoryUse) remove(req RequestInfo, capacity int) {
	if req.PromptTokens > capacity {
		return
	}
	_, own := memoryParts(req, capacity)
	m.tokens -= own
	if req.large() {
		shared := m.prefixes[req.Prefix]
		shared.requests--
		if m.prefixes[req.Prefix] = shared; shared.requests <= 0 {
			m.tokens -= shared.tokens
			delete(m.prefixes, req.Prefix)
		}
	}
	m.tokens = max(m.tokens, 0)
}

// fits reports whether the request fits into the memory of the engine beside those of this
// daemon that run there: an engine without memory puts requests back and reads them again.
func (s *endpointState) fits(req RequestInfo) bool {
	if !s.isEngine() || s.inFlight == 0 {
		return true
	}
	return s.memory.tokens+s.memory.of(req, s.memoryTokens()) <= s.speed.MemoryLimit(s.memoryTokens())
}
