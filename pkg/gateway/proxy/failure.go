package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Header fields of failures between daemons.
const (
	// headerFailure carries the code of a failure that a daemon itself caused.
	// The daemon that forwarded the request distinguishes it by this field from
	// an endpoint's failure.
	headerFailure = "X-Gateway-Failure"
	// headerVerdict carries the failure's verdict.
	headerVerdict = "X-Gateway-Verdict"
	// headerEndpoint names the endpoint to which the other daemon sent the
	// request.
	headerEndpoint = "X-Gateway-Endpoint"
	// headerArrivals carries the number of attempts of the other daemon that may
	// have reached an endpoint.
	headerArrivals = "X-Gateway-Arrivals"
)

// failureStatus returns the HTTP status of a failure. 503 promises that the
// request was not run, so no other failure uses it.
func failureStatus(failure *types.Failure) int {
	if failure.Verdict == types.NotRun {
		switch failure.Code {
		case types.CodeBadRequest, types.CodeUnauthenticated, types.CodeUnknownService, types.CodeTooLarge:
			return failure.Status
		}
		return http.StatusServiceUnavailable
	}
	if failure.Code == types.CodeDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeFailure writes a failure of the gateway itself as the response.
func writeFailure(w http.ResponseWriter, id types.RequestID, failure *types.Failure, toPeer bool) {
	relay.ExtendWriteDeadline(w, writeTimeout)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if failure.Code == types.CodeUnauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if failure.RetryAfter > 0 && failure.Verdict == types.NotRun {
		header.Set("Retry-After", formatSeconds(failure.RetryAfter))
	}
	if toPeer {
		header.Set(headerFailure, string(failure.Code))
		header.Set(headerVerdict, failure.Verdict.String())
	}
	body, err := json.Marshal(relay.ErrorBody{Error: relay.ErrorDetail{
		Message: failure.Message, Code: failure.Code, Verdict: failure.Verdict, RequestID: id,
	}})
	if err != nil {
		body = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(failureStatus(failure))
	// A write error means that the caller disconnected; nothing is left to do.
	_, _ = w.Write(body)
}

// formatSeconds formats a duration in seconds with two decimal places.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

func notRunFailure(code types.Code, message string, retryAfter time.Duration) *types.Failure {
	failure := types.NewFailure(types.NotRun, code, message)
	failure.RetryAfter = retryAfter
	return failure
}
