package admission

import "container/heap"

// flowHeap is a binary heap of flows under one order. Each flow stores its heap
// index in flow.pos at the position pos, so that it can be moved or removed.
type flowHeap struct {
	flows []*flow
	less  func(a, b *flow) bool
	pos   int
}

var _ heap.Interface = (*flowHeap)(nil)

// The orders of the flow heaps; each is an index of flow.pos.
const (
	orderStart = iota
	orderLength
	orderIdle
	orderCount
)

const notInHeap = -1

func newFlowHeap(pos int, less func(a, b *flow) bool) *flowHeap {
	return &flowHeap{less: less, pos: pos}
}

// Len returns the number of flows.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less reports whether flow i comes before flow j.
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

// Swap exchanges two flows.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].pos[h.pos] = i
	h.flows[j].pos[h.pos] = j
}

// Push appends a flow. It implements heap.Interface; call put instead.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.pos[h.pos] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop removes the last flow. It implements heap.Interface; call remove instead.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.pos[h.pos] = notInHeap
	return f
}

// put adds the flow, or moves it to its place after its key changed.
func (h *flowHeap) put(f *flow) {
	if f.pos[h.pos] == notInHeap {
		heap.Push(h, f)
		return
	}
	heap.Fix(h, f.pos[h.pos])
}

// remove removes the flow if it is in the heap.
func (h *flowHeap) remove(f *flow) {
	if f.pos[h.pos] != notInHeap {
		heap.Remove(h, f.pos[h.pos])
	}
}

// first returns the first flow, or nil.
func (h *flowHeap) first() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}
