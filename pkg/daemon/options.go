// Package daemon assembles the request stages and the control state into one
// process and manages its life cycle: provision, validate, run, cleanup.
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

// Control is the control state: it accepts events and provides snapshots.
type Control interface {
	control.Submitter
	control.Snapshots
	// Run maintains the state until ctx ends.
	Run(ctx context.Context) error
	// Peers returns the handler of messages from other daemons; nil if there is
	// none.
	Peers() http.Handler
}

// Options configures a Daemon. Only Settings is required.
type Options struct {
	Settings *settings.Settings
	// Control replaces the control state configured in the settings.
	Control Control
	// Router replaces the default router, which package pipeline composes.
	Router route.Router
	// Retrier replaces the default retry policy.
	Retrier dispatch.Retrier
	// NewAdmitter replaces the admission controller of each service.
	NewAdmitter func(service types.ServiceName) admission.Admitter
	// Keys replaces the keys named in the settings; tests use it.
	Keys []Key
	// Boot is the boot ID of the process; empty means a random one.
	Boot types.BootID
	// Log receives JSON lines; nil means standard error.
	Log *logrus.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand must be safe for concurrent use; nil means a randomly seeded source.
	Rand route.Rand
	// CallerListener, PeerListener and AdminListener replace the listeners
	// configured in the settings.
	CallerListener net.Listener
	PeerListener   net.Listener
	AdminListener  net.Listener
}

// Key is a secret shared by all daemons of a deployment.
type Key struct {
	ID     string
	Secret []byte
}
