package world

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
)

const (
	// markerPath begins the paths of routes that one version of the configuration has.
	markerPath = "/marker-"
	// probeInterval is the time between two questions to a daemon.
	probeInterval = 60 * time.Millisecond
	// probedVersions is the number of versions, from the latest one back, that are asked
	// for in turn.
	probedVersions = 3
)

// markerPrefix is the path of the route that only one version has.
func markerPrefix(version uint64) string {
	return fmt.Sprintf("%s%d/", markerPath, version)
}

// probers asks each daemon for the routes of the latest versions, one after the other, until
// ctx ends.
func (w *World) probers(ctx context.Context) {
	for _, one := range w.daemons {
		w.serving.Go(func() { w.prober(ctx, one) })
	}
}

// prober asks a daemon on a connection that it keeps for as long as it can.
func (w *World) prober(ctx context.Context, one *daemon) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	for sent := 0; ctx.Err() == nil; sent++ {
		w.mu.Lock()
		version := w.record.Markers[max(len(w.record.Markers)-1-sent%probedVersions, 0)].Version
		w.mu.Unlock()
		id := fmt.Sprintf("probe-%s-%d", one.name, sent)
		call := check.Call{Marker: version, Daemon: one.name, Direct: true, Sent: time.Now(), Call: standin.Call{
			ID: id, Address: one.front(), Host: host, Method: http.MethodGet, Path: markerPrefix(version) + id, Timeout: callWithin,
		}}
		before := one.latest()
		call.Outcome = call.Send(context.Background(), transport)
		if one.latest() == before {
			call.Process = before
		}
		call.Ended = time.Now()
		w.note(call)
		time.Sleep(probeInterval)
	}
}
