// Package sharedrand is the random source of a running daemon.
package sharedrand

import (
	"math/rand/v2"

	"github.com/flamingomount/flamingomount/pkg/route"
)

// Source draws from the runtime's random source, which goroutines may share.
type Source struct{}

var _ route.Rand = Source{}

// Uint64 implements route.Rand.
func (Source) Uint64() uint64 {
	return rand.Uint64()
}
