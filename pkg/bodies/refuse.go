package bodies

import (
	"errors"
	"net/http"
	"os"
)

// retryAfterSeconds is the Retry-After advice where the bodies of others take the memory.
const retryAfterSeconds = "0.5"

// Refuse answers a request whose body was not received, for the reason that Receive returned.
func Refuse(w http.ResponseWriter, reason error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(reason, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(reason, ErrNoMemory), errors.Is(reason, ErrYielded):
		w.Header().Set("Retry-After", retryAfterSeconds)
		status = http.StatusServiceUnavailable
	case errors.Is(reason, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	http.Error(w, "the body can't be read", status)
}
