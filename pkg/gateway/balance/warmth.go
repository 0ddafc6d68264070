package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of the memory of prefixes.
const (
	// maxPrefixes bounds the prefixes remembered.
	maxPrefixes = 2048
	// warmFor is how long a prefix is taken to stay cached after its last use.
	warmFor = 20 * time.Second
)

// warmth remembers which endpoints this daemon sent a prefix to.
type warmth struct {
	used map[uint64]map[types.EndpointID]time.Time
}

func newWarmth() warmth {
	return warmth{used: make(map[uint64]map[types.EndpointID]time.Time)}
}

func (w *warmth) note(prefix uint64, id types.EndpointID, now time.Time) {
	endpoints := w.used[prefix]
	if endpoints == nil {
		if len(w.used) >= maxPrefixes {
			w.forget(now)
		}
		endpoints = make(map[types.EndpointID]time.Time, 1)
		w.used[prefix] = endpoints
	}
	endpoints[id] = now
}

// holds reports whether the endpoint was sent the prefix of late. Entries that
// are too old are dropped when room is needed, so the answer may lag.
func (w *warmth) holds(prefix uint64, id types.EndpointID) bool {
	_, found := w.used[prefix][id]
	return found
}

// forget drops old prefixes, and all of them when none is old.
func (w *warmth) forget(now time.Time) {
	for prefix, endpoints := range w.used {
		for id, at := range endpoints {
			if now.Sub(at) > warmFor {
				delete(endpoints, id)
			}
		}
		if len(endpoints) == 0 {
			delete(w.used, prefix)
		}
	}
	if len(w.used) >= maxPrefixes {
		clear(w.used)
	}
}
