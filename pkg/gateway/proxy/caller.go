package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// responseWriter writes the response to one request. Its receiver is a caller or
// the daemon that forwarded the request.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	peer       bool
	// endpoint is the target of the last attempt; it is reported to peers.
	endpoint types.EndpointID
	// leavingEndpoint is the last endpoint that said that it is leaving.
	leavingEndpoint *catalog.Endpoint
	// committed is true once part of a response was sent.
	committed bool
	// broken is true when the response can't be completed; the connection must
	// then be aborted, so that the response does not look complete.
	broken bool
	// writeFailed is true when the receiver stopped reading.
	writeFailed bool
}

func newResponseWriter(w http.ResponseWriter, peer bool) *responseWriter {
	return &responseWriter{writer: w, controller: http.NewResponseController(w), peer: peer}
}

// writeHeader sends the header of an endpoint's response. A negative length means
// that the length is unknown.
func (w *responseWriter) writeHeader(response *http.Response, length int64) {
	header := w.writer.Header()
	responseHeader := response.Header
	relay.RemoveHopHeaders(responseHeader)
	responseHeader.Del("Content-Length")
	for name, values := range responseHeader {
		header[name] = values
	}
	if length >= 0 && mayHaveBody(response.StatusCode) {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.setEndpointHeader()
	w.committed = true
	w.writer.WriteHeader(response.StatusCode)
}

// setEndpointHeader tells the daemon that forwarded the request which endpoint
// the request was sent to, so that a retry goes to another one, and whether that
// endpoint is leaving.
func (w *responseWriter) setEndpointHeader() {
	if w.peer && w.endpoint != "" {
		w.writer.Header().Set(headerEndpoint, string(w.endpoint))
		w.setLeavingHeader(w.writer.Header())
	}
}

func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// write sends bytes within the write timeout and reports whether it succeeded.
func (w *responseWriter) write(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	// If the writer supports no deadlines, the write blocks for as long as the connection allows.
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.writer.Write(data); err != nil {
		w.writeFailed, w.broken = true, true
		return false
	}
	return true
}

// flush sends buffered bytes and reports whether it succeeded.
func (w *responseWriter) flush() bool {
	if err := w.controller.Flush(); err != nil {
		w.writeFailed, w.broken = true, true
		return false
	}
	return true
}

// fail ends the request with a failure of the gateway itself.
// Arrivals counts the attempts that may have reached an endpoint; it is reported
// to peers.
func (w *responseWriter) fail(id types.RequestID, failure *types.Failure, arrivals int) {
	if w.committed {
		w.broken = true
		return
	}
	w.setEndpointHeader()
	if w.peer {
		w.writer.Header().Set(headerArrivals, strconv.Itoa(arrivals))
	}
	w.committed = true
	writeFailure(w.writer, id, failure, w.peer)
}
