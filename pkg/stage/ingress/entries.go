package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// EntriesAnswer is the body of GET /v1/entries.
type EntriesAnswer struct {
	// Entries lists the entries to use, best first.
	Entries []Entry `json:"entries"`
	// LifetimeMS is how long the list may be kept, in milliseconds.
	LifetimeMS int64          `json:"lifetime_ms"`
	Revision   types.Revision `json:"revision"`
	// Ticket binds the next request that may not be repeated to the daemon
	// that issued it, which is named by TicketEntry.
	Ticket      string `json:"ticket,omitempty"`
	TicketEntry string `json:"ticket_entry,omitempty"`
}

// Entry is one daemon that callers may use.
type Entry struct {
	Address    string           `json:"address"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"data_centre"`
}

// entryQuery asks for the entries that one caller should use.
type entryQuery struct {
	who identity
	// service may be nil: then every region of the caller's home counts.
	service *published.Service
	view    *snapshot.Snapshot
	// callerAddress is this daemon's own address for callers.
	callerAddress string
}

// ranked is an entry with its place in the order.
type ranked struct {
	entry    Entry
	distance int
	weight   uint64
}

// Distances of an entry from this daemon.
const (
	distanceSameCentre = iota
	distanceSameRegion
	distanceElsewhere
)

// rankEntries lists live entries, nearest first. Among entries that are equally
// near, rendezvous hashing gives each caller its own stable order, so that
// callers spread evenly and few of them move when an entry comes or goes.
func rankEntries(query entryQuery) []Entry {
	all := make([]ranked, 0, len(query.view.Members)+1)
	for i := range query.view.Members {
		all = query.append(all, &query.view.Members[i])
	}
	if query.callerAddress != "" && !query.view.Draining {
		self := query.view.Self
		all = query.append(all, &snapshot.Member{
			Incarnation:   self.Incarnation,
			Region:        self.Region,
			DataCentre:    self.DataCentre,
			CallerAddress: query.callerAddress,
			State:         snapshot.MemberAlive,
		})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.entry.Address, b.entry.Address))
	})
	entries := make([]Entry, len(all))
	for i := range all {
		entries[i] = all[i].entry
	}
	return entries
}

// append adds a member that may take the caller's requests.
func (q entryQuery) append(all []ranked, member *snapshot.Member) []ranked {
	if member.State == snapshot.MemberLeaving || member.State == snapshot.MemberSuspect || member.CallerAddress == "" {
		return all
	}
	if q.service != nil && !mayEnter(q.service, q.who.org, member.Region) {
		return all
	}
	if home := q.who.org.Home; home != "" && home != member.Region {
		return all
	}
	return append(all, ranked{
		entry:    Entry{Address: member.CallerAddress, Region: member.Region, DataCentre: member.DataCentre},
		distance: distance(q.view.Self, member),
		weight:   rendezvousWeight(string(q.who.hash), string(member.Incarnation.VM)),
	})
}

func distance(self snapshot.Self, member *snapshot.Member) int {
	switch {
	case self.DataCentre == member.DataCentre && self.Region == member.Region:
		return distanceSameCentre
	case self.Region == member.Region:
		return distanceSameRegion
	default:
		return distanceElsewhere
	}
}

func rendezvousWeight(caller, vm string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}

// entriesAnswer builds the answer to GET /v1/entries.
func (s *Server) entriesAnswer(query entryQuery, now time.Time) EntriesAnswer {
	answer := EntriesAnswer{
		Entries:    rankEntries(query),
		LifetimeMS: s.opts.Limits.EntriesLifetime.Milliseconds(),
		Revision:   query.view.Config.Revision,
	}
	if s.opts.Tickets != nil && !query.view.Draining {
		answer.Ticket = s.opts.Tickets.Ticket(query.who.org.Name, now)
		answer.TicketEntry = s.opts.CallerAddress
	}
	return answer
}
