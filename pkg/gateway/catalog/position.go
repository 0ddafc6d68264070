package catalog

import "cmp"

// Position is a place in the order of all states of the store. Revisions are ordered
// within an era only: a store that comes back from a copy begins a new era and gives
// revisions out again.
type Position struct {
	Era      uint64
	Revision uint64
}

// Before reports whether the position is earlier than another one.
func (p Position) Before(other Position) bool {
	return p.compare(other) < 0
}

func (p Position) compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
