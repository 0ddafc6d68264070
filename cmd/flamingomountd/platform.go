package main

import (
	"cmp"
	"os"

	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/platform"
	"github.com/flamingomount/flamingomount/platform/wire"
)

// newPlatformCommand runs an entry on the users' platform.
func newPlatformCommand() *cobra.Command {
	var file string
	var check bool
	var daemons int
	command := &cobra.Command{
		Use:   "platform",
		Short: "Runs one entry on the users' platform, with the settings file that it writes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			const usualPath = "/etc/flamingomount/local.toml"
			path := cmp.Or(file, os.Getenv(wire.SettingsVariable), usualPath)
			if check {
				return platform.Check(path)
			}
			return platform.Run(path, daemons, os.Stdout)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "path of the settings file; default: $"+wire.SettingsVariable)
	command.Flags().IntVar(&daemons, "daemons", 0, "largest number of daemons that run at once; what all may do together is never divided among fewer; default: unknown")
	command.Flags().BoolVar(&check, "check", false, "only check the settings file; status 2 when it can't be used")
	return command
}
