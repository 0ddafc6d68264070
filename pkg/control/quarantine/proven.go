package quarantine

import "github.com/flamingomount/flamingomount/pkg/request"

// completedCapacity limits the contents remembered as harmless.
const completedCapacity = 8192

// completedSet is a bounded set of the contents that most recently ran to
// completion; the oldest one is evicted first.
type completedSet struct {
	members map[request.Fingerprint]bool
	ring    [completedCapacity]request.Fingerprint
	next    int
}

func newCompletedSet() *completedSet {
	return &completedSet{members: make(map[request.Fingerprint]bool)}
}

func (p *completedSet) contains(fingerprint request.Fingerprint) bool {
	return p.members[fingerprint]
}

func (p *completedSet) add(fingerprint request.Fingerprint) {
	if p.members[fingerprint] {
		return
	}
	delete(p.members, p.ring[p.next])
	p.ring[p.next] = fingerprint
	p.next = (p.next + 1) % completedCapacity
	p.members[fingerprint] = true
}

func (p *completedSet) remove(fingerprint request.Fingerprint) {
	delete(p.members, fingerprint)
}
