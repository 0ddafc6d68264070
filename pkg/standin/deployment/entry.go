package deployment

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/daemon"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// AdminCredential is the administrator's credential of every daemon here.
const AdminCredential = "loopback-operator"

// Entry is one running daemon.
type Entry struct {
	*daemon.Daemon
	stop  context.CancelFunc
	abort context.CancelFunc
	// ended is closed when the daemon has ended; err holds why.
	ended chan struct{}
	err   error
}

// StartEntry starts a daemon on a new VM of the region and publishes the VM.
func (d *Deployment) StartEntry(region types.Region) (*Entry, error) {
	s := settings.Defaults()
	s.Region, s.DataCentre = string(region), string(dataCentre(region))
	s.Platform.URL = d.url
	for _, entry := range d.Entries() {
		s.Peer.Seeds = append(s.Peer.Seeds, string(entry.Self().Incarnation.VM))
	}
	s.Bundle.PublicKeys = []string{d.PublicKey()}
	s.Timeouts.DrainNotice = d.plan.DrainNotice
	s.Timeouts.DrainTickets = d.plan.DrainTickets
	listeners, err := listen()
	if err != nil {
		return nil, err
	}
	one, err := daemon.New(daemon.Options{
		Settings:       &s,
		Keys:           sharedKeys(),
		Log:            newLog(d.plan.Log),
		CallerListener: listeners[0],
		PeerListener:   listeners[1],
		AdminListener:  listeners[2],
	})
	if err != nil {
		return nil, err
	}
	entry := &Entry{Daemon: one, ended: make(chan struct{})}
	entry.run(d)
	self := one.Self()
	d.mu.Lock()
	d.entries = append(d.entries, entry)
	d.mu.Unlock()
	d.AddEntry(region, self.Incarnation.VM, self.CallerAddress)
	return entry, nil
}

// listen opens the listeners for callers, peers and administrators.
func listen() ([3]net.Listener, error) {
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return listeners, eris.Wrap(err, "listen on loopback")
		}
		listeners[i] = listener
	}
	return listeners, nil
}

func (e *Entry) run(d *Deployment) {
	var stop, abort context.Context
	stop, e.stop = context.WithCancel(context.Background())
	abort, e.abort = context.WithCancel(context.Background())
	d.running.Go(func() {
		defer close(e.ended)
		e.err = e.Run(stop, abort)
	})
}

// URL returns the base address for callers.
func (e *Entry) URL() string {
	return "http://" + e.Self().CallerAddress
}

// Ready reports whether the entry takes requests and has heard from at least
// so many others.
func (e *Entry) Ready(others int) bool {
	view := e.Load()
	if view.Config == nil || view.Paused || len(view.Endpoints) == 0 {
		return false
	}
	alive := 0
	for _, member := range view.Members {
		if member.State == snapshot.MemberAlive {
			alive++
		}
	}
	return alive >= others
}

// Stop stops the entry gracefully, as SIGTERM does, and returns how it ended.
func (e *Entry) Stop() error {
	e.stop()
	<-e.ended
	return e.err
}

// Abort ends the entry at once, as a crash does: nothing in flight finishes.
func (e *Entry) Abort() {
	e.abort()
	e.stop()
	<-e.ended
}
