package daemon

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// keptAnswer holds the answer of a request that may not be repeated.
type keptAnswer struct {
	header http.Header
	status int
	body   []byte
	limit  int64
}

var _ http.ResponseWriter = (*keptAnswer)(nil)

func newKeptAnswer(limit int64) *keptAnswer {
	return &keptAnswer{header: make(http.Header), limit: limit}
}

// Header returns the fields of the answer.
func (k *keptAnswer) Header() http.Header {
	return k.header
}

// WriteHeader keeps the status.
func (k *keptAnswer) WriteHeader(status int) {
	k.status = status
}

// Write keeps a part of the body; more than the limit is an error.
func (k *keptAnswer) Write(data []byte) (int, error) {
	if int64(len(k.body)+len(data)) > k.limit {
		return 0, eris.New("answer is too large to be kept")
	}
	k.body = append(k.body, data...)
	return len(data), nil
}

// outcome returns how the run ended, with the answer if it is whole.
func (k *keptAnswer) outcome(summary dispatch.Summary) once.Outcome {
	if summary.Failure != nil {
		return once.Outcome{Verdict: summary.Verdict, Failure: summary.Failure}
	}
	return once.Outcome{
		Verdict:  types.Ran,
		Response: &once.Response{Status: k.status, Header: request.Header(k.header), Body: k.body},
	}
}
