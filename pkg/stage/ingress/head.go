package ingress

import (
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key. The key
// may be a ticket, so it allows for the longest one.
const maxIdempotencyKeyBytes = ticket.MaxTextBytes

// effectiveRank returns the most urgent rank allowed by all of the service, the
// credential and the rank header. It fails if the header is invalid.
func effectiveRank(header http.Header, service *published.Service, credential *published.Credential) (types.Rank, *types.Failure) {
	rank := max(service.MaxRank, credential.MaxRank)
	text := header.Get(types.HeaderRank)
	if text == "" {
		return rank, nil
	}
	requested, err := types.ParseRank(text)
	if err != nil {
		return 0, badRequest(types.HeaderRank + ": " + err.Error())
	}
	return max(rank, requested), nil
}

// checkRankHeader returns a failure if the rank header is invalid, so that such
// a request is refused before its body is read.
func checkRankHeader(header http.Header) *types.Failure {
	text := header.Get(types.HeaderRank)
	if text == "" {
		return nil
	}
	if _, err := types.ParseRank(text); err != nil {
		return badRequest(types.HeaderRank + ": " + err.Error())
	}
	return nil
}

// callerTimeout returns the timeout from the deadline header, capped at limit.
// Zero means that the caller set none.
func callerTimeout(header http.Header, limit time.Duration) (time.Duration, *types.Failure) {
	text := header.Get(types.HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, badRequest(types.HeaderDeadline + " must be a whole number of milliseconds, got " + strconv.Quote(clip(text)))
	}
	if ms <= 0 {
		return 0, types.NewFailure(types.NotRun, types.CodeDeadline, "the deadline has already passed")
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// clip truncates the caller's text before it is quoted in a message.
func clip(text string) string {
	const maxQuoted = 64
	if len(text) > maxQuoted {
		return strings.ToValidUTF8(text[:maxQuoted], "") + "..."
	}
	return text
}

func badRequest(message string) *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeBadRequest, message)
}

// repeatable reports whether the service's published configuration marks the
// call as safe to repeat. The first matching entry of service.Calls decides; a
// call without a match is not repeatable.
func repeatable(service *published.Service, method, callPath string) bool {
	for _, call := range service.Calls {
		if (call.Method == "" || call.Method == method) && matchesPathPrefix(callPath, call.PathPrefix) {
			return call.Repeatable
		}
	}
	return false
}

// matchesPathPrefix reports whether the path equals the prefix or is below it.
// It matches whole path segments only.
func matchesPathPrefix(callPath, prefix string) bool {
	rest, found := strings.CutPrefix(callPath, prefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// checkPath refuses a path that an endpoint might resolve to a different path.
// Published calls are matched by path, so such a path could match a rule for
// another call.
func checkPath(r *http.Request, callPath string) *types.Failure {
	cleaned := path.Clean(callPath)
	if strings.HasSuffix(callPath, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if r.URL.RawPath != "" || cleaned != callPath || strings.ContainsAny(callPath, "\\;") {
		return badRequest("the path must be in its plain form: no encoded slashes, dot segments, doubled slashes, backslashes or semicolons")
	}
	return nil
}

func checkIdempotencyKey(key string) *types.Failure {
	if len(key) > maxIdempotencyKeyBytes {
		return badRequest(types.HeaderIdempotencyKey + " is longer than " + strconv.Itoa(maxIdempotencyKeyBytes) + " bytes")
	}
	return nil
}
