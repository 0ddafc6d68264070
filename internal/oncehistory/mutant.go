package oncehistory

import (
	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Mutant is a fault planted into a history, which the checker must catch.
type Mutant string

// The planted faults.
const (
	MutantNone Mutant = ""
	// MutantOwnerIgnored: every daemon runs every ticket.
	MutantOwnerIgnored Mutant = "ticket owner ignored"
	// MutantIncarnationIgnored: a restarted daemon runs its VM's old tickets.
	MutantIncarnationIgnored Mutant = "incarnation ignored"
	// MutantForgotten: a ledger forgets unexpired keys.
	MutantForgotten Mutant = "keys forgotten too early"
	// MutantReleased: a key that was told not-run may run later.
	MutantReleased Mutant = "not-run is not final"
	// MutantNoWait: a duplicate runs while the first attempt runs.
	MutantNoWait Mutant = "duplicate runs beside the first attempt"
	// MutantTransportReplay: the transport repeats an attempt without answer.
	MutantTransportReplay Mutant = "transport replays an attempt"
	// MutantNoLoopCheck: the receiver does not look at the path.
	MutantNoLoopCheck Mutant = "receiver's loop check off"
	// MutantNoSettling: WayRendezvous runs keys issued before ownership
	// settled.
	MutantNoSettling Mutant = "settling rule off"
)

// TicketMutants lists the faults that can be planted into WayTicket.
func TicketMutants() []Mutant {
	return []Mutant{
		MutantOwnerIgnored, MutantIncarnationIgnored, MutantForgotten, MutantReleased,
		MutantNoWait, MutantTransportReplay, MutantNoLoopCheck,
	}
}

// orderOf builds what the ledger sees of a message, with the planted fault.
func (w *world) orderOf(d *daemon, m message) once.RequestInfo {
	order := once.RequestInfo{Org: orgName, Service: orderService, Key: string(m.key), Path: m.path}
	if w.config.Way != WayTicket || w.config.Mutant == MutantNone {
		return order
	}
	claims, err := w.keyring.Verify(string(m.key))
	if err != nil {
		return order
	}
	switch w.config.Mutant {
	case MutantOwnerIgnored:
		claims.Owner = d.self
	case MutantIncarnationIgnored:
		if claims.Owner.VM == d.self.VM {
			claims.Owner = d.self
		}
	case MutantForgotten:
		if w.chance(mutantChance) {
			d.ledger = w.newLedger(d)
		}
	case MutantReleased, MutantNoWait:
		claims.ID = w.hidden(d, claims, order)
	case MutantNoLoopCheck:
		order.Path = nil
	}
	text, err := w.keyring.Sign(claims)
	if err == nil {
		order.Key = text
	}
	return order
}

const mutantChance = 0.05

// hidden returns an ID under which the ledger does not find the record that
// the planted fault ignores.
func (w *world) hidden(d *daemon, claims ticket.Claims, order once.RequestInfo) ticket.ID {
	id := claims.ID
	for range maxSends {
		claims.ID = id
		text, err := w.keyring.Sign(claims)
		if err != nil || claims.Owner != d.self {
			return id
		}
		order.Key = text
		if !w.ignored(d, id, order) {
			return id
		}
		id[0]++
	}
	return id
}

// ignored reports whether the planted fault ignores the record of the ID.
func (w *world) ignored(d *daemon, id ticket.ID, order once.RequestInfo) bool {
	if w.config.Mutant == MutantNoWait {
		return len(d.waiting[id]) > 0
	}
	ledger, ok := d.ledger.(*once.Ledger)
	if !ok || len(d.waiting[id]) > 0 || !ledger.Contains(id) {
		return false
	}
	decision := ledger.Begin(d.clock(), order, d.view)
	return decision.Failure != nil && decision.Failure.Verdict == types.NotRun
}
