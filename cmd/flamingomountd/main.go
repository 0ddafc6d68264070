// Command flamingomountd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/daemon"
	_ "github.com/flamingomount/flamingomount/pkg/hangup"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/platform"
)

// Exit statuses.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var problems settings.Problems
	if errors.As(err, &problems) || errors.Is(err, platform.ErrInvalidSettings) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailure)
}

func newCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:           "flamingomountd",
		Short:         "Runs one entry of the gateway",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(file)
		},
	}
	command.Flags().StringVar(&file, "settings", "/etc/flamingomount/daemon.yaml", "path of the settings file")
	command.AddCommand(newPlatformCommand())
	return command
}

// run runs the daemon. The first SIGTERM or SIGINT stops it gracefully, the
// second one at once.
func run(file string) error {
	// Signals are handled before the first caller can connect.
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	signal.Reset(syscall.SIGHUP) // nothing here is reloaded
	loaded, err := settings.Load(file)
	if err != nil || stop.Err() != nil {
		return err
	}
	entry, err := daemon.New(daemon.Options{Settings: loaded})
	if err != nil {
		return err
	}
	abort, abortNow := context.WithCancel(context.Background())
	defer abortNow()
	context.AfterFunc(stop, func() {
		again, releaseAgain := signal.NotifyContext(abort, syscall.SIGTERM, syscall.SIGINT)
		defer releaseAgain()
		<-again.Done()
		abortNow()
	})
	return entry.Run(stop, abort)
}
