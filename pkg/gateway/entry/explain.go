package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// explainRate and explainBurst bound the questions per second that a daemon answers:
	// each looks at every endpoint of a service while no request is placed.
	explainRate  = 2
	explainBurst = 5
)

// explainHandler answers where a made-up request would go now.
type explainHandler struct {
	explain func(context.Context, explain.Question) (*explain.Answer, *types.Failure)
	limit   *rate.Limiter
}

var _ http.Handler = (*explainHandler)(nil)

func newExplainHandler(answer func(context.Context, explain.Question) (*explain.Answer, *types.Failure)) *explainHandler {
	return &explainHandler{explain: answer, limit: rate.NewLimiter(explainRate, explainBurst)}
}

// ServeHTTP implements http.Handler.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.limit.Allow() {
		w.Header().Set("Retry-After", "1")
		writeExplained(w, http.StatusTooManyRequests, explain.Problem{Code: types.CodeOverloaded, Message: "too many questions; ask again in a second"})
		return
	}
	question, err := explain.Decode(r.URL.RawQuery)
	if err != nil {
		writeExplained(w, http.StatusBadRequest, explain.Problem{Code: types.CodeBadRequest, Message: err.Error()})
		return
	}
	answer, failure := h.explain(r.Context(), question)
	if failure != nil {
		writeExplained(w, types.StatusOf(failure.Code), explain.Problem{Code: failure.Code, Message: failure.Message})
		return
	}
	writeExplained(w, http.StatusOK, answer)
}

func writeExplained(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may be gone
}
