package fakeworld

import (
	"container/list"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
)

// prefixCache is an engine's cache of prompt prefixes, least recently used
// first out.
type prefixCache struct {
	capacity int
	order    list.List
	blocks   map[uint64]*list.Element
	emit     func(kind cacheview.Kind, prefix uint64)
}

func newPrefixCache(capacity int, emit func(cacheview.Kind, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, emit: emit}
}

// use returns how many blocks of the prompt were cached, and caches all. The
// shortest prefixes become the most recent, so that they leave last.
func (p *prefixCache) use(prefixes []uint64) (hits int) {
	for hits < len(prefixes) && p.blocks[prefixes[hits]] != nil {
		hits++
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		p.touch(prefixes[i])
	}
	return hits
}

func (p *prefixCache) touch(prefix uint64) {
	if element := p.blocks[prefix]; element != nil {
		p.order.MoveToBack(element)
		return
	}
	p.blocks[prefix] = p.order.PushBack(prefix)
	p.emit(cacheview.Stored, prefix)
	if p.order.Len() > p.capacity {
		oldest := p.order.Remove(p.order.Front()).(uint64)
		delete(p.blocks, oldest)
		p.emit(cacheview.Evicted, oldest)
	}
}

func (p *prefixCache) clear() {
	p.order.Init()
	clear(p.blocks)
}

func (p *prefixCache) used() float64 {
	return float64(p.order.Len()) / float64(max(p.capacity, 1))
}
