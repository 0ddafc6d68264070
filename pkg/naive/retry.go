package naive

import (
	"sync"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// MaxRetries is how often a failed request is sent again, whatever failed.
const MaxRetries = 3

// Retry reports whether to send a request again after that many attempts.
func Retry(attempts int, _ *types.Failure) bool {
	return attempts <= MaxRetries
}

// OnceKeys remembers the keys that one daemon has seen. Another daemon, or this
// one after a restart, does not know them.
type OnceKeys struct {
	mu   sync.Mutex
	keys map[string]struct{}
}

// First reports whether the daemon sees the key for the first time.
func (o *OnceKeys) First(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, seen := o.keys[key]; seen {
		return false
	}
	if o.keys == nil {
		o.keys = map[string]struct{}{}
	}
	o.keys[key] = struct{}{}
	return true
}
