package daemon

import (
	"encoding/json"

	"github.com/flamingomount/flamingomount/pkg/jsonlog"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// requestLine is the log line of one request.
type requestLine struct {
	req      *request.Request
	result   requestResult
	outcome  request.Outcome
	revision types.Revision
}

var (
	_ jsonlog.Line   = (*requestLine)(nil)
	_ json.Marshaler = (*requestLine)(nil)
)

// AppendFields appends the fields of the line to dst as JSON.
func (l *requestLine) AppendFields(dst []byte) []byte {
	dst = jsonlog.AppendString(dst, "request_id", string(l.req.ID))
	dst = jsonlog.AppendString(dst, "attempt_id", string(l.result.Attempt))
	dst = jsonlog.AppendString(dst, "service", string(l.req.Service.Name))
	dst = jsonlog.AppendString(dst, "organisation", string(l.req.Org.Name))
	dst = jsonlog.AppendString(dst, "rank", l.outcome.Rank.String())
	dst = jsonlog.AppendString(dst, "region", string(l.result.Region))
	dst = jsonlog.AppendString(dst, "endpoint", string(l.result.Endpoint))
	dst = jsonlog.AppendString(dst, "verdict", l.outcome.Verdict.String())
	dst = jsonlog.AppendInt(dst, "revision", int64(l.revision))
	dst = jsonlog.AppendInt(dst, "attempts", int64(l.outcome.Attempts))
	dst = jsonlog.AppendInt(dst, "took_ms", l.outcome.Took.Milliseconds())
	dst = jsonlog.AppendInt(dst, "queued_ms", l.outcome.Queued.Milliseconds())
	dst = jsonlog.AppendBool(dst, "forwarded", len(l.req.Path) > 0)
	failure := l.result.Failure
	if failure == nil {
		return dst
	}
	dst = jsonlog.AppendString(dst, "code", string(failure.Code))
	dst = jsonlog.AppendString(dst, "reason", failure.Message)
	if failure.Cause != nil {
		dst = jsonlog.AppendString(dst, "cause", failure.Cause.Error())
	}
	return dst
}

// MarshalJSON returns the fields as a JSON object, for formatters other than
// jsonlog.
func (l *requestLine) MarshalJSON() ([]byte, error) {
	object := l.AppendFields(nil)
	object[0] = '{'
	return append(object, '}'), nil
}
