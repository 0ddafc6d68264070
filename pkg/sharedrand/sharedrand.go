// Package sharedrand provides the random source of a running daemon.
package sharedrand

import (
	"math/rand/v2"

	"github.com/flamingomount/flamingomount/pkg/route"
)

// Source returns numbers from the top-level generator of math/rand/v2. It is safe
// for concurrent use.
type Source struct{}

var _ route.Rand = Source{}

// Uint64 implements route.Rand.
func (Source) Uint64() uint64 {
	return rand.Uint64()
}
