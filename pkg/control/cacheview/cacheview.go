// Package cacheview keeps a bounded view of which endpoints hold which prompt
// prefixes, from cache events that arrive late and with gaps. The control
// goroutine owns a View and publishes an immutable Index of it.
package cacheview

import (
	"container/list"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind is what happened to a prefix at an endpoint.
type Kind string

// The kinds of event.
const (
	Stored  Kind = "stored"
	Evicted Kind = "evicted"
)

// Event is one cache event of an endpoint.
type Event struct {
	Seq    uint64 `json:"seq"`
	Kind   Kind   `json:"kind"`
	Prefix uint64 `json:"prefix"`
}

// Batch is an endpoint's answer to a request for its events.
type Batch struct {
	Events []Event `json:"events"`
	// Next is the sequence number that follows the last known event.
	Next uint64 `json:"next"`
}

// Options bounds a view.
type Options struct {
	// MaxEntries bounds the pairs of endpoint and prefix. Default 200,000.
	MaxEntries int
	// MaxHolders bounds the endpoints kept for one prefix. Default 32.
	MaxHolders int
}

const (
	defaultMaxEntries = 200_000
	defaultMaxHolders = 32
)

// entry is one prefix at one endpoint; it is in the order of the whole view and
// in that of its endpoint, oldest first.
type entry struct {
	endpoint types.EndpointID
	prefix   uint64
	global   *list.Element
	local    *list.Element
}

type endpointView struct {
	// next is the expected sequence number; known is false before the first
	// batch.
	next    uint64
	known   bool
	entries map[uint64]*entry
	order   list.List
}

// View is the control goroutine's view. It is not safe for concurrent use.
type View struct {
	options   Options
	endpoints map[types.EndpointID]*endpointView
	order     list.List
	index     builder
}

// New builds an empty view.
func New(o Options) *View {
	if o.MaxEntries <= 0 {
		o.MaxEntries = defaultMaxEntries
	}
	if o.MaxHolders <= 0 {
		o.MaxHolders = defaultMaxHolders
	}
	return &View{options: o, endpoints: map[types.EndpointID]*endpointView{}}
}

// Next is the sequence number to ask the endpoint's events from.
func (v *View) Next(id types.EndpointID) uint64 {
	if ep := v.endpoints[id]; ep != nil {
		return ep.next
	}
	return 0
}

// Len is the number of pairs of endpoint and prefix held.
func (v *View) Len() int {
	return v.order.Len()
}

// Apply takes in a batch. Events already seen are skipped. For each event lost
// in a gap the endpoint's oldest prefix is forgotten, since it may have been
// evicted. Numbers that go backwards mean that the engine restarted with an
// empty cache.
func (v *View) Apply(id types.EndpointID, batch Batch) {
	ep := v.endpoint(id)
	if ep.known && batch.Next < ep.next {
		v.Forget(id)
		ep = v.endpoint(id)
	}
	for _, event := range batch.Events {
		if ep.known && event.Seq < ep.next {
			continue
		}
		v.gap(ep, event.Seq)
		ep.next = event.Seq + 1
		v.apply(id, ep, event)
	}
	v.gap(ep, batch.Next)
	ep.next = max(ep.next, batch.Next)
}

func (v *View) endpoint(id types.EndpointID) *endpointView {
	ep := v.endpoints[id]
	if ep == nil {
		ep = &endpointView{entries: map[uint64]*entry{}}
		v.endpoints[id] = ep
	}
	return ep
}

// gap forgets one prefix for each number between the expected one and seq.
func (v *View) gap(ep *endpointView, seq uint64) {
	if !ep.known {
		ep.known = true
		return
	}
	for missing := seq; missing > ep.next && ep.order.Len() > 0; missing-- {
		v.drop(ep.order.Front().Value.(*entry))
	}
}

func (v *View) apply(id types.EndpointID, ep *endpointView, event Event) {
	switch event.Kind {
	case Stored:
		v.store(id, ep, event.Prefix)
	case Evicted:
		if e := ep.entries[event.Prefix]; e != nil {
			v.drop(e)
		}
	}
}

// Assume notes that the endpoint has just run a request with these prefixes,
// before its events tell so.
func (v *View) Assume(id types.EndpointID, prefixes []uint64) {
	ep := v.endpoint(id)
	for _, prefix := range prefixes {
		v.store(id, ep, prefix)
	}
}

// Forget drops an endpoint that is gone or restarted.
func (v *View) Forget(id types.EndpointID) {
	ep := v.endpoints[id]
	if ep == nil {
		return
	}
	for ep.order.Len() > 0 {
		v.drop(ep.order.Front().Value.(*entry))
	}
	delete(v.endpoints, id)
}

// Retain forgets the endpoints that keep refuses; true when there were any.
func (v *View) Retain(keep func(types.EndpointID) bool) bool {
	forgot := false
	for id := range v.endpoints {
		if !keep(id) {
			v.Forget(id)
			forgot = true
		}
	}
	return forgot
}

func (v *View) store(id types.EndpointID, ep *endpointView, prefix uint64) {
	if e := ep.entries[prefix]; e != nil {
		v.order.MoveToBack(e.global)
		ep.order.MoveToBack(e.local)
		return
	}
	if !v.index.add(prefix, id, v.options.MaxHolders) {
		return
	}
	e := &entry{endpoint: id, prefix: prefix}
	e.global = v.order.PushBack(e)
	e.local = ep.order.PushBack(e)
	ep.entries[prefix] = e
	if v.order.Len() > v.options.MaxEntries {
		v.drop(v.order.Front().Value.(*entry))
	}
}

func (v *View) drop(e *entry) {
	ep := v.endpoints[e.endpoint]
	v.order.Remove(e.global)
	ep.order.Remove(e.local)
	delete(ep.entries, e.prefix)
	v.index.remove(e.prefix, e.endpoint)
}

// Publish returns the view as it is now. Parts that did not change since the
// last call are shared with the earlier index.
func (v *View) Publish() *Index {
	return v.index.publish()
}
