package fleet

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/admin"
)

func queuesCommand() *cobra.Command {
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		const head = "DAEMON\tRANK\tWAITING\tRUNNING\tORGANISATIONS\tCAPACITY"
		return ask(ctx, f, out, get("/admin/v1/queues", nil), head, func(w io.Writer, address string, answer *admin.Queues) {
			for _, q := range answer.Ranks {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", address, q.Rank, q.Waiting, q.Running, q.Organisations, q.Capacity)
			}
		})
	}
	return newCommand("queues", "Show admission by rank", run)
}

func quarantineCommand() *cobra.Command {
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		const head = "SEEN BY\tFINGERPRINT\tUNTIL"
		return ask(ctx, f, out, get("/admin/v1/quarantine", nil), head, func(w io.Writer, address string, answer *admin.Quarantine) {
			for _, q := range answer.Requests {
				fmt.Fprintf(w, "%s\t%s\t%s\n", address, q.Fingerprint, stamp(q.Until))
			}
		})
	}
	return newCommand("quarantine", "Show requests that crashed endpoints and may not run", run)
}

func ordersCommand() *cobra.Command {
	run := func(ctx context.Context, f *flags, out io.Writer) error {
		const head = "DAEMON\tRUNNING\tFINISHED\tANSWER BYTES\tLIMIT"
		return ask(ctx, f, out, get("/admin/v1/orders", nil), head, func(w io.Writer, address string, answer *admin.Orders) {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", address, answer.Running, answer.Finished, answer.Bytes, answer.LimitBytes)
		})
	}
	return newCommand("orders", "Show how many requests that may not be repeated are remembered", run)
}
