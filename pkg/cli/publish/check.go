package publish

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/source"
)

// checkRevision stands for the revision in a check, which publishes nothing.
const checkRevision = 1

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE-OR-DIRECTORY...",
		Short: "Check the operators' files and report every problem at once",
		Args:  cobra.MinimumNArgs(1),
		RunE:  check,
	}
}

func check(cmd *cobra.Command, args []string) error {
	files, err := readSources(args)
	if err != nil {
		return err
	}
	config, err := source.Load(files, checkRevision, time.Now())
	if err != nil {
		return err
	}
	if _, err := bundle.Build(config, ""); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d files: good; %d regions, %d services, %d organisations\n",
		len(files), len(config.Regions), len(config.Services), len(config.Orgs))
	return err
}
