package cacheview

import (
	"maps"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// shardCount is the number of parts that are copied separately.
const shardCount = 256

type shard map[uint64][]types.EndpointID

// Index is an immutable view, safe for concurrent use.
type Index struct {
	shards [shardCount]shard
}

var _ snapshot.PrefixIndex = (*Index)(nil)

// Holders lists the endpoints that hold the prefix, sorted by ID.
func (i *Index) Holders(prefix uint64) []types.EndpointID {
	return i.shards[prefix%shardCount][prefix]
}

// builder is the changing form of an index. A shard that was published is
// copied before it is changed; lists of holders are never changed in place.
type builder struct {
	shards [shardCount]shard
	shared [shardCount]bool
}

func (b *builder) publish() *Index {
	index := &Index{shards: b.shards}
	for i := range b.shared {
		b.shared[i] = true
	}
	return index
}

// writable returns the prefix's shard, copied if it was published.
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

// add notes a holder; it reports false when the prefix has enough of them.
func (b *builder) add(prefix uint64, id types.EndpointID, limit int) bool {
	holders := b.shards[prefix%shardCount][prefix]
	at, found := slices.BinarySearch(holders, id)
	if found {
		return true
	}
	if len(holders) >= limit {
		return false
	}
	b.writable(prefix)[prefix] = slices.Insert(slices.Clone(holders), at, id)
	return true
}

func (b *builder) remove(prefix uint64, id types.EndpointID) {
	holders := b.shards[prefix%shardCount][prefix]
	at, found := slices.BinarySearch(holders, id)
	if !found {
		return
	}
	if len(holders) == 1 {
		delete(b.writable(prefix), prefix)
		return
	}
	b.writable(prefix)[prefix] = slices.Delete(slices.Clone(holders), at, at+1)
}
