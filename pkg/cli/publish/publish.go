// Package publish holds the commands of the publishing step: bundle build, sign,
// verify, diff and keygen, and config check. They read and write local files
// only; uploading the written values is the operators' own step.
package publish

import (
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/cli/reference"
)

// Commands returns the commands of the package.
func Commands() []*cobra.Command {
	bundleGroup := &cobra.Command{Use: "bundle", Short: "Build, sign, verify and compare configuration bundles"}
	bundleGroup.AddCommand(buildCommand(), signCommand(), verifyCommand(), diffCommand(), keygenCommand())
	configGroup := &cobra.Command{Use: "config", Short: "Check the operators' files and explain the daemon's settings"}
	configGroup.AddCommand(checkCommand())
	configGroup.AddCommand(reference.Commands()...)
	return []*cobra.Command{bundleGroup, configGroup}
}
