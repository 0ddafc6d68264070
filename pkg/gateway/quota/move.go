package quota

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// lookahead is how far ahead a daemon gathers credit and keeps it from others.
const lookahead = 300 * time.Millisecond

// Need returns the units that the daemon should ask others for, with requests of some
// units waiting for credit; at most zero if it has enough.
func (l *Ledger) Need(name types.OrgName, waiting float64, now time.Time) float64 {
	if !l.Limited(name) {
		return 0
	}
	account := l.account(name, now)
	demand := account.local.at(now) + account.asked.at(now)
	ahead := max(demand-account.share.mint, 0) * lookahead.Seconds()
	return waiting + min(ahead, l.Limits(name).Mint*lookahead.Seconds()) - account.credit()
}

// Give takes up to the units for another daemon. What this daemon is likely to need
// itself soon is kept: for its own callers, and, from daemons of other data centres, for
// those of its own.
func (l *Ledger) Give(name types.OrgName, units float64, scope Scope, now time.Time) []Gift {
	if !l.Limited(name) || units <= 0 {
		return nil
	}
	account := l.account(name, now)
	demand := account.local.at(now)
	if scope == DataCentre {
		demand += account.asked.at(now)
	}
	keep := max(demand-account.share.mint, 0) * lookahead.Seconds()
	var gifts []Gift
	for _, lot := range account.take(min(units, account.credit()-keep), now) {
		gifts = append(gifts, Gift{Units: lot.Units, Life: lot.Expires.Sub(now)})
	}
	return gifts
}

// RecordAsk records that a daemon of the own data centre asked for units.
func (l *Ledger) RecordAsk(name types.OrgName, units float64, now time.Time) {
	if l.Limited(name) {
		l.account(name, now).asked.add(units, now)
	}
}

// Wait predicts how long it takes until the daemon itself has minted what a request
// lacks, at most the life of units, in which credit of other daemons arrives.
func (l *Ledger) Wait(name types.OrgName, cost float64, now time.Time) time.Duration {
	return l.account(name, now).wait(cost)
}
