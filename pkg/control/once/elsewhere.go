package once

import (
	"errors"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// identify returns the claims of the request's ticket, or the refusal of a
// request without a valid one. No daemon ever runs a key that is not a ticket,
// so every daemon refuses it with NotRun.
func identify(keyring *ticket.Keyring, req RequestInfo) (ticket.Claims, *Decision) {
	text, refused := ticketText(req)
	if refused != nil {
		return ticket.Claims{}, refused
	}
	claims, err := keyring.Verify(text)
	switch {
	case errors.Is(err, ticket.ErrUnknownKey):
		return claims, newRefusal(types.MayHaveRun, types.CodeOwnerUnknown, "the ticket's signing key is not known here")
	case errors.Is(err, ticket.ErrForged):
		return claims, newRefusal(types.MayHaveRun, types.CodeForbidden, "the ticket's signature does not match")
	case err != nil:
		return claims, newRefusal(types.NotRun, types.CodeBadRequest, "the ticket is malformed")
	case claims.Org != req.Org:
		return claims, newRefusal(types.NotRun, types.CodeForbidden, "the ticket belongs to another organisation")
	}
	return claims, nil
}

// ticketText returns the ticket from the two headers that may carry it, or a
// refusal when there is none or the headers contradict each other.
func ticketText(req RequestInfo) (string, *Decision) {
	text := req.Key
	if text == "" {
		text = req.Ticket
	}
	if !ticket.IsTicket(text) && !ticket.IsTicket(req.Ticket) {
		decision := newRefusal(types.NotRun, types.CodeTicketRequired,
			"a request that may not be repeated needs a ticket as its idempotency key: send it again with the new ticket as Idempotency-Key")
		decision.Reissue = true
		return "", decision
	}
	if req.Ticket != "" && req.Ticket != text {
		return "", newRefusal(types.MayHaveRun, types.CodeBadRequest,
			"Idempotency-Key and X-Ticket differ: send the ticket as Idempotency-Key")
	}
	return text, nil
}

func newRefusal(verdict types.Verdict, code types.Code, message string) *Decision {
	return &Decision{Failure: types.NewFailure(verdict, code, message)}
}

// decideOtherOwner decides on a ticket that another incarnation owns. This
// daemon can't know whether the owner has run the request, so every refusal has
// the verdict MayHaveRun.
func decideOtherOwner(self types.Incarnation, claims ticket.Claims, req RequestInfo, view *snapshot.Snapshot) Decision {
	if len(req.Path) > 0 {
		return refuse(claims, types.MayHaveRun, types.CodeLoop, "the request was forwarded to a daemon that does not own it")
	}
	if claims.Owner.VM == self.VM {
		return ownerGone(claims)
	}
	index := slices.IndexFunc(view.Members, func(m snapshot.Member) bool { return m.Incarnation.VM == claims.Owner.VM })
	if index < 0 {
		return ownerGone(claims)
	}
	member := view.Members[index]
	if req.Service != nil && !req.Service.Allows(member.Region) {
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
