package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// ErrorBody is the body of an error response, in the format that OpenAI clients
// read, extended by the verdict.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure.
type ErrorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      types.Code      `json:"code"`
	Verdict   types.Verdict   `json:"verdict"`
	RequestID types.RequestID `json:"request_id"`
	// Entries lists the entries that may serve the request, best first.
	Entries []types.VMID `json:"entries,omitempty"`
	// Ticket is a new ticket for sending the request again.
	Ticket string `json:"ticket,omitempty"`
}

// The error types that OpenAI clients know.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// WriteFailure sends a failure as an error response. The response header must not
// have been sent yet.
func WriteFailure(w http.ResponseWriter, id types.RequestID, failure *types.Failure) {
	ExtendWriteDeadline(w, DefaultWriteTimeout)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(types.HeaderVerdict, failure.Verdict.String())
	if id != "" {
		header.Set(types.HeaderRequestID, string(id))
	}
	if failure.Ticket != "" {
		header.Set(types.HeaderTicket, failure.Ticket)
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(failure.RetryAfter))
	}
	body := failureBody(id, failure)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(failure.Status)
	_, _ = w.Write(body)
}

// ExtendWriteDeadline sets the write deadline of a short response to timeout from
// now, so that a caller that does not read can't hold its connection for longer.
func ExtendWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

func failureBody(id types.RequestID, failure *types.Failure) []byte {
	body := ErrorBody{Error: ErrorDetail{
		Message:   failure.Message,
		Type:      errorType(failure.Status),
		Code:      failure.Code,
		Verdict:   failure.Verdict,
		RequestID: id,
		Entries:   failure.Entries,
		Ticket:    failure.Ticket,
	}}
	data, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal","verdict":"may-have-run"}}`)
	}
	return data
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return typeAuthentication
	case status == http.StatusForbidden:
		return typePermission
	case status == http.StatusTooManyRequests:
		return typeRateLimit
	case status >= http.StatusInternalServerError:
		return typeServer
	default:
		return typeInvalidRequest
	}
}

// retryAfterSeconds rounds up to whole seconds, as the header requires.
func retryAfterSeconds(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}
