package once

import (
	"errors"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// identify returns the claims of the request's ticket, or the refusal of a
// request that has none. A key that is not a ticket runs nowhere, so that its
// refusal is NotRun on every daemon, for ever.
func identify(keyring *ticket.Keyring, order RequestInfo) (ticket.Claims, *Decision) {
	text, refused := ticketText(order)
	if refused != nil {
		return ticket.Claims{}, refused
	}
	claims, err := keyring.Verify(text)
	switch {
	case errors.Is(err, ticket.ErrUnknownKey):
		return claims, refusal(types.MayHaveRun, types.CodeOwnerUnknown, "the ticket's signing key is not known here")
	case errors.Is(err, ticket.ErrForged):
		return claims, refusal(types.MayHaveRun, types.CodeForbidden, "the ticket's signature does not match")
	case err != nil:
		return claims, refusal(types.NotRun, types.CodeBadRequest, "the ticket is malformed")
	case claims.Org != order.Org:
		return claims, refusal(types.NotRun, types.CodeForbidden, "the ticket belongs to another organisation")
	}
	return claims, nil
}

// ticketText finds the ticket in the two headers that may carry it.
func ticketText(order RequestInfo) (string, *Decision) {
	text := order.Key
	if text == "" {
		text = order.Ticket
	}
	if !ticket.IsTicket(text) && !ticket.IsTicket(order.Ticket) {
		decision := refusal(types.NotRun, types.CodeTicketRequired,
			"a request that may not be repeated needs a ticket as its idempotency key: send it again with the new ticket as Idempotency-Key")
		decision.Reissue = true
		return "", decision
	}
	if order.Ticket != "" && order.Ticket != text {
		return "", refusal(types.MayHaveRun, types.CodeBadRequest,
			"Idempotency-Key and X-Ticket differ: send the ticket as Idempotency-Key")
	}
	return text, nil
}

func refusal(verdict types.Verdict, code types.Code, message string) *Decision {
	return &Decision{Failure: types.NewFailure(verdict, code, message)}
}

// decideElsewhere decides on a ticket that another incarnation owns. This
// daemon can't know whether the owner has run the request, so that every
// refusal is MayHaveRun.
func decideElsewhere(self types.Incarnation, claims ticket.Claims, order RequestInfo, view *snapshot.Snapshot) Decision {
	if len(order.Path) > 0 {
		return refuse(claims, types.MayHaveRun, types.CodeLoop, "the request was forwarded to a daemon that does not own it")
	}
	if claims.Owner.VM == self.VM {
		return ownerGone(claims)
	}
	at := slices.IndexFunc(view.Members, func(m snapshot.Member) bool { return m.Incarnation.VM == claims.Owner.VM })
	if at < 0 {
		return ownerGone(claims)
	}
	member := view.Members[at]
	if order.Service != nil && !order.Service.Allows(member.Region) {
		return refuse(claims, types.MayHaveRun, types.CodeResidency, "the ticket's owner is in a region that the service may not use")
	}
	if boot := member.Incarnation.Boot; boot != "" && boot != claims.Owner.Boot && member.State == snapshot.MemberAlive {
		return ownerGone(claims)
	}
	return Decision{Action: ActionForward, ID: claims.ID, Floor: claims.Floor, Owner: claims.Owner}
}

func ownerGone(claims ticket.Claims) Decision {
	return refuse(claims, types.MayHaveRun, types.CodeOwnerGone,
		"the only daemon that may run this request is gone: it may have run and will not be run again")
}
