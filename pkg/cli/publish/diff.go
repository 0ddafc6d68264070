package publish

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
	"github.com/flamingomount/flamingomount/pkg/published"
)

func diffCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "diff OLD-DIRECTORY NEW-DIRECTORY",
		Short: "List the values in which two bundles differ",
		Long:  "List the values in which two bundles differ, one a line. Signatures are not checked; see bundle verify.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return diff(cmd, args[0], args[1], asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func diff(cmd *cobra.Command, oldDir, newDir string, asJSON bool) error {
	before, err := openUnchecked(oldDir)
	if err != nil {
		return err
	}
	after, err := openUnchecked(newDir)
	if err != nil {
		return err
	}
	changes := bundle.Diff(before, after)
	if asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(changes)
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), change); err != nil {
			return err
		}
	}
	return nil
}

// openUnchecked opens a bundle that may not be signed yet.
func openUnchecked(dir string) (*published.Configuration, error) {
	b, err := bundledir.Read(dir)
	if err != nil {
		return nil, err
	}
	return b.OpenUnchecked()
}
