// Command capacity measures what the control state costs a daemon at several
// fleet sizes, with the control code of every daemon in this process, and prints
// a table. Figures of network and platform are of simulated time; processor
// time and memory are of this process, divided by the daemons.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// options are the flags.
type options struct {
	seed          uint64
	sizes         []int
	organisations int
	thinning      int
	trials        int
	steady        int
	live          []int
	liveChanges   int
}

func main() {
	opts := options{}
	cmd := &cobra.Command{
		Use: "capacity", Short: "Measure the control state at several fleet sizes",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, opts) },
	}
	cmd.Flags().Uint64Var(&opts.seed, "seed", 1, "seed")
	cmd.Flags().IntSliceVar(&opts.sizes, "sizes", []int{8, 24, 96, 360}, "numbers of daemons")
	cmd.Flags().IntVar(&opts.organisations, "organisations", 39_000, "organisations published")
	cmd.Flags().IntVar(&opts.thinning, "thinning", 16, "hold the organisations of every so-manieth leaf only")
	cmd.Flags().IntVar(&opts.trials, "trials", 10, "trials of each failure")
	cmd.Flags().IntVar(&opts.steady, "steady", 120, "simulated seconds of the steady state")
	cmd.Flags().IntSliceVar(&opts.live, "live", nil, "numbers of real daemons over loopback to measure instead")
	cmd.Flags().IntVar(&opts.liveChanges, "live-changes", 3, "changes published to the real daemons, one each 16.6 s")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(cmd *cobra.Command, opts options) error {
	if len(opts.live) > 0 {
		return runLive(cmd.OutOrStdout(), opts)
	}
	var rows []row
	for _, size := range opts.sizes {
		measured, err := measure(opts, size)
		if err != nil {
			return err
		}
		rows = append(rows, measured)
		// A large size takes long: show what there is after each.
		if err := printTable(cmd.OutOrStdout(), rows); err != nil {
			return err
		}
	}
	return nil
}

// printTable writes the table of the sizes measured so far.
func printTable(out io.Writer, rows []row) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	for _, line := range append(table(rows), "") {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return w.Flush()
}
