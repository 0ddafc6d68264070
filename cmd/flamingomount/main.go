// Command flamingomount publishes configurations and looks at running daemons.
package main

import (
	"fmt"
	"os"

	"github.com/flamingomount/flamingomount/pkg/cli"
)

func main() {
	if err := cli.NewRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
