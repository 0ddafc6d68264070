package daemon

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// bufferedResponse buffers the response to a request that may not be repeated.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
	limit  int64
}

var _ http.ResponseWriter = (*bufferedResponse)(nil)

func newBufferedResponse(limit int64) *bufferedResponse {
	return &bufferedResponse{header: make(http.Header), limit: limit}
}

// Header returns the header fields of the response.
func (b *bufferedResponse) Header() http.Header {
	return b.header
}

// WriteHeader stores the status.
func (b *bufferedResponse) WriteHeader(status int) {
	b.status = status
}

// Write appends data to the body. It returns an error, and stores nothing, if
// the body would exceed the limit.
func (b *bufferedResponse) Write(data []byte) (int, error) {
	if int64(len(b.body)+len(data)) > b.limit {
		return 0, eris.New("answer is too large to be kept")
	}
	b.body = append(b.body, data...)
	return len(data), nil
}

// outcome returns the outcome of the run, with the response if the run
// succeeded.
func (b *bufferedResponse) outcome(summary dispatch.Summary) once.Outcome {
	if summary.Failure != nil {
		return once.Outcome{Verdict: summary.Verdict, Failure: summary.Failure}
	}
	return once.Outcome{
		Verdict:  types.Ran,
		Response: &once.Response{Status: b.status, Header: request.Header(b.header), Body: b.body},
	}
}
