package quota

import (
	"math"
	"slices"
	"time"
)

// share is what one daemon may mint and keep of a quota.
type share struct {
	// mint is in units per second.
	mint  float64
	stock float64
	life  time.Duration
}

// account is the credit of one organisation at one daemon.
type account struct {
	share share
	// stock is what the daemon minted itself; minted is up to when. While the share is not
	// known it stays, and the share is minted from then on once it is.
	stock  float64
	minted time.Time
	// loose is what other daemons gave and what requests gave back.
	loose loose
	// local is the demand of the daemon's own callers, asked that of daemons that ask
	// it, in units per second.
	local, asked meter
}

// advance mints up to now.
func (a *account) advance(now time.Time) {
	a.loose.expire(now)
	if elapsed := now.Sub(a.minted); elapsed > 0 && a.share.mint > 0 {
		a.stock = min(a.stock+a.share.mint*elapsed.Seconds(), a.share.stock)
		a.minted = now
	}
}

// setShare replaces the share. Stock beyond a smaller one is cut.
func (a *account) setShare(next share, now time.Time) {
	a.advance(now)
	a.share = next
	a.stock = min(a.stock, next.stock)
}

// cut keeps a part of the credit, outside the stock until a time at the latest.
func (a *account) cut(part float64, latest time.Time) {
	a.stock *= part
	a.loose.cut(part, latest)
}

// credit returns the units that may be used now.
func (a *account) credit() float64 {
	return a.stock + a.loose.units()
}

// wait predicts how long it takes to mint what the cost lacks, at most the life of units,
// in which credit of other daemons arrives.
func (a *account) wait(cost float64) time.Duration {
	lacking := max(cost-a.credit(), 0)
	if a.share.mint*a.share.life.Seconds() <= lacking {
		return a.share.life
	}
	return time.Duration(lacking / a.share.mint * float64(time.Second))
}

// at returns a copy of the account as it is at a time.
func (a *account) at(now time.Time) *account {
	copied := *a
	copied.loose = slices.Clone(a.loose)
	copied.advance(now)
	return &copied
}

// take removes up to the units and returns them as lots.
func (a *account) take(units float64, now time.Time) []Lot {
	taken := a.loose.take(units)
	for _, lot := range taken {
		units -= lot.Units
	}
	if part := min(units, a.stock); part > 0 {
		a.stock -= part
		taken = append(taken, Lot{Units: part, Expires: now.Add(a.share.life)})
	}
	return taken
}

// idle reports whether the account holds no more than one that was never used.
func (a *account) idle(now time.Time) bool {
	const forgotten = 1.0 // units per second
	return len(a.loose) == 0 && a.stock >= a.share.stock && a.local.at(now) < forgotten && a.asked.at(now) < forgotten
}

// meter is a rate that forgets what is older than about meterTime.
type meter struct {
	rate float64
	last time.Time
}

const meterTime = time.Second

// add records units.
func (m *meter) add(units float64, now time.Time) {
	m.rate = m.at(now) + units/meterTime.Seconds()
	m.last = now
}

// at returns the rate in units per second.
func (m *meter) at(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-max(now.Sub(m.last), 0).Seconds()/meterTime.Seconds())
}
