// Package exchange makes a quota.Ledger usable from goroutines. A request that lacks
// credit waits shortly while other daemons are asked for theirs.
package exchange

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures an Exchange.
type Options struct {
	Bounds catalog.QuotaBounds
	Asker  Asker
	// Bodies is the memory of questions that are being received; nil means no limit.
	Bodies  *bodies.Pool
	Metrics *Metrics
	Guard   *guard.Guard
	Log     logrus.FieldLogger
	// Now returns the time on a clock that counts suspensions of the VM.
	Now func() time.Time
	// Rand must be safe for concurrent use.
	Rand route.Rand
}

// Exchange gives goroutines access to a ledger. It is safe for concurrent use.
type Exchange struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	work conc.WaitGroup

	mu sync.Mutex
	// closed is true once nothing may begin in the background.
	closed     bool
	ledger     *quota.Ledger
	config     *catalog.Config
	neighbours quota.Neighbours
	forgotAt   time.Time
	trades     map[types.OrgName]*trade
	// silentUntil holds until when daemons are not asked that did not answer.
	silentUntil map[types.VMID]time.Time
}

// Refusal tells why a request got no credit.
type Refusal struct {
	// Cost is what the request takes, Credit what the daemon had, in units.
	Cost, Credit float64
	// RetryAfter is when credit is predicted; zero if the quota never allows as much.
	RetryAfter time.Duration
}

// Intervals of the exchange.
const (
	// minRetryAfter is the shortest advice to a caller beyond its quota.
	minRetryAfter = 200 * time.Millisecond
	// mintInterval is how often a request that waits looks for what this daemon minted.
	mintInterval = 20 * time.Millisecond
	// forgetInterval is the time between two looks for accounts without requests.
	forgetInterval = 5 * time.Second
)

// New returns an exchange without quotas, which limits no organisation.
func New(opts Options) *Exchange {
	ctx, stop := context.WithCancel(context.Background())
	return &Exchange{
		opts: opts, ctx: ctx, stop: stop,
		ledger: quota.NewLedger(opts.Bounds), trades: make(map[types.OrgName]*trade), silentUntil: make(map[types.VMID]time.Time),
	}
}

// Close ends what runs in the background. Questions of other daemons that come later start
// nothing there.
func (e *Exchange) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.stop()
	e.work.Wait()
}

// Update takes over the configuration in force, the daemons that can be asked, and the
// number of daemons that may be minting, zero if it is not known.
func (e *Exchange) Update(config *catalog.Config, neighbours quota.Neighbours, daemons int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.neighbours = neighbours
	if config != e.config {
		e.config = config
		e.ledger.SetOrganisations(config.Organisations, now)
	}
	e.ledger.SetDaemons(daemons, now)
	if now.Sub(e.forgotAt) >= forgetInterval {
		e.forgotAt = now
		e.forget(now)
	}
}

// forget removes what is kept of organisations without recent requests.
func (e *Exchange) forget(now time.Time) {
	e.ledger.Forget(now)
	maps.DeleteFunc(e.silentUntil, func(_ types.VMID, until time.Time) bool { return !now.Before(until) })
	for name, trade := range e.trades {
		if trade.idle(now) {
			delete(e.trades, name)
		}
	}
}

// Acquire takes the cost of a request from the credit of its organisation. It waits at
// most for a time while other daemons are asked. The error is that of ctx. Repeat is true
// for a further attempt of the same request, which is no new demand.
func (e *Exchange) Acquire(ctx context.Context, name types.OrgName, cost float64, repeat bool, wait time.Duration) (quota.Charge, *Refusal, error) {
	charge, ok := e.charge(name, cost, !repeat)
	if ok {
		return charge, nil, nil
	}
	if e.exceedsAll(name, cost) {
		return quota.Charge{}, e.refuse(name, cost, true), nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ticker := time.NewTicker(mintInterval)
	defer ticker.Stop()
	e.want(name, cost)
	defer e.want(name, -cost)
	for {
		changed, running := e.startRound(name, false)
		// Credit may have come since the last look.
		if charge, ok = e.charge(name, cost, false); ok {
			return charge, nil, nil
		}
		if !running {
			return quota.Charge{}, e.refuse(name, cost, false), nil
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-timer.C:
			return quota.Charge{}, e.refuse(name, cost, false), nil
		case <-ctx.Done():
			return quota.Charge{}, nil, ctx.Err()
		}
	}
}

// TryCharge takes the cost of a further attempt without a wait; false if there is not
// enough credit.
func (e *Exchange) TryCharge(name types.OrgName, cost float64) (quota.Charge, bool) {
	return e.charge(name, cost, false)
}

func (e *Exchange) charge(name types.OrgName, cost float64, first bool) (quota.Charge, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	charge, ok := e.ledger.Charge(name, cost, first, e.opts.Now())
	if ok && e.ledger.Limited(name) {
		e.opts.Metrics.count(charged, cost)
	}
	return charge, ok
}

// exceedsAll reports whether the cost is more than all daemons may ever hold together.
func (e *Exchange) exceedsAll(name types.OrgName, cost float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cost > e.ledger.Limits(name).AtOnce()
}

// refuse returns the refusal of a request, with a spread advice.
func (e *Exchange) refuse(name types.OrgName, cost float64, forever bool) *Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.opts.Metrics.count(refused, cost)
	refusal := &Refusal{Cost: cost, Credit: e.ledger.Credit(name, now)}
	if !forever && e.ledger.Limited(name) {
		wait := max(e.ledger.Wait(name, cost, now), minRetryAfter)
		refusal.RetryAfter = wait + time.Duration(route.Float64(e.opts.Rand)*float64(wait))
	}
	return refusal
}

// Refund gives back the units of a request that no endpoint has run.
func (e *Exchange) Refund(charge quota.Charge, cost float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ledger.Limited(charge.Organisation) {
		return
	}
	e.opts.Metrics.count(refunded, cost)
	e.ledger.Refund(charge, e.opts.Now())
	e.signal(charge.Organisation)
}
