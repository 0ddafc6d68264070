package check

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// olderSlack is how long after a process has served a version it may still go by an
	// older one, and olderSlackDisturbed the same beside a fault of its daemon.
	olderSlack          = 400 * time.Millisecond
	olderSlackDisturbed = 8 * olderSlack
	// maxVersionsTold is how many findings of a check of versions are told.
	maxVersionsTold = 5
)

// Marker is a version of the configuration with a route that no other version has.
type Marker struct {
	Version uint64
	// From is when it was sent to the store, Acknowledged when the store had taken it.
	From, Acknowledged time.Time
}

// probes returns the calls of markers' routes that a daemon served or for which it had no
// route, in order.
func (r *Record) probes() []Call {
	var found []Call
	for _, call := range r.Calls {
		if served := call.Outcome.Status == http.StatusOK; call.Marker > 0 && (served || call.Outcome.Status == http.StatusNotFound) {
			found = append(found, call)
		}
	}
	slices.SortFunc(found, func(a, b Call) int { return cmp.Or(a.Sent.Compare(b.Sent), cmp.Compare(a.ID, b.ID)) })
	return found
}

// notInForce checks that each acknowledged configuration, and none before it, is in force
// in time. A fault excuses what is sent up to settle after it.
func (r *Record) notInForce() []string {
	var broken []string
	for _, call := range r.probes() {
		latest := r.inForce(call)
		served := call.Outcome.Status == http.StatusOK
		if latest == nil || served == (call.Marker == latest.Version) || r.disturbed(call.Daemon, call.Sent, call.Ended) {
			continue
		}
		broken = append(broken, fmt.Sprintf("version: %s answered %d for the route of version %d, %s after version %d was acknowledged (%s)",
			call.Daemon, call.Outcome.Status, call.Marker, call.Sent.Sub(latest.Acknowledged).Round(time.Millisecond), latest.Version, call.ID))
	}
	return few(broken)
}

// inForce returns the version that has to be in force for a call; nil while more than one
// may be.
func (r *Record) inForce(call Call) *Marker {
	for at := range r.Markers {
		marker := &r.Markers[at]
		last := at == len(r.Markers)-1
		if call.Sent.After(marker.Acknowledged.Add(r.ConfigWithin)) && (last || call.Ended.Before(r.Markers[at+1].From)) {
			return marker
		}
	}
	return nil
}

// older checks that no process goes back to an older configuration than one that it has
// served, whatever happens to the store.
func (r *Record) older() []string {
	type seen struct {
		version uint64
		at      time.Time
	}
	newest := make(map[string]seen)
	var broken []string
	for _, call := range r.probes() {
		before, known := newest[call.Process]
		served := call.Outcome.Status == http.StatusOK
		slack := olderSlack
		if r.disturbedDaemon(call.Daemon, call.Sent, call.Ended) {
			slack = olderSlackDisturbed
		}
		// A route that is gone is no sign of an older version if a newer one may be in force.
		older := served && call.Marker < before.version || !served && call.Marker == before.version && !r.newerSent(call)
		switch {
		case call.Process == "":
		case known && older && call.Sent.After(before.at.Add(slack)):
			broken = append(broken, fmt.Sprintf("older: %s answered %d for the route of version %d at %s, after it had served version %d at %s (%s)",
				call.Process, call.Outcome.Status, call.Marker, clock(call.Sent), before.version, clock(before.at), call.ID))
		case served && (!known || call.Marker > before.version):
			newest[call.Process] = seen{call.Marker, call.Ended}
		}
	}
	return few(broken)
}

// newerSent reports whether a newer version than the call's had been sent to the store
// before the call ended.
func (r *Record) newerSent(call Call) bool {
	return slices.ContainsFunc(r.Markers, func(marker Marker) bool {
		return marker.Version > call.Marker && marker.From.Before(call.Ended)
	})
}

// few returns the first of some findings, and how many there are.
func few(findings []string) []string {
	if len(findings) <= maxVersionsTold {
		return findings
	}
	return append(findings[:maxVersionsTold:maxVersionsTold], fmt.Sprintf("%s; %d such findings in all", findings[maxVersionsTold], len(findings)))
}
