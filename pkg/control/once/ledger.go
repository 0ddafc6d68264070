package once

import (
	"maps"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Ledger records the requests that one daemon incarnation owns. It is not safe
// for concurrent use; see package onceguard.
type Ledger struct {
	self    types.Incarnation
	keyring *ticket.Keyring
	options Options
	records *records
	// latestTime is the latest time passed to the ledger. It never goes back.
	latestTime time.Time
	// refusedUntil makes the refusals of a full ledger final: an unrecorded
	// ticket of the organisation whose StartBy is at or before this time never
	// starts. Entries that latestTime has passed are dropped.
	refusedUntil map[types.OrgName]time.Time
	// draining stays true once it is set.
	draining bool
}

// NewLedger returns the empty ledger of a new daemon incarnation.
func NewLedger(self types.Incarnation, keyring *ticket.Keyring, options Options) *Ledger {
	return &Ledger{self: self, keyring: keyring, options: options.WithDefaults(), records: newRecords(),
		refusedUntil: make(map[types.OrgName]time.Time)}
}

// SetKeyring replaces the signing keys after a rotation.
func (l *Ledger) SetKeyring(keyring *ticket.Keyring) {
	l.keyring = keyring
}

// Len returns the number of recorded requests.
func (l *Ledger) Len() int {
	return len(l.records.byID)
}

// ResponseBytes returns the memory that stored responses take, in bytes.
func (l *Ledger) ResponseBytes() int {
	return l.records.responseBytes
}

// Begin decides what to do with a request that was received at now.
func (l *Ledger) Begin(now time.Time, req RequestInfo, view *snapshot.Snapshot) Decision {
	l.advance(now)
	l.draining = l.draining || view.Draining
	claims, refusal := identify(l.keyring, req)
	if refusal != nil {
		return *refusal
	}
	if claims.Owner != l.self {
		return decideOtherOwner(l.self, claims, req, view)
	}
	existing, ok := l.records.byID[claims.ID]
	if !ok {
		return l.beginUnknown(claims, req)
	}
	return decideDuplicate(existing, claims, req)
}

// Finish records the outcome of a run that Begin allowed. It is called once for
// each ActionRun.
func (l *Ledger) Finish(now time.Time, id ticket.ID, outcome Outcome) {
	l.advance(now)
	existing, ok := l.records.byID[id]
	if !ok || !existing.running {
		return
	}
	existing.running = false
	existing.outcome = outcome.normalised()
	l.records.keepResponse(existing, l.options.MaxResponseBytes)
}

func (l *Ledger) advance(now time.Time) {
	if now.After(l.latestTime) {
		l.latestTime = now
	}
	l.records.purge(l.latestTime, l.options.Retention)
}

// beginUnknown decides on a ticket of this incarnation that has no record.
// Unless the ticket is so old that its record may have been dropped, the request
// has not run.
func (l *Ledger) beginUnknown(claims ticket.Claims, req RequestInfo) Decision {
	switch {
	case !claims.StartBy.After(l.records.latestForgotten):
		return refuse(claims, types.MayHaveRun, types.CodeTicketExpired,
			"the ticket expired so long ago that its request is no longer remembered")
	case !claims.StartBy.After(l.latestTime), !claims.StartBy.After(l.refusedUntil[claims.Org]):
		return reissue(claims, types.CodeTicketExpired, "the ticket expired before the request was started")
	case l.draining:
		return reissue(claims, types.CodeDraining, "this daemon is leaving and starts nothing new")
	case claims.StartBy.After(l.latestTime.Add(l.options.MaxAhead)):
		return refuse(claims, types.MayHaveRun, types.CodeTicketExpired,
			"the ticket's time lies too far ahead of this daemon's clock: ask for a new ticket")
	case len(l.records.byID) >= l.options.MaxRecords, l.records.byOrg[claims.Org] >= l.options.MaxOrgRecords:
		return l.refuseFull(claims)
	}
	l.records.add(&record{id: claims.ID, org: claims.Org, content: req.Content, startBy: claims.StartBy, running: true})
	return Decision{Action: ActionRun, ID: claims.ID, Floor: claims.Floor}
}

// refuseFull refuses a ticket because the ledger has reached a limit on records.
// Setting refusedUntil makes the refusal final. It also refuses the
// organisation's unused tickets with an earlier StartBy.
func (l *Ledger) refuseFull(claims ticket.Claims) Decision {
	if _, ok := l.refusedUntil[claims.Org]; !ok {
		maps.DeleteFunc(l.refusedUntil, func(_ types.OrgName, until time.Time) bool { return !until.After(l.latestTime) })
	}
	if claims.StartBy.After(l.refusedUntil[claims.Org]) {
		l.refusedUntil[claims.Org] = claims.StartBy
	}
	return reissue(claims, types.CodeOverloaded, "this daemon remembers as many requests as it may")
}

// decideDuplicate decides on a ticket that has a record.
func decideDuplicate(existing *record, claims ticket.Claims, req RequestInfo) Decision {
	if existing.content != req.Content {
		return refuse(claims, existing.verdict(), types.CodeKeyReused,
			"the key was used before with another request: use a new key for each request")
	}
	if existing.running {
		return Decision{Action: ActionWait, ID: claims.ID, Floor: claims.Floor}
	}
	return existing.outcome.Decision(claims.ID, claims.Floor)
}

// verdict returns what is certain about the ticket's run so far.
func (r *record) verdict() types.Verdict {
	if r.running {
		return types.MayHaveRun
	}
	return r.outcome.Verdict
}

func refuse(claims ticket.Claims, verdict types.Verdict, code types.Code, message string) Decision {
	return Decision{ID: claims.ID, Floor: claims.Floor, Failure: types.NewFailure(verdict, code, message)}
}

// reissue refuses a ticket that never runs and offers a new one.
func reissue(claims ticket.Claims, code types.Code, message string) Decision {
	decision := refuse(claims, types.NotRun, code, message+": send it again with the new ticket")
	decision.Reissue = true
	return decision
}

// Contains reports whether the ledger holds a record of the ticket.
func (l *Ledger) Contains(id ticket.ID) bool {
	_, ok := l.records.byID[id]
	return ok
}
