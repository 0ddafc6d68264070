package exchange

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Quote tells what a request would get of its organisation's quota now.
type Quote struct {
	// Cost is what the request takes, Credit what the daemon has, in units; both are zero if
	// nothing limits the organisation.
	Cost, Credit float64
	// Covered is true if the credit suffices, or nothing limits the organisation.
	Covered bool
	// Asks is true if other daemons would be asked for what is missing.
	Asks bool
	// RetryAfter is the shortest advice to the caller if it is refused; zero if the quota
	// never allows as much.
	RetryAfter time.Duration
}

// Quote answers without charging the organisation, recording demand or asking others.
func (e *Exchange) Quote(name types.OrgName, cost float64) Quote {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ledger.Limited(name) {
		return Quote{Covered: true}
	}
	now := e.opts.Now()
	credit, wait := e.ledger.Peek(name, cost, now)
	quote := Quote{Cost: cost, Credit: credit, Covered: credit >= cost}
	if quote.Covered || cost > e.ledger.Limits(name).AtOnce() {
		return quote
	}
	quote.Asks, quote.RetryAfter = e.wouldAsk(name, now), max(wait, minRetryAfter)
	return quote
}

// wouldAsk reports whether a request that lacks credit would have other daemons asked. The
// mutex is held.
func (e *Exchange) wouldAsk(name types.OrgName, now time.Time) bool {
	trade := e.trades[name]
	mayRun := !e.closed && (trade == nil || trade.running || !now.Before(trade.pausedUntil))
	answers := func(vm types.VMID) bool { return !e.isSilent(vm) }
	return mayRun && slices.ContainsFunc(e.neighbours.Stages(true), func(stage quota.Stage) bool { return slices.ContainsFunc(stage.To, answers) })
}
