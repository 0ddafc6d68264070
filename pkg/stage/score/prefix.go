package score

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// PrefixOptions configures the prefix scorer.
type PrefixOptions struct {
	// PerBlock is the prefill time that one cached block of the prompt saves.
	// Default 25 ms.
	PerBlock time.Duration
}

const (
	defaultPerBlock = 25 * time.Millisecond
	// maxHolders limits the number of endpoints with a cached prefix that one
	// decision considers.
	maxHolders = 16
)

// Prefix subtracts the prefill time that an endpoint saves because its prefix
// cache holds the beginning of the prompt. It learns the caches' contents from
// the endpoints' cache events.
type Prefix struct {
	options PrefixOptions
}

var _ Scorer = (*Prefix)(nil)

// NewPrefix returns the scorer; options that are zero take their defaults.
func NewPrefix(o PrefixOptions) *Prefix {
	setDefault(&o.PerBlock, defaultPerBlock)
	return &Prefix{options: o}
}

// Name returns "prefix".
func (p *Prefix) Name() string {
	return "prefix"
}

// Add subtracts the prefill time saved from the holders' costs.
func (p *Prefix) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	if in.Snapshot.Prefixes == nil {
		return
	}
	var buffer [maxHolders]holder
	for _, h := range holders(in, eps, buffer[:0]) {
		costs[h.index] -= p.options.PerBlock.Seconds() * float64(h.blocks)
	}
}

// Nominate appends the endpoints that hold a prefix of the prompt.
func (p *Prefix) Nominate(in *route.Input, eps []*snapshot.Endpoint, nominated []int) []int {
	if in.Snapshot.Prefixes == nil {
		return nominated
	}
	var buffer [maxHolders]holder
	for _, h := range holders(in, eps, buffer[:0]) {
		nominated = append(nominated, h.index)
	}
	return nominated
}

// holder is a candidate whose prefix cache holds a prefix of the prompt.
type holder struct {
	index  int
	blocks int
}

// holders appends up to maxHolders candidates, in order of decreasing length of
// the prefix that they hold, each once.
func holders(in *route.Input, eps []*snapshot.Endpoint, found []holder) []holder {
	for blocks := len(in.Request.Prefix); blocks > 0; blocks-- {
		for _, id := range in.Snapshot.Prefixes.Holders(in.Request.Prefix[blocks-1]) {
			i, candidate := indexOf(eps, id)
			if !candidate || slices.ContainsFunc(found, func(h holder) bool { return h.index == i }) {
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
