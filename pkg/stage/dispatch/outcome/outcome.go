// Package outcome derives the verdict on one attempt at an endpoint: whether
// the request may have run there. It is the only place that turns the progress
// of an attempt into a verdict.
package outcome

import "github.com/flamingomount/flamingomount/pkg/types"

// Progress is how far an attempt got.
type Progress uint8

// The stages of an attempt, in order.
const (
	// NotConnected: no connection to the endpoint was obtained.
	NotConnected Progress = iota
	// Connected: a connection was obtained, so bytes may have been written.
	Connected
	// HeadersReceived: the response headers arrived.
	HeadersReceived
	// ResponseComplete: the response arrived completely.
	ResponseComplete
)

// HTTP status codes, redefined here so that this package needs no network
// package.
const (
	statusTooManyRequests    = 429
	statusInternalError      = 500
	statusServiceUnavailable = 503
)

// Evidence is everything that the verdict on one attempt depends on.
type Evidence struct {
	Progress Progress
	// Status is the HTTP status; zero until the response headers arrive.
	Status int
	// Echoed is true when the response carried the attempt's own ID. A
	// response without it may belong to another request and proves nothing.
	Echoed bool
	// Leaving is true when the response said that the endpoint is draining.
	Leaving bool
	// RefusalMeansNotRun is the service's published guarantee that a request
	// refused with status 503 did not run.
	RefusalMeansNotRun bool
	// Peer is true when another daemon answered; PeerVerdict is then the
	// verdict that it stated, if PeerStated is true.
	Peer        bool
	PeerStated  bool
	PeerVerdict types.Verdict
}

// Judge returns the verdict on one attempt.
func Judge(e Evidence) types.Verdict {
	if e.Progress == NotConnected {
		return types.NotRun
	}
	if e.Progress < HeadersReceived || !e.Echoed {
		return types.MayHaveRun
	}
	if e.Peer {
		return judgePeer(e)
	}
	if e.Status == statusServiceUnavailable && (e.Leaving || e.RefusalMeansNotRun) {
		return types.NotRun
	}
	if e.Progress == ResponseComplete && !IsEndpointFailure(e.Status) {
		return types.Ran
	}
	return types.MayHaveRun
}

// judgePeer trusts a daemon that reports NotRun. A daemon's Ran counts only
// once its complete response arrived.
func judgePeer(e Evidence) types.Verdict {
	switch {
	case !e.PeerStated:
		if e.Progress == ResponseComplete && !IsEndpointFailure(e.Status) {
			return types.Ran
		}
		return types.MayHaveRun
	case e.PeerVerdict == types.Ran && e.Progress != ResponseComplete:
		return types.MayHaveRun
	default:
		return e.PeerVerdict
	}
}

// IsEndpointFailure reports whether the status means that the endpoint, and not
// the request, is at fault.
func IsEndpointFailure(status int) bool {
	return status == statusTooManyRequests || status >= statusInternalError
}

// MayRepeat reports whether a request may be sent again when the merged verdict
// of its attempts is history. A non-repeatable request is sent again only when
// it certainly did not run.
func MayRepeat(repeatable bool, history types.Verdict) bool {
	return history == types.NotRun || (repeatable && history == types.MayHaveRun)
}
