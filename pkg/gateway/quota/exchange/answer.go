package exchange

import (
	"context"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Ask is a question of one daemon to another for credit of an organisation.
type Ask struct {
	Organisation types.OrgName `json:"org"`
	Units        float64       `json:"units"`
	Scope        quota.Scope   `json:"scope"`
}

// Answer is what the other daemon gives. It has deducted that already.
type Answer struct {
	Gifts []quota.Gift `json:"gifts,omitempty"`
}

// Asker asks other daemons.
type Asker interface {
	// Ask sends a question and returns the answer.
	Ask(ctx context.Context, to types.VMID, ask Ask) (*Answer, error)
}

// Answer answers a question of another daemon.
func (e *Exchange) Answer(ctx context.Context, ask Ask) *Answer {
	answer := &Answer{}
	if e.give(ask, answer) || !e.limited(ask.Organisation) {
		return answer
	}
	switch ask.Scope {
	case quota.DataCentre:
		e.gather(ask, answer)
	case quota.Fleet:
		e.procure(ctx, ask, answer)
	}
	return answer
}

func (e *Exchange) limited(name types.OrgName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Limited(name)
}

// give adds what this daemon can spare to the answer, and reports whether that holds all
// units that were asked for.
func (e *Exchange) give(ask Ask, answer *Answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := ask.Units - sum(answer.Gifts)
	now := e.opts.Now()
	gifts := e.ledger.Give(ask.Organisation, missing, ask.Scope, now)
	given := sum(gifts)
	e.opts.Metrics.count(gave, given)
	answer.Gifts = append(answer.Gifts, gifts...)
	const rounding = 1e-6
	return missing-given <= rounding*ask.Units
}

// gather asks the daemons of the data centre for a daemon of another one.
func (e *Exchange) gather(ask Ask, answer *Answer) {
	missing := ask.Units - sum(answer.Gifts)
	e.mu.Lock()
	stage := quota.Stage{To: e.neighbours.DataCentre, Scope: quota.Spare}
	allowed := e.trade(ask.Organisation).mayGather(e.opts.Now())
	e.mu.Unlock()
	if allowed {
		e.askAll(ask.Organisation, stage, missing)
		e.give(ask, answer)
	}
}

// procure asks other daemons for a daemon of the same data centre.
func (e *Exchange) procure(ctx context.Context, ask Ask, answer *Answer) {
	missing := ask.Units - sum(answer.Gifts)
	timer := time.NewTimer(serveTimeout)
	defer timer.Stop()
	e.recordAsk(ask)
	e.want(ask.Organisation, missing)
	defer e.want(ask.Organisation, -missing)
	for {
		changed, running := e.startRound(ask.Organisation, true)
		if e.give(ask, answer) || !running {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (e *Exchange) recordAsk(ask Ask) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.RecordAsk(ask.Organisation, ask.Units, e.opts.Now())
}
