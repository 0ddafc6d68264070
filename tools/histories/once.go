package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/internal/oncehistory"
)

// onceOptions are the flags of the command once.
type onceOptions struct {
	seed  uint64
	seeds int
	steps int
	way   string
	bare  float64
}

// onceCommand returns the command that plays histories of orders.
func onceCommand() *cobra.Command {
	options := onceOptions{}
	command := &cobra.Command{
		Use:   "once",
		Short: "Plays histories of orders and checks that none runs twice",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return playOnce(command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.seed, "seed", 1, "first seed")
	flags.IntVar(&options.seeds, "seeds", 10, "number of seeds")
	flags.IntVar(&options.steps, "steps", 100_000, "events of each history")
	flags.StringVar(&options.way, "way", string(oncehistory.WayTicket), "ticket, rendezvous or naive")
	flags.Float64Var(&options.bare, "bare", 0.3, "share of orders that start without a ticket, 0 to 1")
	return command
}

func playOnce(out io.Writer, options onceOptions) error {
	broken := 0
	var total oncehistory.Report
	for i := range options.seeds {
		seed := options.seed + uint64(i)
		report := oncehistory.Run(oncehistory.Config{
			Seed: seed, Way: oncehistory.Way(options.way), Steps: options.steps, Bare: options.bare,
			Faults: oncehistory.RandomFaults(), Settle: 10 * time.Second, ListLag: time.Second,
			Ledger: oncehistory.SmallLedger(),
		})
		total.Steps += report.Steps
		total.Orders += report.Orders
		total.Runs += report.Runs
		if report.Violation != nil {
			broken++
			fmt.Fprintf(out, "seed %d: %s\n", seed, report.Violation)
		}
	}
	fmt.Fprintf(out, "%d histories, %d steps, %d orders, %d runs, %d with a violation\n",
		options.seeds, total.Steps, total.Orders, total.Runs, broken)
	if broken > 0 {
		return eris.Errorf("%d of %d histories broke a promise", broken, options.seeds)
	}
	return nil
}

// onceCostCommand returns the command that measures availability.
func onceCostCommand() *cobra.Command {
	var seed uint64
	var seeds int
	command := &cobra.Command{
		Use:   "once-cost",
		Short: "Measures the share of orders told not-run or may-have-run in each scenario",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			measureOnce(command.OutOrStdout(), seed, seeds)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	command.Flags().IntVar(&seeds, "seeds", 5, "number of seeds")
	return command
}

func measureOnce(out io.Writer, seed uint64, seeds int) {
	fmt.Fprintln(out, "| scenario | way | orders | ran | not run | may have run | doubled |")
	fmt.Fprintln(out, "| --- | --- | ---: | ---: | ---: | ---: | ---: |")
	for _, scenario := range oncehistory.Scenarios() {
		for _, costCase := range oncehistory.CostCases() {
			var sum oncehistory.Report
			for i := range seeds {
				report := oncehistory.Cost(costCase, scenario, seed+uint64(i))
				sum.Orders += report.Orders
				sum.Ran += report.Ran
				sum.NotRun += report.NotRun
				sum.MayHaveRun += report.MayHaveRun
				sum.Doubled += report.Doubled
			}
			share := func(count int) string {
				return fmt.Sprintf("%.3f%%", float64(count)*100/float64(sum.Orders))
			}
			fmt.Fprintf(out, "| %s | %s | %d | %s | %s | %s | %d |\n", scenario, costCase.Name, sum.Orders,
				share(sum.Ran), share(sum.NotRun), share(sum.MayHaveRun), sum.Doubled)
		}
	}
}
