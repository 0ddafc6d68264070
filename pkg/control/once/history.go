package once

import (
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// DowngradeNotRun returns the failure that a caller is told when its request is
// refused without asking the ledger of the ticket's owner: by admission, by a
// limit, by a daemon on the way. Such a refusal says nothing about earlier
// sends of the same ticket, so that its verdict becomes MayHaveRun. Without a
// ticket the failure stands, since nothing runs without one.
func DowngradeNotRun(key, ticketText string, failure *types.Failure) *types.Failure {
	if failure == nil || failure.Verdict != types.NotRun {
		return failure
	}
	if !ticket.IsTicket(key) && !ticket.IsTicket(ticketText) {
		return failure
	}
	lifted := *failure
	lifted.Verdict = types.MayHaveRun
	return &lifted
}
