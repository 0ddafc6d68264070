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

// copyBytes is the size of the pieces in which a large answer is passed on.
const copyBytes = 32 << 10

// ErrUndelimited means that the answer has neither a length nor chunks, so that its end
// can't be told from a broken connection.
var ErrUndelimited = errors.New("answer has no length and is not chunked")

// BufferedResponse is an answer as far as it was read. Whole is false when it exceeds
// Limits.MaxWholeBytes; the rest is then still in the response body.
type BufferedResponse struct {
	Body     []byte
	Complete bool
}

// BufferResponse reads an answer until it is whole or exceeds the limit. cancel ends the
// attempt; it is called when the response is idle for too long.
func BufferResponse(response *http.Response, limits Limits, cancel func()) (BufferedResponse, error) {
	limits = limits.WithDefaults()
	idle := time.AfterFunc(limits.IdleTimeout, cancel)
	defer idle.Stop()
	if !delimited(response) {
		return BufferedResponse{}, ErrUndelimited
	}
	body, err := ReadUpTo(response, limits.MaxBufferedBytes)
	if errors.Is(err, io.EOF) {
		return BufferedResponse{Body: body, Complete: true}, nil
	}
	if err != nil {
		return BufferedResponse{}, eris.Wrap(err, "read answer")
	}
	return BufferedResponse{Body: body}, nil
}

// CheckJSON returns ErrGarbage unless a held answer is a JSON document.
func CheckJSON(held BufferedResponse) error {
	if held.Complete && !json.Valid(held.Body) {
		return ErrInvalidFormat
	}
	return nil
}

// ReadUpTo reads at most limit bytes. It returns io.EOF when the answer ended
// properly, and nil when there may be more.
func ReadUpTo(response *http.Response, limit int64) ([]byte, error) {
	size := int64(copyBytes) / 8
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

// Send sends a whole answer with its verdict.
func (c *Caller) Send(response *http.Response, body []byte, verdict types.Verdict) Result {
	return c.SendResponse(response.StatusCode, ResponseHeader(response.Header, false), body, verdict)
}

// SendResponse sends a whole answer that is held in memory. The header is changed.
func (c *Caller) SendResponse(status int, header http.Header, body []byte, verdict types.Verdict) Result {
	header.Set(types.HeaderVerdict, verdict.String())
	if status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.begin(status, header)
	if len(body) == 0 {
		return Result{End: EndComplete}
	}
	if err := c.write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return Result{End: EndCaller, Err: err}
	}
	return Result{End: EndComplete}
}

// Copy passes on an answer that exceeds Limits.MaxWholeBytes: first what was
// held, then the rest while it arrives. Its verdict is not known when the head
// is sent, so that the header is left out.
func (c *Caller) Copy(response *http.Response, held []byte, cancel func()) Result {
	idle := time.AfterFunc(c.limits.IdleTimeout, cancel)
	defer idle.Stop()
	header := ResponseHeader(response.Header, false)
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.begin(response.StatusCode, header)
	if err := c.write(held); err != nil {
		return Result{End: EndCaller, Err: err}
	}
	piece := make([]byte, copyBytes)
	for {
		n, readErr := response.Body.Read(piece)
		idle.Reset(c.limits.IdleTimeout)
		if err := c.write(piece[:n]); err != nil {
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
