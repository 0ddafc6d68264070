package retry

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// resendWindow is how long the same content counts as a resend after a
	// failure.
	resendWindow = 30 * time.Second
	// resendCapacity bounds the failed requests that are remembered.
	resendCapacity = 4096
)

// resends remembers the requests that failed lately, the newest ones when there
// are too many.
type resends struct {
	mu    sync.Mutex
	until map[resendKey]time.Time
	ring  [resendCapacity]resendKey
	next  int
}

type resendKey struct {
	org         types.OrgName
	fingerprint request.Fingerprint
}

func newResends() *resends {
	return &resends{until: make(map[resendKey]time.Time)}
}

func keyOf(req *request.Request) resendKey {
	key := resendKey{fingerprint: req.Fingerprint}
	if req.Org != nil {
		key.org = req.Org.Name
	}
	return key
}

// contains reports whether the caller marked the request as its retry or the
// same organisation's content failed within the window.
func (r *resends) contains(req *request.Request, now time.Time) bool {
	if values := req.Header[types.HeaderRetryCount]; len(values) > 0 && values[0] != "0" {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[keyOf(req)]
	return ok && now.Before(until)
}

func (r *resends) add(req *request.Request, now time.Time) {
	if req.Fingerprint == (request.Fingerprint{}) {
		return
	}
	key := keyOf(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.until[key]; !known {
		delete(r.until, r.ring[r.next])
		r.ring[r.next] = key
		r.next = (r.next + 1) % resendCapacity
	}
	r.until[key] = now.Add(resendWindow)
}
