// Package hangup keeps a program alive that gets SIGHUP before it handles it: the signal
// would end the process. A program imports it for this effect. It imports little, so that it
// is initialized before nearly all other packages.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received takes the signals; nobody reads it. A signal that comes before the settings are
// read asks for nothing more than their reading.
var received = make(chan os.Signal, 1)

func init() {
	signal.Notify(received, syscall.SIGHUP)
}
