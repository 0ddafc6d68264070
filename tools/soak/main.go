// Command soak runs daemons as separate processes under random planned work and
// faults, and checks what callers and endpoints see.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/plan"
	"github.com/flamingomount/flamingomount/tools/soak/world"
)

// startWithin bounds the start of a run.
const startWithin = 30 * time.Second

func main() {
	var first uint64
	var seeds, side int
	var keep string
	opts := world.Options{}
	command := &cobra.Command{
		Use:          "soak",
		Short:        "Runs daemons under random planned work and faults and checks their promises",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			return soak(opts, first, seeds, side, keep)
		},
	}
	flags := command.Flags()
	flags.StringVar(&opts.Binary, "daemon", "target/flamingomountd", "the daemon's program")
	flags.DurationVar(&opts.Length, "length", 20*time.Second, "time of traffic in each run")
	flags.IntVar(&opts.Daemons, "daemons", 2, "daemons in each of the two regions")
	flags.IntVar(&opts.Callers, "callers", 6, "callers in each region")
	flags.BoolVar(&opts.Timed, "timed", true, "check bounds in time as well; needs a machine that is not overloaded")
	flags.BoolVar(&opts.Rolling, "rolling", false, "stop the daemons of three regions in turn, with long streams and callers of their own kind")
	flags.IntVar(&opts.Visitors, "visitors", 4, "callers that stay with each daemon in a rolling run")
	flags.BoolVar(&opts.Homes, "homes", false, "stop all daemons of a region at once, of three regions in turn, with callers that keep the directory's answers for routes with homes")
	flags.BoolVar(&opts.Restarts, "restarts", false, "let endpoints crash or leave and start again under their IDs, in series")
	flags.BoolVar(&opts.Restored, "restored", false, "let the store come back from copies that are some seconds old")
	flags.Uint64Var(&first, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds")
	flags.IntVar(&side, "side", 4, "runs side by side")
	flags.StringVar(&keep, "keep", "soak-failures", "directory for the logs of runs that failed")
	command.MarkFlagsMutuallyExclusive("rolling", "homes", "restarts", "restored")
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}

// soak plays the seeds and returns an error when a promise broke.
func soak(opts world.Options, first uint64, seeds, side int, keep string) error {
	failed := make([]bool, seeds)
	runs := pool.New().WithMaxGoroutines(max(side, 1))
	for at := range seeds {
		runs.Go(func() {
			one := opts
			one.Seed = first + uint64(at)
			failed[at] = !play(one, keep)
		})
	}
	runs.Wait()
	count := 0
	for _, one := range failed {
		if one {
			count++
		}
	}
	fmt.Printf("%d runs, %d failed\n", seeds, count)
	if count > 0 {
		return fmt.Errorf("%d runs broke a promise", count)
	}
	return nil
}

// play runs one seed and prints what it showed.
func play(opts world.Options, keep string) bool {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		fmt.Println("seed", opts.Seed, err)
		return false
	}
	defer func() { _ = os.RemoveAll(dir) }() // a directory left over does no harm
	opts.Dir = dir
	broken, summary, err := run(opts)
	if err != nil {
		broken = append(broken, err.Error())
	}
	fmt.Printf("seed %d: %s, %d broken\n", opts.Seed, summary, len(broken))
	for _, one := range broken {
		fmt.Printf("  seed %d: %s\n", opts.Seed, one)
	}
	if len(broken) == 0 {
		return true
	}
	kept := filepath.Join(keep, fmt.Sprintf("seed-%d", opts.Seed))
	if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
		fmt.Println("  logs not kept:", err)
	}
	return false
}

// run plays one seed and checks its record.
func run(opts world.Options) ([]string, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startWithin)
	defer cancel()
	one, err := world.New(ctx, opts)
	if one != nil {
		defer one.Close()
	}
	if err != nil {
		return nil, "not started", err
	}
	steps := drawPlan(opts, one.DaemonsByRegion())
	record := one.Run(steps)
	if opts.Homes {
		fmt.Printf("homes %d | %s\n", opts.Seed, one.HomeRoutes())
		printLed(opts.Seed, check.LedByRegion(record))
	}
	if opts.Rolling {
		printTallies(opts.Seed, check.Tallies(record))
	}
	return check.All(record), summary(record, len(steps)), nil
}

// drawPlan draws the plan of the kind of run that the options ask for.
func drawPlan(opts world.Options, daemons [][]int) []plan.Step {
	switch {
	case opts.Rolling:
		return plan.Rolling(opts.Seed, daemons, opts.Length)
	case opts.Homes:
		return plan.Homes(opts.Seed, daemons, opts.Length)
	case opts.Restarts:
		return plan.Restarts(opts.Seed, opts.Length)
	case opts.Restored:
		return plan.Restored(opts.Seed, opts.Length)
	}
	return plan.New(opts.Seed, opts.Length)
}

// printTallies prints a line for each class of calls of a rolling run.
func printTallies(seed uint64, tallies []check.Tally) {
	for _, one := range tallies {
		fmt.Printf("tally %d | %s | sent %d answered %d excused %d cut %d silent %d elsewhere %d\n",
			seed, one.Class, one.Sent, one.Answered, one.Excused, one.Cut, one.Silent, one.Elsewhere)
	}
}

// printLed prints a line for the callers of each region of a run with homes.
func printLed(seed uint64, regions []check.Led) {
	for _, one := range regions {
		fmt.Printf("homes %d | %s | sent %d answered %d | of routes with homes %d led out %d, in the worst window %d of %d\n",
			seed, one.Region, one.Sent, one.Answered, one.Restricted, one.Out, one.WorstOut, one.WorstRestricted)
	}
}

func summary(record *check.Record, steps int) string {
	served, refused := 0, 0
	for _, call := range record.Calls {
		switch {
		case call.Outcome.Status == 200 && call.Outcome.Complete:
			served++
		case call.Outcome.Status == 503 || call.Outcome.Status == 429:
			refused++
		}
	}
	return fmt.Sprintf("%d steps, %d calls, %d served, %d refused, %d runs", steps, len(record.Calls), served, refused, len(record.Runs))
}
