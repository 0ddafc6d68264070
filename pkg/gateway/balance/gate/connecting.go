package gate

import "github.com/flamingomount/flamingomount/pkg/gateway/balance"

// Connecting is an attempt at an endpoint that may have no connection yet. A nil
// one is never aborted.
type Connecting struct {
	gate   *Gate
	permit *balance.Permit
	cancel func()
	// aborted is true once the endpoint said that it wants no request while the
	// attempt had no connection, limited once it got a connection on which nothing may
	// be sent now. Guarded by the mutex of the gate.
	aborted bool
	limited bool
}

// NewConnecting returns the attempt of a permit, which has not begun to connect. Cancel
// ends the attempt; it must not block.
func (g *Gate) NewConnecting(permit *balance.Permit, cancel func()) *Connecting {
	return &Connecting{gate: g, permit: permit, cancel: cancel}
}

// Begin starts the time in which the attempt has no connection. It returns false,
// and cancels the attempt, if the endpoint wants no request now.
func (c *Connecting) Begin() bool {
	if c == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.gate.pool.Takes(c.permit.Endpoint.Endpoint, c.gate.now()) {
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

// Connected ends the time in which the attempt has no connection. It returns false if
// nothing may be sent on the connection: the attempt was cancelled before, or the
// connection may lead to a process that has just started and whose cold rate is used
// up.
func (c *Connecting) Connected(conn balance.Connection) bool {
	if !c.End() {
		return false
	}
	if c == nil {
		return true
	}
	permitted, doubtful := c.gate.connected(c.permit, conn)
	if doubtful && c.gate.onDoubt != nil {
		c.gate.onDoubt()
	}
	if permitted {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.limited = true
	return false
}

// Limited reports whether the attempt got a connection on which nothing might be sent.
func (c *Connecting) Limited() bool {
	if c == nil {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.limited
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
