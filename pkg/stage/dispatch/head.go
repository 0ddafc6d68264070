package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// plainPathPrefix is the path under which callers address plain services.
const plainPathPrefix = "/v1/services/"

// strippedHeaders are request headers from the caller that are not forwarded.
var strippedHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Host",
	types.HeaderRank, types.HeaderTicket, types.HeaderPath, types.HeaderRevision,
	types.HeaderVerdict, types.HeaderFencing, types.HeaderResumeOffset,
	types.HeaderAttemptID, types.HeaderLeaving, types.HeaderServedBy, types.HeaderService,
}

// newEndpointRequest returns the request for an endpoint, without its body.
func newEndpointRequest(ctx context.Context, req *request.Request, endpoint *snapshot.Endpoint, now time.Time) *http.Request {
	target := &url.URL{
		Scheme:   "http",
		Host:     endpoint.Address,
		Path:     endpointPath(req),
		RawQuery: req.Query,
	}
	header := ForwardableHeader(req)
	header[types.HeaderRequestID] = []string{string(req.ID)}
	header[types.HeaderPriority] = []string{strconv.Itoa(int(req.Rank))}
	remaining := max(req.Deadline.Sub(now).Milliseconds(), 1)
	header[types.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	outgoing := &http.Request{
		Method:     req.Method,
		URL:        target,
		Host:       endpoint.Address,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	return outgoing.WithContext(ctx)
}

// ForwardableHeader returns the caller's headers without hop-by-hop headers,
// credentials, and headers that only the daemon sets.
func ForwardableHeader(req *request.Request) http.Header {
	const addedFields = 6
	header := make(http.Header, len(req.Header)+addedFields)
	for name, values := range req.Header {
		header[name] = values
	}
	relay.RemoveHopHeaders(header)
	for _, name := range strippedHeaders {
		delete(header, name)
	}
	return header
}

// endpointPath removes the path prefix that selects a plain service.
func endpointPath(req *request.Request) string {
	if req.Service.Kind != published.KindPlain {
		return req.URLPath
	}
	rest := strings.TrimPrefix(req.URLPath, plainPathPrefix+string(req.Service.Name))
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}
