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
			return run(types.RequestID(args[0]), args[1:], command.InOrStdin(), command.OutOrStdout())
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
			lines, err := readAll(args, command.InOrStdin())
			if err != nil {
				return err
			}
			return trace.CountLosses(lines, interval).Print(command.OutOrStdout())
		},
	}
	command.Flags().DurationVar(&interval, "interval", defaultInterval, "length of the intervals")
	return command
}

// readAll reads the lines of all files.
func readAll(files []string, in io.Reader) ([]trace.Line, error) {
	var lines []trace.Line
	for _, name := range files {
		found, err := read(name, in)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

func run(id types.RequestID, files []string, in io.Reader, out io.Writer) error {
	lines, err := readAll(files, in)
	if err != nil {
		return err
	}
	story := trace.BuildStory(lines, id)
	if story == nil {
		return eris.Errorf("no line is about request %s; answered requests are sampled, failed ones up to a rate", id)
	}
	return story.Print(out)
}

func read(name string, in io.Reader) ([]trace.Line, error) {
	source := filepath.Base(name)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "trace")
		}
		defer func() { _ = file.Close() }() // it was only read
		in = file
	}
	lines, _, err := trace.Read(in, source)
	return lines, eris.Wrap(err, name)
}
