package quarantine

import "github.com/flamingomount/flamingomount/pkg/request"

// completedCapacity limits the contents remembered as harmless.
const completedCapacity = 8192

// completedSet is a bounded set of contents that ran to completion. When it is
// full, the content that was added first is evicted.
type completedSet struct {
	members map[request.Fingerprint]bool
	ring    [completedCapacity]request.Fingerprint
	next    int
}

func newCompletedSet() *completedSet {
	return &completedSet{members: make(map[request.Fingerprint]bool)}
}

func (c *completedSet) contains(fingerprint request.Fingerprint) bool {
	return c.members[fingerprint]
}

func (c *completedSet) add(fingerprint request.Fingerprint) {
	if c.members[fingerprint] {
		return
	}
	delete(c.members, c.ring[c.next])
	c.ring[c.next] = fingerprint
	c.next = (c.next + 1) % completedCapacity
	c.members[fingerprint] = true
}

func (c *completedSet) remove(fingerprint request.Fingerprint) {
	delete(c.members, fingerprint)
}
