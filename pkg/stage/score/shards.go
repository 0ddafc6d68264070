package score

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// ShardOptions sets the shards scorer.
type ShardOptions struct {
	// OutsidePenalty is the cost of an endpoint outside the request's shard.
	// Default 100 ms.
	OutsidePenalty time.Duration
	// FillLimit is the share of an endpoint's slots that one shard may use before
	// it is split. Default 0.5.
	FillLimit float64
}

const (
	defaultOutside = 100 * time.Millisecond
	defaultFill    = 0.5
	// keyBlock is the prompt block whose prefix hash is the key within an
	// organisation; shorter prompts use their last block.
	keyBlock = 3
)

// Shards maps a request in two steps: its key to one of the organisation's
// virtual shards, then the shard to an endpoint. An organisation has one shard
// while it is small; the number doubles as it grows, so that a small one stays
// on few caches and a large one spreads.
type Shards struct {
	options ShardOptions
}

var _ Scorer = (*Shards)(nil)

// NewShards builds the scorer; zero options take their defaults.
func NewShards(o ShardOptions) *Shards {
	setDefault(&o.OutsidePenalty, defaultOutside)
	if o.FillLimit <= 0 {
		o.FillLimit = defaultFill
	}
	return &Shards{options: o}
}

// Name returns "shards".
func (s *Shards) Name() string {
	return "shards"
}

// Add adds the cost of being outside to all but the shard's two endpoints.
func (s *Shards) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	if len(in.Request.Prefix) == 0 || in.Request.Org == nil {
		return
	}
	first, second := rendezvous(eps, s.shard(in, eps[0].Slots))
	outside := s.options.OutsidePenalty.Seconds()
	for i := range eps {
		if i != first && i != second {
			costs[i] += outside
		}
	}
}

// Nominate appends the endpoints of the shard.
func (s *Shards) Nominate(in *route.Input, eps []*snapshot.Endpoint, nominated []int) []int {
	if len(in.Request.Prefix) == 0 || in.Request.Org == nil {
		return nominated
	}
	first, second := rendezvous(eps, s.shard(in, eps[0].Slots))
	if second < 0 {
		return append(nominated, first)
	}
	return append(nominated, first, second)
}

// shard is the key of the request's virtual shard.
func (s *Shards) shard(in *route.Input, slots int) uint64 {
	org := xxhash.Sum64String(string(in.Request.Org.Name))
	return mix(org + AffinityKey(in.Request.Prefix)%s.shardCount(in, slots))
}

// maxShards bounds the shards of one organisation.
const maxShards = 1024

// shardCount is the number of the organisation's shards, a power of two.
func (s *Shards) shardCount(in *route.Input, slots int) uint64 {
	load := float64(in.Request.OrgRunning * entries(in.Snapshot))
	wanted := min(load/(float64(max(slots, 1))*s.options.FillLimit), maxShards)
	count := uint64(1)
	for float64(count) < wanted {
		count *= 2
	}
	return count
}

// AffinityKey is the key of a prompt within its organisation.
func AffinityKey(prefix []uint64) uint64 {
	return mix(prefix[min(len(prefix)-1, keyBlock)])
}

// rendezvous returns the indexes of the two endpoints with the highest hash of
// endpoint and key; the second is -1 when there is only one.
func rendezvous(eps []*snapshot.Endpoint, key uint64) (first, second int) {
	first, second = -1, -1
	var best, next uint64
	for i, ep := range eps {
		hash := mix(endpointHash(ep) ^ key)
		switch {
		case first < 0 || hash > best:
			second, next = first, best
			first, best = i, hash
		case second < 0 || hash > next:
			second, next = i, hash
		}
	}
	return first, second
}

// Rendezvous returns the index of the endpoint with the highest hash of endpoint
// and key among those that pass; -1 when none does.
func Rendezvous(eps []*snapshot.Endpoint, key uint64, pass func(ep *snapshot.Endpoint) bool) int {
	chosen := -1
	var best uint64
	for i, ep := range eps {
		hash := mix(endpointHash(ep) ^ key)
		if (chosen < 0 || hash > best) && pass(ep) {
			chosen, best = i, hash
		}
	}
	return chosen
}

// HashEndpoint is the value of snapshot.Endpoint.Hash for an ID.
func HashEndpoint(id types.EndpointID) uint64 {
	return xxhash.Sum64String(string(id))
}

func endpointHash(ep *snapshot.Endpoint) uint64 {
	if ep.Hash != 0 {
		return ep.Hash
	}
	return HashEndpoint(ep.ID)
}

// mix spreads the bits of a hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
