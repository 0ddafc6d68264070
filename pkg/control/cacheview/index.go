package cacheview

import (
	"maps"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// shardCount is the number of shards of an Index. Each is copied on write
// separately.
const shardCount = 256

// shard maps prefixes to the endpoints that hold them, sorted by ID.
type shard map[uint64][]types.EndpointID

// Index maps prefixes to the endpoints that hold them. It is immutable and safe
// for concurrent use.
type Index struct {
	shards [shardCount]shard
}

var _ snapshot.PrefixIndex = (*Index)(nil)

// Holders returns the endpoints that hold the prefix, sorted by ID.
func (i *Index) Holders(prefix uint64) []types.EndpointID {
	return i.shards[prefix%shardCount][prefix]
}

// builder is the mutable form of an Index. It copies a published shard before it
// changes it, and never changes a list of holders in place.
type builder struct {
	shards [shardCount]shard
	// shared is true for the shards that a published Index also uses.
	shared [shardCount]bool
}

func (b *builder) publish() *Index {
	index := &Index{shards: b.shards}
	for i := range b.shared {
		b.shared[i] = true
	}
	return index
}

// writable returns the shard of the prefix, for writing. It first copies a shard
// that a published Index uses.
func (b *builder) writable(prefix uint64) shard {
	i := prefix % shardCount
	if b.shards[i] == nil {
		b.shards[i] = shard{}
	} else if b.shared[i] {
		b.shards[i] = maps.Clone(b.shards[i])
	}
	b.shared[i] = false
	return b.shards[i]
}

// add adds the endpoint to the holders of the prefix. It returns false if the
// endpoint is not among them and the prefix already has limit holders.
func (b *builder) add(prefix uint64, id types.EndpointID, limit int) bool {
	holders := b.shards[prefix%shardCount][prefix]
	pos, found := slices.BinarySearch(holders, id)
	if found {
		return true
	}
	if len(holders) >= limit {
		return false
	}
	b.writable(prefix)[prefix] = slices.Insert(slices.Clone(holders), pos, id)
	return true
}

func (b *builder) remove(prefix uint64, id types.EndpointID) {
	holders := b.shards[prefix%shardCount][prefix]
	pos, found := slices.BinarySearch(holders, id)
	if !found {
		return
	}
	if len(holders) == 1 {
		delete(b.writable(prefix), prefix)
		return
	}
	b.writable(prefix)[prefix] = slices.Delete(slices.Clone(holders), pos, pos+1)
}
