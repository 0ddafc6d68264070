// Command measure runs a scenario of the decisions, real and naive, over several
// seeds and prints the least and the greatest value of each figure.
//
//	go run ./tools/measure SCENARIO --seed 1 --seeds 5 [--csv FILE] [--plot FILE]
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/tools/measure/scenario"
)

type options struct {
	scenario string
	seed     uint64
	seeds    int
	csv      string
	plot     string
	figure   string
}

func main() {
	if err := measure(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func measure(args []string) error {
	o, err := parse(args)
	if err != nil {
		return err
	}
	chosen, found := scenario.Find(o.scenario)
	if !found {
		return eris.Errorf("unknown scenario %q; known are: %s", o.scenario, names())
	}
	runs := runAll(chosen, o)
	fmt.Printf("%s: %s; seeds %d to %d\n\n", chosen.Name, chosen.About, o.seed, o.seed+uint64(o.seeds)-1)
	fmt.Print(table(runs))
	if o.csv != "" {
		if err := writeCSV(o.csv, chosen.Name, o.seed, runs); err != nil {
			return err
		}
	}
	if o.plot != "" {
		return writePlot(o.plot, chosen.Name, o.figure, runs)
	}
	return nil
}

func parse(args []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("measure", flag.ContinueOnError)
	flags.Uint64Var(&o.seed, "seed", 1, "first seed")
	flags.IntVar(&o.seeds, "seeds", 5, "number of seeds")
	flags.StringVar(&o.csv, "csv", "", "file for every value as CSV")
	flags.StringVar(&o.plot, "plot", "", "file for a plot of one figure (.png or .svg)")
	flags.StringVar(&o.figure, "figure", "urgent p99 s", "figure to plot")
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		o.scenario, args = args[0], args[1:]
	}
	if err := flags.Parse(args); err != nil {
		return o, eris.Wrap(err, "reading the flags")
	}
	if o.scenario == "" && flags.NArg() == 1 {
		o.scenario = flags.Arg(0)
	}
	if o.scenario == "" {
		return o, eris.Errorf("name a scenario: %s", names())
	}
	if o.seeds < 1 {
		return o, eris.Errorf("--seeds must be at least 1, not %d", o.seeds)
	}
	return o, nil
}

func names() string {
	var list []string
	for _, s := range scenario.All() {
		list = append(list, s.Name)
	}
	return strings.Join(list, ", ")
}
