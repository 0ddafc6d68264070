package gate

import "github.com/flamingomount/flamingomount/pkg/gateway/catalog"

// Connecting is an attempt at an endpoint that may have no connection yet. A nil
// one is never aborted.
type Connecting struct {
	gate     *Gate
	endpoint *catalog.Endpoint
	cancel   func()
	// aborted is true once the endpoint said that it wants no request while the
	// attempt had no connection. Guarded by the mutex of the gate.
	aborted bool
}

// NewConnecting returns an attempt that has not begun to connect. Cancel ends the
// attempt; it must not block.
func (g *Gate) NewConnecting(endpoint *catalog.Endpoint, cancel func()) *Connecting {
	return &Connecting{gate: g, endpoint: endpoint, cancel: cancel}
}

// Begin starts the time in which the attempt has no connection. It returns false,
// and cancels the attempt, if the endpoint wants no request now.
func (c *Connecting) Begin() bool {
	if c == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.gate.pool.Takes(c.endpoint, c.gate.now()) {
		c.abort()
		return false
	}
	c.gate.connecting[c] = true
	return true
}

// End ends the time in which the attempt has no connection. It returns false if the
// attempt was cancelled before, so that nothing may be sent.
func (c *Connecting) End() bool {
	if c == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	delete(c.gate.connecting, c)
	return !c.aborted
}

// Aborted reports whether the attempt was cancelled because the endpoint wants no
// request.
func (c *Connecting) Aborted() bool {
	if c == nil {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.aborted
}

func (c *Connecting) abort() {
	delete(c.gate.connecting, c)
	c.aborted = true
	c.cancel()
}
