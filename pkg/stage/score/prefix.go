package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// PrefixOptions sets the prefix scorer.
type PrefixOptions struct {
	// PerBlock is the prefill time that one cached block of the prompt saves.
	// Default 25 ms.
	PerBlock time.Duration
}

const (
	defaultPerBlock = 25 * time.Millisecond
	// maxHolders bounds the holders that one decision considers.
	maxHolders = 16
)

// Prefix credits endpoints with the prefill time that the longest prefix in
// their cache saves, as the cache events tell.
type Prefix struct {
	options PrefixOptions
}

var _ Scorer = (*Prefix)(nil)

// NewPrefix builds the scorer; zero options take their defaults.
func NewPrefix(o PrefixOptions) *Prefix {
	setDefault(&o.PerBlock, defaultPerBlock)
	return &Prefix{options: o}
}

// Name returns "prefix".
func (p *Prefix) Name() string {
	return "prefix"
}

// Add subtracts the time saved, longest prefixes first.
func (p *Prefix) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	if in.Snapshot.Prefixes == nil {
		return
	}
	var credited [maxHolders]int
	count := 0
	for blocks := len(in.Request.Prefix); blocks > 0; blocks-- {
		saved := p.options.PerBlock.Seconds() * float64(blocks)
		for _, id := range in.Snapshot.Prefixes.Holders(in.Request.Prefix[blocks-1]) {
			i, found := find(eps, id)
			if !found || contains(credited[:count], i) {
				continue
			}
			costs[i] -= saved
			credited[count] = i
			count++
			if count == maxHolders {
				return
			}
		}
	}
}

func contains(list []int, wanted int) bool {
	for _, value := range list {
		if value == wanted {
			return true
		}
	}
	return false
}
