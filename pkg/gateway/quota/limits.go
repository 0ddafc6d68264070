// Package quota decides what one daemon may grant of the quotas that organisations
// have over all daemons together. Each daemon mints a share of the credit that a quota
// allows, and credit moves between daemons; it is never copied. The package reads no
// clock and sends nothing: times are parameters, on a clock that counts the time for
// which the VM was suspended. Units are those of catalog.Quota. A Ledger is not safe for
// concurrent use.
package quota

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Limits is what all daemons together may mint and keep of one quota.
type Limits struct {
	// Mint is the units per second that all daemons mint together.
	Mint float64
	// Stock is the units that all daemons may keep together of what they minted.
	Stock float64
	// Life is how long a unit can be used once it has left the stock of the daemon that
	// minted it.
	Life time.Duration
}

const (
	// mintShare is the part of the overshoot by which all daemons mint more than the
	// rate, so that credit that is lost does not lower what an organisation gets;
	// reserveShare is the part that is kept for daemons that the others do not know yet.
	mintShare    = 0.2
	reserveShare = 0.2
	// maxLife bounds the life of units outside the stock.
	maxLife = 2 * time.Second
	// minBurst is the least time in which the rate yields what may be stored, for a
	// quota without a burst of a deployment that states no bound.
	minBurst = time.Second
)

// LimitsOf returns the limits of a quota, with which all daemons together stay inside the
// bounds. In a window of w seconds they grant at most what they mint in it, Mint*w, and
// what there was at its begin: the stock, and what left the stock within the last Life,
// which is at most Mint*Life beyond a full stock.
func LimitsOf(quota *catalog.Quota, bounds catalog.QuotaBounds) Limits {
	if bounds.Window <= 0 {
		return split(quota.Rate, max(quota.Burst, quota.Rate*minBurst.Seconds()))
	}
	inWindow := quota.Rate * bounds.Window.Seconds()
	beyond := bounds.Overshoot*inWindow + (1+bounds.Overshoot)*quota.Burst + bounds.Slack
	return split(quota.Rate*(1+mintShare*bounds.Overshoot), beyond-(mintShare+reserveShare)*bounds.Overshoot*inWindow)
}

// split divides what may be there at once between the stock and what has left it.
func split(mint, atOnce float64) Limits {
	const looseShare = 0.5
	life := maxLife
	if seconds := looseShare * atOnce / mint; seconds < maxLife.Seconds() {
		life = time.Duration(seconds * float64(time.Second))
	}
	return Limits{Mint: mint, Stock: atOnce - mint*life.Seconds(), Life: life}
}

// AtOnce returns the units that all daemons together may hold at one time.
func (l Limits) AtOnce() float64 {
	return l.Stock + l.Mint*l.Life.Seconds()
}
