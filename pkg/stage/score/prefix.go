package score

import (
	"slices"
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
	var room [maxHolders]holder
	for _, h := range holders(in, eps, room[:0]) {
		costs[h.index] -= p.options.PerBlock.Seconds() * float64(h.blocks)
	}
}

// Nominate appends the holders.
func (p *Prefix) Nominate(in *route.Input, eps []*snapshot.Endpoint, nominated []int) []int {
	if in.Snapshot.Prefixes == nil {
		return nominated
	}
	var room [maxHolders]holder
	for _, h := range holders(in, eps, room[:0]) {
		nominated = append(nominated, h.index)
	}
	return nominated
}

// holder is a candidate that holds a prefix of the prompt.
type holder struct {
	index  int
	blocks int
}

// holders appends the candidates with the longest cached prefixes, each once.
func holders(in *route.Input, eps []*snapshot.Endpoint, found []holder) []holder {
	for blocks := len(in.Request.Prefix); blocks > 0; blocks-- {
		for _, id := range in.Snapshot.Prefixes.Holders(in.Request.Prefix[blocks-1]) {
			i, known := find(eps, id)
			if !known || slices.ContainsFunc(found, func(h holder) bool { return h.index == i }) {
				continue
			}
			found = append(found, holder{index: i, blocks: blocks})
			if len(found) == maxHolders {
				return found
			}
		}
	}
	return found
}
