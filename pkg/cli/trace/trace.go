// Package trace holds the commands that read the logs of daemons.
package trace

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/trace"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Command returns the trace command.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST FILE...",
		Short: "Join the logs of several daemons into one request's story and name the cause",
		Long: "Reads JSON lines from files, or from standard input for \"-\". A word before a line's object names " +
			"its daemon, otherwise the file's name does. Ends with status 1 when no line is about the request.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			lines, err := readAll(command, args[1:])
			if err != nil {
				return err
			}
			return printStory(types.RequestID(args[0]), lines, command.OutOrStdout())
		},
	}
}

// LossesCommand returns the losses command.
func LossesCommand() *cobra.Command {
	const defaultInterval = 2 * time.Second
	interval := defaultInterval
	command := &cobra.Command{
		Use:   "losses FILE...",
		Short: "Count requests by time, route, daemon and outcome, from the logs of several daemons",
		Long: "Reads JSON lines as trace does. Answered requests are sampled and failed ones limited in rate; " +
			"the last lines tell how many requests have no line.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if interval <= 0 {
				return eris.Errorf("--interval must be positive, not %s", interval)
			}
			lines, err := readAll(command, args)
			if err != nil {
				return err
			}
			return trace.CountLosses(lines, interval).Print(command.OutOrStdout())
		},
	}
	command.Flags().DurationVar(&interval, "interval", defaultInterval, "length of the intervals")
	return command
}

// WithheldCommand returns the withheld command.
func WithheldCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "withheld FILE...",
		Short: "List the contents and prompt parts that daemons withhold from endpoints, from their logs",
		Long:  "Reads JSON lines as trace does. A request that was refused names what is withheld in its field withheld.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			lines, err := readAll(command, args)
			if err != nil {
				return err
			}
			return trace.PrintWithheld(trace.FindWithheld(lines), command.OutOrStdout())
		},
	}
}

// readAll reads the lines of all files, and writes to the command's error output
// how many could not be read.
func readAll(command *cobra.Command, files []string) ([]trace.Line, error) {
	var lines []trace.Line
	skipped := 0
	for _, name := range files {
		found, skippedHere, err := read(name, command.InOrStdin())
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
		skipped += skippedHere
	}
	if skipped > 0 {
		command.PrintErrf("%d lines were skipped: they hold no JSON object or are too long\n", skipped)
	}
	return lines, nil
}

func printStory(id types.RequestID, lines []trace.Line, out io.Writer) error {
	story := trace.BuildStory(lines, id)
	if story == nil {
		return eris.Errorf("no line is about request %s; answered requests are sampled, failed ones up to a rate", id)
	}
	return story.Print(out)
}

func read(name string, in io.Reader) (lines []trace.Line, skipped int, err error) {
	source := filepath.Base(name)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, eris.Wrap(err, "trace")
		}
		defer func() { _ = file.Close() }() // it was only read
		in = file
	}
	lines, skipped, err = trace.Read(in, source)
	return lines, skipped, eris.Wrap(err, name)
}
