package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/reserve"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// bodyReadTimeout bounds the time to receive a body.
	bodyReadTimeout = 10 * time.Second
	// firstBodyBytes is the first reservation for a body of unknown length; each
	// further one doubles it.
	firstBodyBytes = 1 << 10
)

// errBodyMemory means that the bodies of all requests together take too many bytes.
var errBodyMemory = errors.New("too many bytes of request bodies are held")

// readBody reads the complete body within the limits of size, memory and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *Request, snap *control.Snapshot) *types.Failure {
	limit := snap.View.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return bodyTooLarge()
	}
	control := http.NewResponseController(w)
	if r.Body != http.NoBody {
		// A writer that supports no deadlines is accepted too.
		_ = control.SetReadDeadline(time.Now().Add(min(bodyReadTimeout, time.Until(req.Deadline))))
	}
	if err := req.receiveBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, h.bodies); err != nil {
		w.Header().Set("Connection", "close")
		return bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// receiveBody reads the body to its end; size is the expected length, or negative if
// unknown. Memory is reserved before it is used, and stays reserved when receiveBody
// returns, also after an error.
func (r *Request) receiveBody(source io.Reader, size int64, memory *reserve.Budget) error {
	if size == 0 {
		return nil
	}
	// One more byte lets the reader see the end without a further reservation.
	next := size + 1
	if size < 0 {
		next = firstBodyBytes
	}
	for {
		if !memory.TryReserve(next) {
			return errBodyMemory
		}
		r.reservedBytes += next
		grown := make([]byte, len(r.Body), r.reservedBytes)
		copy(grown, r.Body)
		r.Body = grown
		ended, err := r.fillBody(source)
		if ended || err != nil {
			return err
		}
		next = r.reservedBytes
	}
}

// fillBody reads until the buffer of the body is full, and reports whether the body
// has ended.
func (r *Request) fillBody(source io.Reader) (ended bool, err error) {
	for len(r.Body) < cap(r.Body) {
		n, err := source.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

func bodyFailure(err error) *types.Failure {
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return bodyTooLarge()
	case errors.Is(err, errBodyMemory):
		return notRunFailure(types.CodeOverloaded, err.Error(), notReadyRetryAfter)
	}
	failure := types.NewFailure(types.NotRun, types.CodeBadRequest, "the body could not be read")
	failure.Cause = err
	return failure
}

func bodyTooLarge() *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeTooLarge, "the body is too large")
}
