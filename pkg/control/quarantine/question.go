package quarantine

import "time"

// OwnerRequest is a request or report from a daemon to the owner of a content or of
// an endpoint; exactly one field is set.
type OwnerRequest struct {
	// Acquire asks the content's owner whether the content may run.
	Acquire *Claim `json:"acquire,omitempty"`
	// Reserve asks the endpoint's owner whether a suspect may run on the
	// endpoint.
	Reserve *Claim `json:"reserve,omitempty"`
	// Release releases a claim.
	Release *Release `json:"release,omitempty"`
	// Unreserve ends a reservation, regardless of how the attempt ended.
	Unreserve *Claim `json:"unreserve,omitempty"`
	// Crash reports a crash of an endpoint.
	Crash *CrashReport `json:"crash,omitempty"`
}

// Handle processes a request to an owner. Requests other than Acquire and Reserve
// always get AnswerRun.
func (t *Tracker) Handle(req OwnerRequest, now time.Time) Answer {
	switch {
	case req.Acquire != nil:
		return t.Acquire(*req.Acquire, now)
	case req.Reserve != nil:
		return t.Reserve(*req.Reserve, now)
	case req.Release != nil:
		t.Release(*req.Release, now)
	case req.Unreserve != nil:
		t.Unreserve(req.Unreserve.Endpoint, req.Unreserve.Content)
	case req.Crash != nil:
		t.RecordCrash(*req.Crash, now)
	}
	return Answer{Kind: AnswerRun}
}

// SetPolicy sets Options.CrashThreshold and Options.QuarantineTime from the
// published policy; a value that is not positive leaves the current one.
func (t *Tracker) SetPolicy(crashThreshold int, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crashThreshold > 0 {
		t.options.CrashThreshold = crashThreshold
	}
	if duration > 0 {
		t.options.QuarantineTime = duration
	}
}
