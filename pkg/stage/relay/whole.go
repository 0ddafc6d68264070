package relay

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// copyBufferBytes is the size of the buffer for relaying a large response.
const copyBufferBytes = 32 << 10

// ErrUndelimited means that the response has no length and is not chunked, so that
// its end can't be distinguished from a lost connection.
var ErrUndelimited = errors.New("answer has no length and is not chunked")

// ErrNoStatus means that the status of a response is none that a response to a request can have.
var ErrNoStatus = errors.New("the status of the answer is none")

// lastStatus is the highest status of HTTP.
const lastStatus = 599

// IsFinalStatus reports whether a status can be that of the response to a request, other than
// an interim one.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= lastStatus
}

// BufferedResponse is the part of a response that was read. Complete is false when
// the response exceeds Limits.MaxBufferedBytes; the rest can then still be read
// from the response body.
type BufferedResponse struct {
	Body     []byte
	Complete bool
}

// BufferResponse reads a response until it is complete or reaches the limit. cancel
// ends the attempt; it is called when no byte arrives for the idle timeout.
func BufferResponse(response *http.Response, limits Limits, cancel func()) (BufferedResponse, error) {
	limits = limits.WithDefaults()
	idle := time.AfterFunc(limits.IdleTimeout, cancel)
	defer idle.Stop()
	if !delimited(response) {
		return BufferedResponse{}, ErrUndelimited
	}
	body, err := readUpTo(response, limits.MaxBufferedBytes, func() { idle.Reset(limits.IdleTimeout) })
	if errors.Is(err, io.EOF) {
		return BufferedResponse{Body: body, Complete: true}, nil
	}
	if err != nil {
		return BufferedResponse{}, eris.Wrap(err, "read answer")
	}
	return BufferedResponse{Body: body}, nil
}

// CheckJSON returns ErrInvalidFormat if a complete buffered response is not a JSON
// document. It does not check an incomplete one.
func CheckJSON(buffered BufferedResponse) error {
	if buffered.Complete && !json.Valid(buffered.Body) {
		return ErrInvalidFormat
	}
	return nil
}

// ReadUpTo reads at most limit bytes of a response's body. It returns io.EOF when
// the body ended properly, and a nil error when there may be more.
func ReadUpTo(response *http.Response, limit int64) ([]byte, error) {
	return readUpTo(response, limit, func() {})
}

// readUpTo is ReadUpTo that calls onRead after each part.
func readUpTo(response *http.Response, limit int64, onRead func()) ([]byte, error) {
	size := int64(copyBufferBytes) / 8
	if response.ContentLength > 0 {
		size = min(response.ContentLength+1, limit)
	}
	body := make([]byte, 0, size)
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		end := min(int64(cap(body)), limit)
		n, err := response.Body.Read(body[len(body):end])
		onRead()
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

func delimited(response *http.Response) bool {
	if response.Body == http.NoBody || response.ContentLength >= 0 {
		return true
	}
	for _, encoding := range response.TransferEncoding {
		if encoding == "chunked" {
			return true
		}
	}
	return false
}

// Send sends a complete response to the caller with the verdict.
func (c *Caller) Send(response *http.Response, body []byte, verdict types.Verdict) Result {
	return c.SendResponse(response.StatusCode, ResponseHeader(response.Header, false), body, verdict)
}

// SendResponse sends a complete response from memory to the caller. It modifies
// header.
func (c *Caller) SendResponse(status int, header http.Header, body []byte, verdict types.Verdict) Result {
	header.Set(types.HeaderVerdict, verdict.String())
	if status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.sendHeader(status, header)
	if len(body) == 0 {
		return Result{End: EndComplete}
	}
	if err := c.write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return Result{End: EndCaller, Err: err}
	}
	return Result{End: EndComplete}
}

// Copy relays a response that exceeds Limits.MaxBufferedBytes: first the buffered
// part, then the rest while it is being received. It omits the verdict header,
// because the verdict is not yet known when the header is sent.
func (c *Caller) Copy(response *http.Response, buffered []byte, cancel func()) Result {
	idle := time.AfterFunc(c.limits.IdleTimeout, cancel)
	defer idle.Stop()
	header := ResponseHeader(response.Header, false)
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.sendHeader(response.StatusCode, header)
	if err := c.write(buffered); err != nil {
		return Result{End: EndCaller, Err: err}
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		idle.Reset(c.limits.IdleTimeout)
		if err := c.write(buffer[:n]); err != nil {
			return Result{End: EndCaller, Err: err}
		}
		if errors.Is(readErr, io.EOF) {
			return Result{End: EndComplete}
		}
		if readErr != nil {
			return Result{End: EndSource, Err: eris.Wrap(readErr, "read answer")}
		}
	}
}
