package proxy

import (
	"encoding/binary"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/request"
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

	Route   *catalog.Route
	Service types.ServiceName
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
	return &url.URL{Scheme: "http", Host: address, Opaque: r.Path, RawQuery: r.Query, ForceQuery: r.ForceQuery}
}

// balancerRequest describes the request to the balancer.
func (r *Request) balancerRequest(tried []types.EndpointID) balance.RequestInfo {
	return balance.RequestInfo{
		Service:         r.Service,
		Rank:            r.Route.Rank,
		PromptTokens:    r.PromptTokens,
		Prefix:          r.Prefix,
		PrefixTokens:    r.PrefixTokens,
		ShorterPrefixes: r.PrefixParts,
		Tried:           tried,
		Arrived:         r.Arrived,
		Deadline:        r.Deadline,
		Objective:       r.Route.Objective,
	}
}

// fingerprint identifies the content of the request.
func (r *Request) fingerprint() request.Fingerprint {
	return Fingerprint(r.Method, r.Path, r.Query, r.Body)
}

// Fingerprint identifies the content of a request; equal for each resend of it.
func Fingerprint(method, path, query string, body []byte) request.Fingerprint {
	var print request.Fingerprint
	digest := xxhash.New()
	_, _ = digest.WriteString(method + " " + path + "?" + query + "\n")
	_, _ = digest.Write(body)
	binary.BigEndian.PutUint64(print[:8], digest.Sum64())
	_, _ = digest.WriteString("\nsecond half")
	binary.BigEndian.PutUint64(print[8:], digest.Sum64())
	return print
}
