package outlier

import (
	"slices"
	"time"
)

const (
	// slownessWeight is the EWMA weight of the newest sample.
	slownessWeight = 0.1
	// successWindow is how long a success counts as evidence that a group works.
	successWindow = 10 * time.Second
	// minPeers is the number of peers below which latency is not evaluated.
	minPeers = 2
)

// record holds the results and the ejection state of one endpoint.
type record struct {
	peers       peerGroup
	failures    int // consecutive, including unreachable
	unreachable int // consecutive
	slowness    float64
	samples     int
	lastSuccess time.Time

	reason string
	// ejectedUntil is the end of the current or last ejection.
	ejectedUntil time.Time
	// ejections counts ejections since the last reset; see eject.
	ejections int
}

func (r *record) add(result Result) {
	switch result.Outcome {
	case OutcomeSucceeded:
		r.failures, r.unreachable = 0, 0
		r.lastSuccess = result.At
		r.addSlowness(result.Slowness)
	case OutcomeFailed:
		r.failures++
		r.unreachable = 0
	case OutcomeUnreachable:
		r.failures++
		r.unreachable++
	}
}

func (r *record) addSlowness(slowness float64) {
	if slowness <= 0 {
		return
	}
	r.samples++
	weight := max(slownessWeight, 1/float64(r.samples))
	r.slowness += weight * (slowness - r.slowness)
}

func (r *record) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

func (r *record) inSlowStart(now time.Time, duration time.Duration) bool {
	return !r.ejectedUntil.IsZero() && !r.ejected(now) && now.Before(r.ejectedUntil.Add(duration))
}

func (r *record) eject(reason string, now time.Time, options Options) {
	// The length starts again at BaseEjectionTime once the last ejection ended
	// more than MaxEjectionTime ago.
	if now.Sub(r.ejectedUntil) > options.MaxEjectionTime {
		r.ejections = 0
	}
	duration := min(options.BaseEjectionTime<<min(r.ejections, 16), options.MaxEjectionTime)
	r.ejections++
	r.reason, r.ejectedUntil = reason, now.Add(duration)
	r.failures, r.unreachable = 0, 0
	r.samples, r.slowness = 0, 0
}

// The reasons for an ejection, as shown to operators.
const (
	reasonUnreachable = "refuses connections"
	reasonFailures    = "failed several times in a row"
	reasonSlow        = "much slower than its peers"
)

// ejectionReason returns why an endpoint should be ejected (empty if it should
// not) and the largest share of its group that may be ejected for that reason.
func (d *Detector) ejectionReason(entry *record, now time.Time) (reason string, share float64) {
	failures, unreachable := d.options.ConsecutiveFailures, d.options.ConsecutiveUnreachable
	if entry.inSlowStart(now, d.options.SlowStart) {
		failures, unreachable = 1, 1
	}
	switch {
	case entry.unreachable >= unreachable:
		if d.peerSucceeded(entry, now) {
			return reasonUnreachable, d.options.MaxUnreachableShare
		}
		return reasonUnreachable, d.options.MaxEjectedShare
	case entry.failures >= failures:
		return reasonFailures, d.options.MaxEjectedShare
	case d.isSlow(entry):
		return reasonSlow, d.options.MaxEjectedShare
	}
	return "", 0
}

// peerSucceeded reports whether another endpoint of the group succeeded within
// successWindow.
func (d *Detector) peerSucceeded(entry *record, now time.Time) bool {
	return slices.ContainsFunc(d.groups[entry.peers], func(peer *record) bool {
		return peer != entry && !peer.lastSuccess.IsZero() && now.Sub(peer.lastSuccess) < successWindow
	})
}

// isSlow reports whether an endpoint's slowness exceeds SlowFactor times the median
// of its peers.
func (d *Detector) isSlow(entry *record) bool {
	if entry.samples < d.options.MinSamples {
		return false
	}
	var peers []float64
	for _, peer := range d.groups[entry.peers] {
		if peer != entry && peer.samples >= d.options.MinSamples {
			peers = append(peers, peer.slowness)
		}
	}
	if len(peers) < minPeers {
		return false
	}
	slices.Sort(peers)
	return entry.slowness > d.options.SlowFactor*peers[len(peers)/2]
}

// mayEject reports whether one more endpoint of the group may be ejected without
// exceeding the given share of the group, but at least one. The last endpoint is
// never ejected.
func (d *Detector) mayEject(entry *record, share float64, now time.Time) bool {
	peers := d.groups[entry.peers]
	ejectedCount := 0
	for _, peer := range peers {
		if peer.ejected(now) {
			ejectedCount++
		}
	}
	limit := max(int(share*float64(len(peers))), 1)
	return ejectedCount < min(limit, len(peers)-1)
}
