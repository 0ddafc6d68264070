// Package trial holds the try command.
package trial

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/try"
)

// limit bounds the whole trial.
const limit = 20 * time.Second

// Command returns the try command.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "try",
		Short: "Show the whole path on loopback, with stand-ins, in one process",
		Long: "Starts daemons in two regions with stand-ins for everything outside, sends requests of " +
			"each kind, crashes an engine and stops a daemon, and checks what it shows. Needs nothing else.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), limit)
			defer cancel()
			return try.Run(ctx, cmd.OutOrStdout())
		},
	}
}
