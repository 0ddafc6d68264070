package proxy

import (
	"errors"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// bodyReadTimeout bounds the time to receive a body.
const bodyReadTimeout = 10 * time.Second

// readBody reads the complete body of a caller's request within the limits of size, memory and
// time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *Request, snap *control.Snapshot) *types.Failure {
	limit := snap.View.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	return h.receiveBody(w, r, req, bodies.Limits{Bytes: limit, Timeout: min(bodyReadTimeout, time.Until(req.Deadline))})
}

// receiveBody reads the complete body of a request. Its memory counts until req.received is
// released.
func (h *Handler) receiveBody(w http.ResponseWriter, r *http.Request, req *Request, limits bodies.Limits) *types.Failure {
	body, err := h.opts.Bodies.Receive(w, r, limits)
	if err != nil {
		return bodyFailure(err)
	}
	req.received, req.Body = body, body.Bytes()
	return nil
}

func bodyFailure(err error) *types.Failure {
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		return types.NewFailure(types.NotRun, types.CodeTooLarge, "the body is too large")
	case errors.Is(err, bodies.ErrNoMemory), errors.Is(err, bodies.ErrYielded):
		return notRunFailure(types.CodeOverloaded, err.Error(), notReadyRetryAfter)
	}
	failure := types.NewFailure(types.NotRun, types.CodeBadRequest, "the body could not be read")
	failure.Cause = err
	return failure
}
