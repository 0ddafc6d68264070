// Command flamingomount publishes configurations and looks at running daemons.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/flamingomount/flamingomount/pkg/cli"
)

func main() {
	if err := cli.NewRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus returns the exit status that an error asks for, 1 by default.
func exitStatus(err error) int {
	var status interface{ ExitStatus() int }
	if errors.As(err, &status) {
		return status.ExitStatus()
	}
	return 1
}
