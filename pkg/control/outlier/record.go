package outlier

import (
	"slices"
	"time"
)

const (
	// slownessWeight is the weight of the newest result in the mean.
	slownessWeight = 0.1
	// answeredWindow is how long an answer shows that a group works.
	answeredWindow = 10 * time.Second
	// minPeers is the number of peers below which latency is not judged.
	minPeers = 2
)

// record is what is known of one endpoint.
type record struct {
	peers       group
	failures    int // in a row, unreachable included
	unreachable int // in a row
	slowness    float64
	samples     int
	answeredAt  time.Time

	reason string
	// until ends the last ejection.
	until time.Time
	// ejections counts those that followed each other soon.
	ejections int
}

func (r *record) add(result Result) {
	switch result.Outcome {
	case OutcomeSucceeded:
		r.failures, r.unreachable = 0, 0
		r.answeredAt = result.At
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
	return now.Before(r.until)
}

func (r *record) ramping(now time.Time, ramp time.Duration) bool {
	return !r.until.IsZero() && !r.ejected(now) && now.Before(r.until.Add(ramp))
}

func (r *record) eject(reason string, now time.Time, options Options) {
	// A long quiet time since the last ejection makes this one a first.
	if now.Sub(r.until) > options.MaxEjectionTime {
		r.ejections = 0
	}
	length := min(options.BaseEjectionTime<<min(r.ejections, 16), options.MaxEjectionTime)
	r.ejections++
	r.reason, r.until = reason, now.Add(length)
	r.failures, r.unreachable = 0, 0
	r.samples, r.slowness = 0, 0
}

// The reasons for an ejection, as operators see them.
const (
	reasonUnreachable = "refuses connections"
	reasonFailures    = "failed several times in a row"
	reasonSlow        = "much slower than its peers"
)

// verdict returns why an endpoint should be ejected, empty if it should not,
// and the share of its group that may be out for that reason.
func (d *Detector) verdict(entry *record, now time.Time) (reason string, share float64) {
	failures, unreachable := d.options.ConsecutiveFailures, d.options.ConsecutiveUnreachable
	if entry.ramping(now, d.options.SlowStart) {
		failures, unreachable = 1, 1
	}
	switch {
	case entry.unreachable >= unreachable:
		if d.peerAnswers(entry, now) {
			return reasonUnreachable, d.options.MaxUnreachableShare
		}
		return reasonUnreachable, d.options.MaxEjectedShare
	case entry.failures >= failures:
		return reasonFailures, d.options.MaxEjectedShare
	case d.slow(entry):
		return reasonSlow, d.options.MaxEjectedShare
	}
	return "", 0
}

// peerAnswers reports whether another endpoint of the group answered lately.
func (d *Detector) peerAnswers(entry *record, now time.Time) bool {
	return slices.ContainsFunc(d.groups[entry.peers], func(peer *record) bool {
		return peer != entry && !peer.answeredAt.IsZero() && now.Sub(peer.answeredAt) < answeredWindow
	})
}

// slow compares an endpoint with the median of its peers.
func (d *Detector) slow(entry *record) bool {
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

// mayEject reports whether one more endpoint of the group may be out, at most
// that share of it. The last endpoint is never ejected.
func (d *Detector) mayEject(entry *record, share float64, now time.Time) bool {
	peers := d.groups[entry.peers]
	out := 0
	for _, peer := range peers {
		if peer.ejected(now) {
			out++
		}
	}
	most := max(int(share*float64(len(peers))), 1)
	return out < min(most, len(peers)-1)
}
