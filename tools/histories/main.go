// Command histories plays long random histories against the deciding packages
// with any seed, and measures what the rules cost.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "histories",
		Short:        "Plays random histories on injected time and network",
		SilenceUsage: true,
	}
	root.AddCommand(newOnceCommand(), newOnceCostCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}
