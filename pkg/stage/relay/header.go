package relay

import (
	"net/http"
	"strings"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// hopHeaders are the hop-by-hop header fields, in canonical form.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the hop-by-hop fields, including those that the
// Connection field names.
func RemoveHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// internalHeaders are response fields that endpoints and daemons send to a daemon
// and that are not copied to the caller.
var internalHeaders = []string{
	types.HeaderAttemptID, types.HeaderLeaving, types.HeaderResumeOffset, types.HeaderVerdict,
	types.HeaderRevision, "Content-Length",
}

// ResponseHeader returns the fields of an endpoint's response that are relayed to
// the caller. For a stream it adds fields that tell intermediaries not to buffer
// it.
func ResponseHeader(header http.Header, stream bool) http.Header {
	filtered := make(http.Header, len(header)+2)
	for name, values := range header {
		filtered[name] = values
	}
	RemoveHopHeaders(filtered)
	for _, name := range internalHeaders {
		filtered.Del(name)
	}
	if stream {
		filtered.Set("Cache-Control", "no-cache")
		filtered.Set("X-Accel-Buffering", "no")
	}
	return filtered
}
