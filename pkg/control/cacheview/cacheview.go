// Package cacheview keeps a bounded view of which endpoints hold which prompt
// prefixes in their prefix caches. It builds the view from cache events, which
// arrive late and with gaps. The control goroutine owns a View and publishes
// immutable Indexes of it.
package cacheview

import (
	"container/list"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind is the kind of a cache event.
type Kind string

// The kinds of cache event: an endpoint stored or evicted a prefix.
const (
	Stored  Kind = "stored"
	Evicted Kind = "evicted"
)

// Event is one prefix cache event of an endpoint.
type Event struct {
	Seq    uint64 `json:"seq"`
	Kind   Kind   `json:"kind"`
	Prefix uint64 `json:"prefix"`
}

// Batch is an endpoint's response to a request for its cache events.
type Batch struct {
	Events []Event `json:"events"`
	// Next is the sequence number that follows the endpoint's newest event.
	Next uint64 `json:"next"`
}

// Options limits the size of a View. A field that is zero or negative takes its
// default.
type Options struct {
	// MaxEntries is the maximum number of pairs of endpoint and prefix. Default
	// 200,000.
	MaxEntries int
	// MaxHolders is the maximum number of endpoints kept for one prefix. Default
	// 32.
	MaxHolders int
}

const (
	defaultMaxEntries = 200_000
	defaultMaxHolders = 32
)

// entry is one prefix held by one endpoint. viewElement and endpointElement are
// its elements in the byAge lists of the View and of the endpoint.
type entry struct {
	endpoint        types.EndpointID
	prefix          uint64
	viewElement     *list.Element
	endpointElement *list.Element
}

// endpointView holds the prefixes of one endpoint.
type endpointView struct {
	// next is the sequence number of the next expected event. nextKnown is false
	// until the first batch is applied.
	next      uint64
	nextKnown bool
	// entries holds the entries by prefix.
	entries map[uint64]*entry
	// byAge lists the entries, least recently stored first.
	byAge list.List
}

// View records which endpoints hold which prefixes. It is not safe for
// concurrent use; the control goroutine owns it.
type View struct {
	options   Options
	endpoints map[types.EndpointID]*endpointView
	// byAge lists the entries of all endpoints, least recently stored first.
	byAge list.List
	index builder
}

// New returns an empty View.
func New(o Options) *View {
	if o.MaxEntries <= 0 {
		o.MaxEntries = defaultMaxEntries
	}
	if o.MaxHolders <= 0 {
		o.MaxHolders = defaultMaxHolders
	}
	return &View{options: o, endpoints: map[types.EndpointID]*endpointView{}}
}

// Len returns the number of pairs of endpoint and prefix held.
func (v *View) Len() int {
	return v.byAge.Len()
}

// Apply updates the view with a batch of an endpoint's events. It skips events
// that were already applied. For each event lost in a gap of the sequence numbers
// it drops the endpoint's oldest prefix, since the lost event may have been an
// eviction. If batch.Next is lower than the expected sequence number, the engine
// has restarted with an empty cache, and Apply first drops all its prefixes.
func (v *View) Apply(id types.EndpointID, batch Batch) {
	ep := v.endpoint(id)
	if ep.nextKnown && batch.Next < ep.next {
		v.Forget(id)
		ep = v.endpoint(id)
	}
	for _, event := range batch.Events {
		if ep.nextKnown && event.Seq < ep.next {
			continue
		}
		v.dropForGap(ep, event.Seq)
		ep.next = event.Seq + 1
		v.applyEvent(id, ep, event)
	}
	v.dropForGap(ep, batch.Next)
	ep.next = max(ep.next, batch.Next)
}

// endpoint returns the endpoint's view and creates it if there is none.
func (v *View) endpoint(id types.EndpointID) *endpointView {
	ep := v.endpoints[id]
	if ep == nil {
		ep = &endpointView{entries: map[uint64]*entry{}}
		v.endpoints[id] = ep
	}
	return ep
}

// dropForGap drops the endpoint's oldest prefixes, one for each sequence number
// from the expected one up to but not including seq. Before the first batch there
// is no expected number, so it drops nothing.
func (v *View) dropForGap(ep *endpointView, seq uint64) {
	if !ep.nextKnown {
		ep.nextKnown = true
		return
	}
	for missing := seq; missing > ep.next && ep.byAge.Len() > 0; missing-- {
		v.drop(ep.byAge.Front().Value.(*entry))
	}
}

func (v *View) applyEvent(id types.EndpointID, ep *endpointView, event Event) {
	switch event.Kind {
	case Stored:
		v.store(id, ep, event.Prefix)
	case Evicted:
		if e := ep.entries[event.Prefix]; e != nil {
			v.drop(e)
		}
	}
}

// AssumeStored records that the endpoint holds these prefixes because it has just run a
// request with them. Its cache events report this only later.
func (v *View) AssumeStored(id types.EndpointID, prefixes []uint64) {
	ep := v.endpoint(id)
	for _, prefix := range prefixes {
		v.store(id, ep, prefix)
	}
}

// Forget drops an endpoint that is gone or has restarted, with all its prefixes.
func (v *View) Forget(id types.EndpointID) {
	ep := v.endpoints[id]
	if ep == nil {
		return
	}
	for ep.byAge.Len() > 0 {
		v.drop(ep.byAge.Front().Value.(*entry))
	}
	delete(v.endpoints, id)
}

// Retain drops the endpoints for which keep returns false. It reports whether it
// dropped any.
func (v *View) Retain(keep func(types.EndpointID) bool) bool {
	removed := false
	for id := range v.endpoints {
		if !keep(id) {
			v.Forget(id)
			removed = true
		}
	}
	return removed
}

// store adds a prefix of an endpoint or makes it the most recently stored. It
// ignores a new prefix that already has MaxHolders endpoints. Above MaxEntries it
// drops the oldest entry of the whole view.
func (v *View) store(id types.EndpointID, ep *endpointView, prefix uint64) {
	if e := ep.entries[prefix]; e != nil {
		v.byAge.MoveToBack(e.viewElement)
		ep.byAge.MoveToBack(e.endpointElement)
		return
	}
	if !v.index.add(prefix, id, v.options.MaxHolders) {
		return
	}
	e := &entry{endpoint: id, prefix: prefix}
	e.viewElement = v.byAge.PushBack(e)
	e.endpointElement = ep.byAge.PushBack(e)
	ep.entries[prefix] = e
	if v.byAge.Len() > v.options.MaxEntries {
		v.drop(v.byAge.Front().Value.(*entry))
	}
}

func (v *View) drop(e *entry) {
	ep := v.endpoints[e.endpoint]
	v.byAge.Remove(e.viewElement)
	ep.byAge.Remove(e.endpointElement)
	delete(ep.entries, e.prefix)
	v.index.remove(e.prefix, e.endpoint)
}

// Publish returns an Index of the current view. The Index shares the shards that
// did not change since the last call with the previous Index.
func (v *View) Publish() *Index {
	return v.index.publish()
}
