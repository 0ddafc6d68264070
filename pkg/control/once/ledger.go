package once

import (
	"maps"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Ledger is one incarnation's memory of the requests it owns. It is not safe
// for concurrent use; see package onceguard.
type Ledger struct {
	self    types.Incarnation
	keyring *ticket.Keyring
	options Options
	records *records
	// clock is the latest time seen; it never goes back.
	clock time.Time
	// floors refuses tickets that the ledger had no room to remember: an
	// unknown ticket of the organisation with StartBy at or before its floor
	// never starts. Floors that the clock has passed are dropped.
	floors map[types.OrgName]time.Time
	// draining never becomes false again.
	draining bool
}

// NewLedger returns the empty ledger of a new incarnation.
func NewLedger(self types.Incarnation, keyring *ticket.Keyring, options Options) *Ledger {
	return &Ledger{self: self, keyring: keyring, options: options.WithDefaults(), records: newRecords(),
		floors: make(map[types.OrgName]time.Time)}
}

// SetKeyring replaces the keys after a rotation.
func (l *Ledger) SetKeyring(keyring *ticket.Keyring) {
	l.keyring = keyring
}

// Len returns the number of remembered requests.
func (l *Ledger) Len() int {
	return len(l.records.byID)
}

// ResponseBytes returns the memory that remembered answers take.
func (l *Ledger) ResponseBytes() int {
	return l.records.bytes
}

// Begin decides what happens to a request that was received at now.
func (l *Ledger) Begin(now time.Time, order RequestInfo, view *snapshot.Snapshot) Decision {
	l.advance(now)
	l.draining = l.draining || view.Draining
	claims, refusal := identify(l.keyring, order)
	if refusal != nil {
		return *refusal
	}
	if claims.Owner != l.self {
		return decideElsewhere(l.self, claims, order, view)
	}
	known, ok := l.records.byID[claims.ID]
	if !ok {
		return l.beginUnknown(claims, order)
	}
	return repeat(known, claims, order)
}

// Finish records how the run that Begin allowed has ended. It is called once
// for each ActionRun.
func (l *Ledger) Finish(now time.Time, id ticket.ID, outcome Outcome) {
	l.advance(now)
	known, ok := l.records.byID[id]
	if !ok || !known.running {
		return
	}
	known.running = false
	known.outcome = outcome.normal()
	l.records.keepAnswer(known, l.options.MaxResponseBytes)
}

func (l *Ledger) advance(now time.Time) {
	if now.After(l.clock) {
		l.clock = now
	}
	l.records.purge(l.clock, l.options.Retention)
}

// beginUnknown decides on a ticket of this incarnation that it does not
// remember. Unless the ticket is so old that its record may have been dropped,
// the request was not run.
func (l *Ledger) beginUnknown(claims ticket.Claims, order RequestInfo) Decision {
	switch {
	case !claims.StartBy.After(l.records.forgotten):
		return refuse(claims, types.MayHaveRun, types.CodeTicketExpired,
			"the ticket expired so long ago that its request is no longer remembered")
	case !claims.StartBy.After(l.clock), !claims.StartBy.After(l.floors[claims.Org]):
		return reissue(claims, types.CodeTicketExpired, "the ticket expired before the request was started")
	case l.draining:
		return reissue(claims, types.CodeDraining, "this daemon is leaving and starts nothing new")
	case claims.StartBy.After(l.clock.Add(l.options.MaxAhead)):
		return refuse(claims, types.MayHaveRun, types.CodeTicketExpired,
			"the ticket's time lies too far ahead of this daemon's clock: ask for a new ticket")
	case len(l.records.byID) >= l.options.MaxRecords, l.records.byOrg[claims.Org] >= l.options.MaxOrgRecords:
		return l.refuseFull(claims)
	}
	l.records.add(&record{id: claims.ID, org: claims.Org, content: order.Content, startBy: claims.StartBy, running: true})
	return Decision{Action: ActionRun, ID: claims.ID, Floor: claims.Floor}
}

// refuseFull refuses a ticket that there is no room to remember. The floor
// makes the refusal final, at the price of refusing the organisation's older
// unused tickets too.
func (l *Ledger) refuseFull(claims ticket.Claims) Decision {
	if _, ok := l.floors[claims.Org]; !ok {
		maps.DeleteFunc(l.floors, func(_ types.OrgName, floor time.Time) bool { return !floor.After(l.clock) })
	}
	if claims.StartBy.After(l.floors[claims.Org]) {
		l.floors[claims.Org] = claims.StartBy
	}
	return reissue(claims, types.CodeOverloaded, "this daemon remembers as many requests as it may")
}

// repeat decides on a ticket that the ledger remembers.
func repeat(known *record, claims ticket.Claims, order RequestInfo) Decision {
	if known.content != order.Content {
		return refuse(claims, known.verdict(), types.CodeKeyReused,
			"the key was used before with another request: use a new key for each request")
	}
	if known.running {
		return Decision{Action: ActionWait, ID: claims.ID, Floor: claims.Floor}
	}
	return known.outcome.Decision(claims.ID, claims.Floor)
}

// verdict returns the strongest claim that holds for the ticket so far.
func (r *record) verdict() types.Verdict {
	if r.running {
		return types.MayHaveRun
	}
	return r.outcome.Verdict
}

func refuse(claims ticket.Claims, verdict types.Verdict, code types.Code, message string) Decision {
	return Decision{ID: claims.ID, Floor: claims.Floor, Failure: types.NewFailure(verdict, code, message)}
}

// reissue refuses a ticket that never runs and offers a fresh one.
func reissue(claims ticket.Claims, code types.Code, message string) Decision {
	decision := refuse(claims, types.NotRun, code, message+": send it again with the new ticket")
	decision.Reissue = true
	return decision
}

// Remembers reports whether the ledger holds a record of the ticket.
func (l *Ledger) Remembers(id ticket.ID) bool {
	_, ok := l.records.byID[id]
	return ok
}
