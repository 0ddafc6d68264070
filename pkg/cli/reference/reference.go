// Package reference holds the commands that explain and check a daemon's
// settings file.
package reference

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/settings"
)

const tabPadding = 2

// Commands returns the commands, to be added below "config".
func Commands() []*cobra.Command {
	return []*cobra.Command{explainCommand(), defaultsCommand(), schemaCommand(), settingsCommand()}
}

func explainCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "explain [PREFIX]",
		Short: "Explain the settings of a daemon: type, default, what they accept, effect",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch output {
			case "markdown":
				return settings.WriteMarkdown(cmd.OutOrStdout())
			case "text":
				return explain(cmd, strings.Join(args, ""))
			}
			return eris.Errorf("--output: got %q, want text or markdown", output)
		},
	}
	cmd.Flags().StringVar(&output, "output", "text", "text or markdown")
	return cmd
}

func explain(cmd *cobra.Command, prefix string) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(w, "SETTING\tTYPE\tDEFAULT\tACCEPTS\tEFFECT")
	found := false
	for _, field := range settings.Reference() {
		if !strings.HasPrefix(field.Path, prefix) {
			continue
		}
		found = true
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", field.Path, field.Type, field.Default, field.Accepts, field.Effect)
	}
	if !found {
		return eris.Errorf("no setting begins with %q", prefix)
	}
	return eris.Wrap(w.Flush(), "write table")
}

func defaultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "defaults",
		Short: "Print a daemon's settings without a file, as YAML",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return settings.WriteDefaults(cmd.OutOrStdout())
		},
	}
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON schema of a daemon's settings file, for editors",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return eris.Wrap(encoder.Encode(settings.JSONSchema()), "write schema")
		},
	}
}

func settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE...",
		Short: "Check daemons' settings files and report every problem at once",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var faults []string
			for _, path := range args {
				if _, err := settings.Load(path); err != nil {
					faults = append(faults, err.Error())
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", path)
			}
			if len(faults) > 0 {
				return eris.New(strings.Join(faults, "\n"))
			}
			return nil
		},
	}
}
