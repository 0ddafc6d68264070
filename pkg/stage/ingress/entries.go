package ingress

import (
	"net"

	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// EntriesResponse is the response body of GET /v1/entries.
type EntriesResponse struct {
	entries.Response
	// Ticket is a ticket for the caller's next non-repeatable request. It binds
	// that request to the entry at TicketEntry. Empty if no ticket can be issued.
	Ticket string `json:"ticket,omitempty"`
	// TicketEntry is the address of the entry that the ticket is bound to: the
	// best entry, or the entry of this VM if the query has owner=self.
	TicketEntry string `json:"ticket_entry,omitempty"`
}

// allowedRegions returns the regions that the organisation's data for the
// service may be sent to. Allowed is false if there is no such region. A nil
// service adds no restriction; nil regions with allowed true mean any region.
func allowedRegions(service *published.Service, org *published.Organisation) (regions []types.Region, allowed bool) {
	if org.Home != "" {
		return []types.Region{org.Home}, service == nil || service.Allows(org.Home)
	}
	if service == nil {
		return nil, true
	}
	return service.Regions, len(service.Regions) > 0
}

// listEntries returns the entries that a caller may use, best first. The list
// is empty if no region is allowed.
func listEntries(callerKey string, service *published.Service, org *published.Organisation, view *snapshot.Snapshot, query entries.Query) entries.Response {
	regions, allowed := allowedRegions(service, org)
	if !allowed {
		return entries.Response{Entries: []entries.Entry{}, LifetimeMS: entries.DefaultLifetime.Milliseconds()}
	}
	query.Caller, query.AllowedRegions = callerKey, regions
	return entries.List(view, query)
}

// callerKey returns a key made of the credential's hash and the caller's IP
// address, so that callers sharing a credential are spread over the entries.
func (c *call) callerKey() string {
	host, _, _ := net.SplitHostPort(c.r.RemoteAddr)
	return string(c.caller.hash) + "/" + host
}

// entriesResponse builds the response to GET /v1/entries. If the server issues
// tickets, it adds one for the best entry, or for this VM's entry if the query
// has owner=self. Entries without a boot are skipped.
func (s *Server) entriesResponse(c *call, service *published.Service) EntriesResponse {
	query := entries.Query{Lifetime: s.opts.Limits.EntriesLifetime}
	response := EntriesResponse{
		Response: listEntries(c.callerKey(), service, c.caller.org, c.view, query),
	}
	if s.opts.Tickets == nil {
		return response
	}
	selfOnly := c.r.URL.Query().Get("owner") == "self"
	for _, entry := range response.Entries {
		if selfOnly && entry.VM != c.view.Self.Incarnation.VM {
			continue
		}
		if entry.Boot == "" {
			continue
		}
		owner := types.Incarnation{VM: entry.VM, Boot: entry.Boot}
		ticket, err := s.opts.Tickets.Ticket(c.caller.org.Name, owner, c.view.Config.Revision)
		if err == nil {
			response.Ticket, response.TicketEntry = ticket, entry.Address
		}
		return response
	}
	return response
}
