package quota

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Ledger holds the credit of the organisations with a quota at one daemon. It keeps
// accounts only of those with recent requests or whose quota has changed lately.
type Ledger struct {
	bounds catalog.QuotaBounds
	// daemons is the number of daemons that may be minting; zero if it is not known,
	// and then this one mints nothing.
	daemons int
	// since is when this daemon heard of the quotas of the organisations without an
	// account: its share of what is minted from then on is its own, also while it does not
	// know yet how large that is.
	since    time.Time
	quotas   map[types.OrgName]catalog.Quota
	accounts map[types.OrgName]*account
}

// Charge is units that were taken for a request and can be given back.
type Charge struct {
	Organisation types.OrgName
	lots         []Lot
}

// Scope tells for what a daemon gives units away.
type Scope string

// The scopes.
const (
	// Spare: what the daemon itself has and is not likely to need.
	Spare Scope = "spare"
	// DataCentre: what the daemons of its data centre have and are not likely to need.
	DataCentre Scope = "dc"
	// Fleet: what any daemon has; the sender is of the same data centre.
	Fleet Scope = "fleet"
)

// NewLedger returns a ledger without quotas.
func NewLedger(bounds catalog.QuotaBounds) *Ledger {
	return &Ledger{bounds: bounds, accounts: make(map[types.OrgName]*account)}
}

// SetDaemons sets the number of daemons that may be minting, which must not be too low.
func (l *Ledger) SetDaemons(daemons int, now time.Time) {
	if daemons <= 0 || daemons == l.daemons {
		return
	}
	l.daemons = daemons
	for name, account := range l.accounts {
		account.setShare(l.share(name), now)
	}
}

// SetOrganisations replaces the quotas by those of a configuration that is in force.
func (l *Ledger) SetOrganisations(organisations []*catalog.Organisation, now time.Time) {
	first, previous := l.quotas == nil, l.quotas
	next := make(map[types.OrgName]catalog.Quota)
	changed := make(map[types.OrgName]*account)
	for _, organisation := range organisations {
		if organisation.Quota == nil {
			continue
		}
		next[organisation.Name] = *organisation.Quota
		if old, found := previous[organisation.Name]; !first && (!found || old != *organisation.Quota) {
			changed[organisation.Name] = l.changing(organisation.Name, *organisation.Quota, now)
		}
	}
	l.quotas = next
	if first {
		l.since = now
	}
	for name, account := range changed {
		account.setShare(l.share(name), now)
		l.accounts[name] = account
	}
	for name := range l.accounts {
		if _, found := next[name]; !found {
			delete(l.accounts, name)
		}
	}
}

// changing returns the account of an organisation whose quota changes to next. What it
// holds is cut to the part that a lower quota allows in stock, since the daemons go on
// minting while the rest of it lives; an organisation that had no quota begins without
// credit.
func (l *Ledger) changing(name types.OrgName, next catalog.Quota, now time.Time) *account {
	if !l.Limited(name) {
		return &account{minted: now}
	}
	account := l.account(name, now)
	before, after := l.Limits(name), LimitsOf(&next, l.bounds)
	if after.AtOnce() < before.AtOnce() {
		account.cut(after.Stock/before.AtOnce(), now.Add(after.Life))
	}
	return account
}

// Limited reports whether the organisation has a quota.
func (l *Ledger) Limited(name types.OrgName) bool {
	_, found := l.quotas[name]
	return found
}

// Limits returns the limits of an organisation's quota.
func (l *Ledger) Limits(name types.OrgName) Limits {
	quota := l.quotas[name]
	return LimitsOf(&quota, l.bounds)
}

// share returns this daemon's share of a quota.
func (l *Ledger) share(name types.OrgName) share {
	limits := l.Limits(name)
	if l.daemons == 0 {
		return share{life: limits.Life}
	}
	return share{mint: limits.Mint / float64(l.daemons), stock: limits.Stock / float64(l.daemons), life: limits.Life}
}

// account returns the account of an organisation with a quota, advanced to now.
func (l *Ledger) account(name types.OrgName, now time.Time) *account {
	known := l.accounts[name]
	if known == nil {
		known = &account{share: l.share(name), minted: l.since}
		l.accounts[name] = known
	}
	known.advance(now)
	return known
}

// Charge takes the cost of a request; false if there is not enough credit. It records the
// demand of the request only with first.
func (l *Ledger) Charge(name types.OrgName, cost float64, first bool, now time.Time) (Charge, bool) {
	if !l.Limited(name) {
		return Charge{}, true
	}
	account := l.account(name, now)
	if first {
		account.local.add(cost, now)
	}
	if account.credit() < cost {
		return Charge{}, false
	}
	return Charge{Organisation: name, lots: account.take(cost, now)}, true
}

// Refund gives back the units of a charge that no endpoint has run. Units whose life is
// over are lost.
func (l *Ledger) Refund(charge Charge, now time.Time) {
	if l.Limited(charge.Organisation) {
		l.add(charge.Organisation, charge.lots, now)
	}
}

// Receive adds units that another daemon gave, which were asked for at a time.
func (l *Ledger) Receive(name types.OrgName, gifts []Gift, askedAt, now time.Time) {
	if !l.Limited(name) {
		return
	}
	life := l.Limits(name).Life
	lots := make([]Lot, 0, len(gifts))
	for _, gift := range gifts {
		if gift.Units > 0 {
			lots = append(lots, Lot{Units: gift.Units, Expires: askedAt.Add(min(gift.Life, life))})
		}
	}
	l.add(name, lots, now)
}

func (l *Ledger) add(name types.OrgName, lots []Lot, now time.Time) {
	account := l.account(name, now)
	for _, lot := range lots {
		if lot.Expires.After(now) {
			account.loose.add(lot)
		}
	}
}

// Credit returns the units of an organisation that may be used now.
func (l *Ledger) Credit(name types.OrgName, now time.Time) float64 {
	if !l.Limited(name) {
		return 0
	}
	return l.account(name, now).credit()
}

// Peek returns what Credit and Wait would for a cost, and changes nothing.
func (l *Ledger) Peek(name types.OrgName, cost float64, now time.Time) (credit float64, wait time.Duration) {
	if !l.Limited(name) {
		return 0, 0
	}
	known := l.accounts[name]
	if known == nil {
		known = &account{share: l.share(name), minted: l.since}
	}
	copied := known.at(now)
	return copied.credit(), copied.wait(cost)
}

// Forget removes the accounts of organisations without recent requests.
func (l *Ledger) Forget(now time.Time) {
	for name, account := range l.accounts {
		account.advance(now)
		full := l.daemons > 0 && now.Sub(l.since).Seconds()*account.share.mint >= account.share.stock
		if full && account.idle(now) {
			delete(l.accounts, name)
		}
	}
}
