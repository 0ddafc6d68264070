package balance

// Flows counts the organisations and ranks of which queues keep state.
func (p *Pool) Flows() int {
	count := 0
	for _, q := range p.queues {
		count += len(q.shares.flows)
	}
	return count
}
