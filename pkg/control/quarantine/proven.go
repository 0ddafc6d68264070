package quarantine

import "github.com/flamingomount/flamingomount/pkg/request"

// provenCapacity bounds the contents remembered as harmless.
const provenCapacity = 8192

// provenSet remembers the contents that ran to their end last.
type provenSet struct {
	members map[request.Fingerprint]bool
	ring    [provenCapacity]request.Fingerprint
	next    int
}

func newProvenSet() *provenSet {
	return &provenSet{members: make(map[request.Fingerprint]bool)}
}

func (p *provenSet) contains(fingerprint request.Fingerprint) bool {
	return p.members[fingerprint]
}

func (p *provenSet) add(fingerprint request.Fingerprint) {
	if p.members[fingerprint] {
		return
	}
	delete(p.members, p.ring[p.next])
	p.ring[p.next] = fingerprint
	p.next = (p.next + 1) % provenCapacity
	p.members[fingerprint] = true
}

func (p *provenSet) remove(fingerprint request.Fingerprint) {
	delete(p.members, fingerprint)
}
