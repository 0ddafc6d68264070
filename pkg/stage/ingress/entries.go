package ingress

import (
	"net"

	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// EntriesAnswer is the body of GET /v1/entries.
type EntriesAnswer struct {
	entries.Response
	// Ticket is for the next request that may not be repeated. It binds that
	// request to the entry at TicketEntry; empty when none can be issued.
	Ticket string `json:"ticket,omitempty"`
	// TicketEntry is the best entry, or this one if the query says owner=self.
	TicketEntry string `json:"ticket_entry,omitempty"`
}

// allowedRegions lists the regions that the organisation's data for the service
// may be in. Allowed is false when there is none. A nil service allows all.
func allowedRegions(service *published.Service, org *published.Organisation) (regions []types.Region, allowed bool) {
	if org.Home != "" {
		return []types.Region{org.Home}, service == nil || service.Allows(org.Home)
	}
	if service == nil {
		return nil, true
	}
	return service.Regions, len(service.Regions) > 0
}

// listEntries names the entries for a caller, best first.
func listEntries(key string, service *published.Service, org *published.Organisation, view *snapshot.Snapshot, query entries.Query) entries.Response {
	regions, allowed := allowedRegions(service, org)
	if !allowed {
		return entries.Response{Entries: []entries.Entry{}, LifetimeMS: entries.DefaultLifetime.Milliseconds()}
	}
	query.Caller, query.AllowedRegions = key, regions
	return entries.List(view, query)
}

// callerKey tells callers apart by credential and IP address, so that the
// callers of one credential spread over the entries too.
func (c *call) callerKey() string {
	host, _, _ := net.SplitHostPort(c.r.RemoteAddr)
	return string(c.who.hash) + "/" + host
}

// entriesAnswer builds the answer to GET /v1/entries.
func (s *Server) entriesAnswer(c *call, service *published.Service) EntriesAnswer {
	query := entries.Query{Lifetime: s.opts.Limits.EntriesLifetime}
	answer := EntriesAnswer{
		Response: listEntries(c.callerKey(), service, c.who.org, c.view, query),
	}
	if s.opts.Tickets == nil {
		return answer
	}
	own := c.r.URL.Query().Get("owner") == "self"
	for _, entry := range answer.Entries {
		if own && entry.VM != c.view.Self.Incarnation.VM {
			continue
		}
		if entry.Boot == "" {
			continue
		}
		owner := types.Incarnation{VM: entry.VM, Boot: entry.Boot}
		ticket, err := s.opts.Tickets.Ticket(c.who.org.Name, owner, c.view.Config.Revision)
		if err == nil {
			answer.Ticket, answer.TicketEntry = ticket, entry.Address
		}
		return answer
	}
	return answer
}
