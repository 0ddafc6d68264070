package retry

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// resendWindow is how long after a failure the same content counts as a
	// resend.
	resendWindow = 30 * time.Second
	// resendCapacity is the maximum number of failed requests remembered.
	resendCapacity = 4096
)

// resendDetector remembers recently failed requests. When it is full, a new
// entry evicts the one added first.
type resendDetector struct {
	mu        sync.Mutex
	expiresAt map[resendKey]time.Time
	ring      [resendCapacity]resendKey
	next      int
}

type resendKey struct {
	org         types.OrgName
	fingerprint request.Fingerprint
}

func newResendDetector() *resendDetector {
	return &resendDetector{expiresAt: make(map[resendKey]time.Time)}
}

func keyOf(req *request.Request) resendKey {
	key := resendKey{fingerprint: req.Fingerprint}
	if req.Org != nil {
		key.org = req.Org.Name
	}
	return key
}

// isResend reports whether the client marked the request as a retry, or a
// request with the same content from the same organisation failed within
// resendWindow.
func (r *resendDetector) isResend(req *request.Request, now time.Time) bool {
	if values := req.Header[types.HeaderRetryCount]; len(values) > 0 && values[0] != "0" {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expiresAt, ok := r.expiresAt[keyOf(req)]
	return ok && now.Before(expiresAt)
}

func (r *resendDetector) recordFailure(req *request.Request, now time.Time) {
	if req.Fingerprint == (request.Fingerprint{}) {
		return
	}
	key := keyOf(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.expiresAt[key]; !exists {
		delete(r.expiresAt, r.ring[r.next])
		r.ring[r.next] = key
		r.next = (r.next + 1) % resendCapacity
	}
	r.expiresAt[key] = now.Add(resendWindow)
}
