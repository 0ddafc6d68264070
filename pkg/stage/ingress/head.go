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

// maxKeyBytes bounds an idempotency key, which may be a ticket.
const maxKeyBytes = ticket.MaxTextBytes

// rankOf returns the most urgent rank that the service, the credential and the
// caller's own header all allow.
func rankOf(header http.Header, service *published.Service, credential *published.Credential) (types.Rank, *types.Failure) {
	rank := max(service.MaxRank, credential.MaxRank)
	text := header.Get(types.HeaderRank)
	if text == "" {
		return rank, nil
	}
	asked, err := types.ParseRank(text)
	if err != nil {
		return 0, badRequest(types.HeaderRank + ": " + err.Error())
	}
	return max(rank, asked), nil
}

// checkRankHeader refuses an unreadable rank before the body is read.
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

// timeAllowed returns the time that the caller allows; zero means that it set
// none.
func timeAllowed(header http.Header, limit time.Duration) (time.Duration, *types.Failure) {
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

// clip bounds caller's text that is quoted in a message.
func clip(text string) string {
	const maxQuoted = 64
	if len(text) > maxQuoted {
		return text[:maxQuoted] + "..."
	}
	return text
}

func badRequest(message string) *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeBadRequest, message)
}

// repeatable reports whether the service publishes that the call may be
// repeated. The first call that matches decides; without a match it may not.
func repeatable(service *published.Service, method, callPath string) bool {
	for _, call := range service.Calls {
		if (call.Method == "" || call.Method == method) && underPrefix(callPath, call.PathPrefix) {
			return call.Repeatable
		}
	}
	return false
}

// underPrefix reports whether the path is the prefix or lies below it.
func underPrefix(callPath, prefix string) bool {
	rest, found := strings.CutPrefix(callPath, prefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// checkPath refuses a path that an endpoint may read as another one, since the
// published calls are matched by path.
func checkPath(r *http.Request, callPath string) *types.Failure {
	clean := path.Clean(callPath)
	if strings.HasSuffix(callPath, "/") && clean != "/" {
		clean += "/"
	}
	if r.URL.RawPath != "" || clean != callPath || strings.ContainsAny(callPath, "\\;") {
		return badRequest("the path must be in its plain form: no encoded slashes, dot segments, doubled slashes, backslashes or semicolons")
	}
	return nil
}

func checkKey(key string) *types.Failure {
	if len(key) > maxKeyBytes {
		return badRequest(types.HeaderIdempotencyKey + " is longer than " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	return nil
}
