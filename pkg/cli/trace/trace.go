// Package trace holds the trace command.
package trace

import (
	"io"
	"os"
	"path/filepath"

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

func run(id types.RequestID, files []string, in io.Reader, out io.Writer) error {
	var lines []trace.Line
	for _, name := range files {
		found, err := read(name, in)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
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
