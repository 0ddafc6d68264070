// Package daemon wires the stages of a request and the control state into one
// process and runs its life cycle: provision, validate, run, cleanup.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/control"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Control is the control state: it takes events and gives snapshots.
type Control interface {
	control.Submitter
	control.Snapshots
	// Run owns the state until ctx ends.
	Run(ctx context.Context) error
	// Peers handles the messages of other daemons; nil for none.
	Peers() http.Handler
}

// Options configures a Daemon. Only Settings is required.
type Options struct {
	Settings *settings.Settings
	// Control replaces the control state that the settings describe.
	Control Control
	// Router replaces the composed router.
	Router route.Router
	// Retrier replaces the retry policy.
	Retrier dispatch.Retrier
	// NewAdmitter replaces the admission controller of each service.
	NewAdmitter func(service types.ServiceName) admission.Admitter
	// Keys replaces the keys that the settings name; tests use it.
	Keys []Key
	// Boot is the boot ID of the process; empty draws one.
	Boot types.BootID
	// Log receives JSON lines; nil means standard error.
	Log *logrus.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand must be safe for concurrent use; nil means a random seed.
	Rand route.Rand
	// CallerListener and PeerListener replace the listeners of the settings.
	CallerListener net.Listener
	PeerListener   net.Listener
	AdminListener  net.Listener
}

// Key is a secret that all daemons of a deployment share.
type Key struct {
	ID     string
	Secret []byte
}
