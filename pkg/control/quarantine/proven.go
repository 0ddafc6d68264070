package quarantine

import "github.com/flamingomount/flamingomount/pkg/request"

// completedCapacity limits the contents remembered as harmless.
const completedCapacity = 8192

// completedSet is a bounded set of contents that ran to completion. When it is
// full, the content that was added first is evicted.
type completedSet struct {
	// members maps each content to its index in ring. The ring may also hold
	// contents that were removed since.
	members map[request.Fingerprint]int
	ring    [completedCapacity]request.Fingerprint
	next    int
}

func newCompletedSet() *completedSet {
	return &completedSet{members: make(map[request.Fingerprint]int)}
}

func (c *completedSet) contains(fingerprint request.Fingerprint) bool {
	_, found := c.members[fingerprint]
	return found
}

func (c *completedSet) add(fingerprint request.Fingerprint) {
	if c.contains(fingerprint) {
		return
	}
	if index, found := c.members[c.ring[c.next]]; found && index == c.next {
		delete(c.members, c.ring[c.next])
	}
	c.ring[c.next] = fingerprint
	c.members[fingerprint] = c.next
	c.next = (c.next + 1) % completedCapacity
}

func (c *completedSet) remove(fingerprint request.Fingerprint) {
	delete(c.members, fingerprint)
}
