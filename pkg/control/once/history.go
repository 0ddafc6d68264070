package once

import (
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// DowngradeNotRun returns the failure to report for a request that was refused
// without asking the ledger of the ticket's owner: by admission control, by a
// limit, or by a daemon that forwards it. Such a refusal says nothing about
// earlier sends of the same ticket, so a verdict NotRun becomes MayHaveRun.
// Without a ticket the failure is returned unchanged, since nothing runs
// without one.
func DowngradeNotRun(key, ticketText string, failure *types.Failure) *types.Failure {
	if failure == nil || failure.Verdict != types.NotRun {
		return failure
	}
	if !ticket.IsTicket(key) && !ticket.IsTicket(ticketText) {
		return failure
	}
	downgraded := *failure
	downgraded.Verdict = types.MayHaveRun
	return &downgraded
}
