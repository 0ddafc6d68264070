package naive

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/stage/admission"
)

// Admitter starts every request at once.
type Admitter struct{}

var _ admission.Admitter = Admitter{}

// Offer starts the request.
func (Admitter) Offer(o admission.Offer, _ time.Time) []admission.Decision {
	return []admission.Decision{{ID: o.ID, Outcome: admission.Started}}
}

// Done does nothing.
func (Admitter) Done(admission.Completion, time.Time) []admission.Decision { return nil }

// Cancel does nothing.
func (Admitter) Cancel(admission.ID, time.Time) []admission.Decision { return nil }

// SetCapacity does nothing.
func (Admitter) SetCapacity(int, time.Time) []admission.Decision { return nil }

// Tick does nothing.
func (Admitter) Tick(time.Time) []admission.Decision { return nil }
