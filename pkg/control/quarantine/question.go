package quarantine

import "time"

// OwnerRequest is what one daemon asks or tells the owner of a content or of an
// endpoint; exactly one field is set.
type OwnerRequest struct {
	// Acquire asks the content's owner whether it may run.
	Acquire *Claim `json:"acquire,omitempty"`
	// Reserve asks the endpoint's owner whether it may run a suspect.
	Reserve *Claim `json:"reserve,omitempty"`
	// Release gives a claim back.
	Release *Release `json:"release,omitempty"`
	// Unreserve ends a reservation, however the attempt ended.
	Unreserve *Claim `json:"unreserve,omitempty"`
	// Crash reports a crash of an endpoint.
	Crash *CrashReport `json:"crash,omitempty"`
}

// Handle answers a question. What only tells is answered with AnswerRun.
func (t *Tracker) Handle(question OwnerRequest, now time.Time) Answer {
	switch {
	case question.Acquire != nil:
		return t.Acquire(*question.Acquire, now)
	case question.Reserve != nil:
		return t.Reserve(*question.Reserve, now)
	case question.Release != nil:
		t.Release(*question.Release, now)
	case question.Unreserve != nil:
		t.Unreserve(question.Unreserve.Endpoint, question.Unreserve.Content)
	case question.Crash != nil:
		t.RecordCrash(*question.Crash, now)
	}
	return Answer{Kind: AnswerRun}
}

// SetPolicy replaces the published limits; a value that is not positive leaves
// the one before.
func (t *Tracker) SetPolicy(after int, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after > 0 {
		t.options.CrashThreshold = after
	}
	if length > 0 {
		t.options.QuarantineTime = length
	}
}
