// Package cli builds the command-line tool. Each group of commands stands in a
// package of its own; the root only joins them.
package cli

import (
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/cli/fleet"
	"github.com/flamingomount/flamingomount/pkg/cli/placement"
	"github.com/flamingomount/flamingomount/pkg/cli/publish"
	"github.com/flamingomount/flamingomount/pkg/cli/trace"
	"github.com/flamingomount/flamingomount/pkg/cli/trial"
)

// NewRoot returns the tool's root command with every command below it.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "flamingomount",
		Short:         "Publish configurations and look at running daemons",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(publish.Commands()...)
	root.AddCommand(fleet.Commands()...)
	root.AddCommand(trace.Command())
	root.AddCommand(trace.LossesCommand(), trace.WithheldCommand())
	root.AddCommand(trial.Command())
	root.AddCommand(placement.Command())
	return root
}
