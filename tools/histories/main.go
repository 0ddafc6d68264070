// Command histories drives the daemons' decisions through random faults and
// checks the invariants after each step. Each subcommand drives one part.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "histories",
		Short:         "Check invariants over long random histories",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// commands lists the subcommands, one file each.
func commands() []*cobra.Command {
	return []*cobra.Command{
		controlCommand(),
		onceCommand(),
		onceCostCommand(),
	}
}
