package proxy

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Request is a caller's request while the gateway handles it.
type Request struct {
	RequestInfo
	Method string
	// Path is the path as it was sent, still encoded. Query is the raw query.
	Path       string
	Query      string
	ForceQuery bool
	Host       string
	// Header holds the caller's header fields that are passed on to an endpoint.
	Header http.Header
	Body   []byte
	// received holds the memory of Body; nil until that was received.
	received *bodies.Body

	Route *catalog.Route
	// Organisation is who calls; nil if the configuration has no organisations, or the
	// route is public.
	Organisation *catalog.Organisation
	// Identified is true if the configuration lists organisations: the caller's
	// credential, and what the caller says of its organisation, then go no further.
	Identified bool
	// identifiedIn is the version of the configuration in which the daemon that forwarded
	// the request found its organisation; zero if it needed none.
	identifiedIn uint64
	Service      types.ServiceName
	// ModelEngine is true if the service runs model engines.
	ModelEngine bool
	// AttemptLimit bounds the number of endpoints that the request is sent to.
	AttemptLimit int
	Arrived      time.Time
	// CallerDeadline is when the caller stops waiting; zero if it named no limit.
	CallerDeadline time.Time
	// Deadline is the earlier of CallerDeadline and the route's timeout.
	Deadline time.Time
	// ForwardedBy is the daemon that forwarded the request; empty if it came from
	// its caller. A forwarded request is never forwarded again.
	ForwardedBy types.VMID
	// Tried lists the endpoints that the request was sent to before it was forwarded.
	Tried []types.EndpointID
	// PrefixUncached is true for a forwarded request whose prefix is not cached here.
	PrefixUncached bool
	// Elsewhere is true for a forwarded request that another daemon of this region can
	// take.
	Elsewhere bool
	// Reserve is true for a forwarded request whose body comes only once an endpoint is
	// reserved.
	Reserve bool
	// ArriveBy is when, in budget time, a forwarded retry must have reached an
	// endpoint; zero sets no limit.
	ArriveBy time.Time

	// reserved is an endpoint that is reserved for the next attempt; nil if there is
	// none.
	reserved *balance.Permit
}

// newRequest sets what a caller's own request and a forwarded one have in common.
func newRequest(r *http.Request, info RequestInfo, route *catalog.Route) *Request {
	return &Request{
		RequestInfo: info, Route: route, Header: r.Header, Host: r.Host,
		Method: r.Method, Path: pathOf(r), Query: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
}

// targetURL returns the URL of the request at an address, with path and query as
// they were sent.
func (r *Request) targetURL(address string) *url.URL {
	target := &url.URL{Scheme: "http", Host: address, RawQuery: r.Query, ForceQuery: r.ForceQuery}
	if !beginsWithEmptySegment(r.Path) {
		target.Opaque = r.Path
		return target
	}
	// An opaque part that begins with two slashes would be sent as an absolute URL.
	// The path was decoded without an error when it was received.
	target.Path, _ = url.PathUnescape(r.Path)
	target.RawPath = r.Path
	return target
}

// hasExactTarget reports whether targetURL keeps the path as it was sent: a path that
// begins with an empty segment is encoded anew if it holds characters that a URL may
// not hold.
func (r *Request) hasExactTarget() bool {
	return !beginsWithEmptySegment(r.Path) || r.targetURL("").EscapedPath() == r.Path
}

func beginsWithEmptySegment(path string) bool {
	return strings.HasPrefix(path, "//")
}

// balancerRequest describes the request to the balancer.
func (r *Request) balancerRequest(tried []types.EndpointID) balance.RequestInfo {
	return balance.RequestInfo{
		Organisation:    r.Organisation.NameOf(),
		Service:         r.Service,
		Rank:            r.Route.Rank,
		CallerRank:      r.Organisation.RankOf(),
		PromptTokens:    r.PromptTokens,
		OutputTokens:    r.OutputTokens,
		Prefix:          r.Prefix,
		PrefixTokens:    r.PrefixTokens,
		ShorterPrefixes: r.PrefixParts,
		Tried:           tried,
		Arrived:         r.Arrived,
		Deadline:        r.Deadline,
		Objective:       r.Route.Objective,
	}
}

// allows reports whether the data of the request's route and of its organisation may both
// be in the region.
func (r *Request) allows(region types.Region) bool {
	return r.Route.Allows(region) && r.Organisation.Allows(region)
}

// traits returns what may make the request crash an endpoint: its content, and the
// parts of its prompt, each for all services and for its own.
func (r *Request) traits() crashes.Traits {
	traits := make(crashes.Traits, 0, 2*(1+len(r.SharedParts)))
	traits = append(traits, crashes.ContentTrait(crashes.AllServices, r.Method, r.Path, r.Query, r.Body))
	for _, part := range r.SharedParts {
		traits = append(traits, crashes.PartTrait(crashes.AllServices, part))
	}
	for _, trait := range traits {
		traits = append(traits, trait.Of(r.Service))
	}
	return traits
}
