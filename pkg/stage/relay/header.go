package relay

import (
	"net/http"
	"strings"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// hopHeaders are header fields that hold for one connection only, in canonical
// form.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the fields that hold for one connection only,
// including those that the Connection field names.
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

// internalHeaders are answer fields between daemons and endpoints that callers
// do not see.
var internalHeaders = []string{
	types.HeaderAttemptID, types.HeaderLeaving, types.HeaderResumeOffset, types.HeaderVerdict,
	types.HeaderRevision, "Content-Length",
}

// ResponseHeader returns the fields of an endpoint's response that go on to the
// caller. A stream also tells intermediaries not to buffer it.
func ResponseHeader(header http.Header, stream bool) http.Header {
	answer := make(http.Header, len(header)+2)
	for name, values := range header {
		answer[name] = values
	}
	RemoveHopHeaders(answer)
	for _, name := range internalHeaders {
		answer.Del(name)
	}
	if stream {
		answer.Set("Cache-Control", "no-cache")
		answer.Set("X-Accel-Buffering", "no")
	}
	return answer
}
