package score

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// ShardOptions configures the shards scorer.
type ShardOptions struct {
	// OutsidePenalty is the cost added to endpoints outside the request's
	// shard. Default 100 ms.
	OutsidePenalty time.Duration
	// FillLimit is the share of an endpoint's slots that one shard may use
	// before the organisation's shards are split. Default 0.5.
	FillLimit float64
}

const (
	defaultOutsidePenalty = 100 * time.Millisecond
	defaultFillLimit      = 0.5
	// keyBlockIndex is the index of the prompt block whose prefix hash is the
	// affinity key within an organisation. Shorter prompts use their last
	// block.
	keyBlockIndex = 3
)

// Shards provides cache affinity. It maps a request in two steps: its affinity
// key to one of the organisation's virtual shards, and the shard to endpoints by
// rendezvous hashing. The number of shards starts at one and doubles as the
// organisation's load grows, so that a small organisation uses few prefix caches
// and a large one spreads over many endpoints.
type Shards struct {
	options ShardOptions
}

var _ Scorer = (*Shards)(nil)

// NewShards returns the scorer; options that are zero take their defaults.
func NewShards(o ShardOptions) *Shards {
	setDefault(&o.OutsidePenalty, defaultOutsidePenalty)
	if o.FillLimit <= 0 {
		o.FillLimit = defaultFillLimit
	}
	return &Shards{options: o}
}

// Name returns "shards".
func (s *Shards) Name() string {
	return "shards"
}

// Add adds the outside penalty to all endpoints but the shard's two.
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

// Nominate appends the shard's endpoints.
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

// shard returns the key of the request's virtual shard.
func (s *Shards) shard(in *route.Input, slots int) uint64 {
	org := xxhash.Sum64String(string(in.Request.Org.Name))
	return mix(org + AffinityKey(in.Request.Prefix)%s.shardCount(in, slots))
}

// maxShards limits the number of shards of one organisation.
const maxShards = 1024

// shardCount returns the number of the organisation's shards, a power of two.
func (s *Shards) shardCount(in *route.Input, slots int) uint64 {
	load := float64(in.Request.OrgRunning * daemonsInRegion(in.Snapshot))
	wanted := min(load/(float64(max(slots, 1))*s.options.FillLimit), maxShards)
	count := uint64(1)
	for float64(count) < wanted {
		count *= 2
	}
	return count
}

// AffinityKey returns the key that selects a prompt's shard within its
// organisation. The prefix must not be empty.
func AffinityKey(prefix []uint64) uint64 {
	return mix(prefix[min(len(prefix)-1, keyBlockIndex)])
}

// rendezvous returns the indexes of the two endpoints with the highest hashes of
// endpoint and key. The second is -1 when there is only one endpoint.
func rendezvous(eps []*snapshot.Endpoint, key uint64) (first, second int) {
	first, second = -1, -1
	var best, runnerUp uint64
	for i, ep := range eps {
		hash := mix(endpointHash(ep) ^ key)
		switch {
		case first < 0 || hash > best:
			second, runnerUp = first, best
			first, best = i, hash
		case second < 0 || hash > runnerUp:
			second, runnerUp = i, hash
		}
	}
	return first, second
}

// Rendezvous returns the index of the endpoint with the highest hash of endpoint
// and key among those that are eligible, or -1 when none is.
func Rendezvous(eps []*snapshot.Endpoint, key uint64, eligible func(ep *snapshot.Endpoint) bool) int {
	chosen := -1
	var best uint64
	for i, ep := range eps {
		hash := mix(endpointHash(ep) ^ key)
		if (chosen < 0 || hash > best) && eligible(ep) {
			chosen, best = i, hash
		}
	}
	return chosen
}

// HashEndpoint returns the value of snapshot.Endpoint.Hash for an ID.
func HashEndpoint(id types.EndpointID) uint64 {
	return xxhash.Sum64String(string(id))
}

func endpointHash(ep *snapshot.Endpoint) uint64 {
	if ep.Hash != 0 {
		return ep.Hash
	}
	return HashEndpoint(ep.ID)
}

// mix distributes the bits of a hash evenly (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
