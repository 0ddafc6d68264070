package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/internal/fakenet"
)

func controlCommand() *cobra.Command {
	opts := fakenet.HistoryOptions{}
	seeds := 1
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Configuration, membership and peer messages",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for range seeds {
				if err := runControl(cmd, opts); err != nil {
					return err
				}
				opts.Seed++
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&opts.Seed, "seed", uint64(time.Now().UnixNano()), "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().IntVar(&opts.Steps, "steps", 100_000, "events under faults for each seed")
	cmd.Flags().IntVar(&opts.Daemons, "daemons", 8, "number of daemons")
	return cmd
}

func runControl(cmd *cobra.Command, opts fakenet.HistoryOptions) error {
	result, err := fakenet.RunHistory(opts)
	if err != nil {
		return eris.Wrapf(err, "seed %d", opts.Seed)
	}
	var acts []string
	for _, name := range slices.Sorted(maps.Keys(result.Acts)) {
		acts = append(acts, fmt.Sprintf("%s %d", name, result.Acts[name]))
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: good; %d steps, %s simulated, %s revisions, %d messages accepted, %d refused; %s\n",
		opts.Seed, result.Steps, result.Simulated.Round(time.Second), result.Revisions, result.Accepted, result.Refused, strings.Join(acts, ", "))
	return err
}
