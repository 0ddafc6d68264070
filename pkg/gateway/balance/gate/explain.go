package gate

import "github.com/flamingomount/flamingomount/pkg/gateway/balance"

// Explain tells where a request would go now. It changes nothing.
func (g *Gate) Explain(req balance.RequestInfo) balance.Explanation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Explain(req, g.now())
}
