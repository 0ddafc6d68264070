// Package relay sends an endpoint's response to the caller: a stream event by
// event, any other response as a whole unless it is too large to buffer. It never
// presents a truncated response as a complete one, and it buffers a bounded number
// of bytes for each request.
package relay

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits bounds the time and memory for relaying one response. The zero value of
// a field means its default.
type Limits struct {
	// WriteTimeout bounds each write to the caller, so that a slow reader does
	// not hold resources for longer. Default 30 s.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the next bytes of a response. Default 60 s.
	IdleTimeout time.Duration
	// MaxEventBytes bounds one event of a stream. Default 1 MiB.
	MaxEventBytes int
	// MaxBufferedBytes bounds a response that is buffered until it is complete;
	// a larger one is relayed while it is being received. Default 1 MiB.
	MaxBufferedBytes int64
}

// The defaults of Limits.
const (
	DefaultWriteTimeout     = 30 * time.Second
	DefaultIdleTimeout      = 60 * time.Second
	DefaultMaxEventBytes    = 1 << 20
	DefaultMaxBufferedBytes = 1 << 20
)

// WithDefaults returns the limits with each zero field set to its default.
func (l Limits) WithDefaults() Limits {
	if l.WriteTimeout == 0 {
		l.WriteTimeout = DefaultWriteTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	if l.MaxEventBytes == 0 {
		l.MaxEventBytes = DefaultMaxEventBytes
	}
	if l.MaxBufferedBytes == 0 {
		l.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	return l
}

// Caller writes the response of one request to the caller. It is not safe for
// concurrent use.
type Caller struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	limits     Limits
	requestID  types.RequestID
	committed  bool
	streaming  bool
	broken     bool
	// translateEntry translates the entries that a failure names; nil leaves them
	// unchanged.
	translateEntry func(types.VMID) types.VMID
}

// NewCaller returns a Caller that writes to the response writer of one request.
func NewCaller(w http.ResponseWriter, id types.RequestID, limits Limits) *Caller {
	return &Caller{
		writer:     w,
		controller: http.NewResponseController(w),
		limits:     limits.WithDefaults(),
		requestID:  id,
	}
}

// Committed reports whether any part of a response was sent to the caller.
func (c *Caller) Committed() bool {
	return c.committed
}

// Broken reports whether the response can't be completed. The server must then
// abort the connection, so that the caller does not see a clean end.
func (c *Caller) Broken() bool {
	return c.broken
}

// SetEntryTranslator sets the function that translates the entries named by a
// failure into addresses that callers can use.
func (c *Caller) SetEntryTranslator(translate func(types.VMID) types.VMID) {
	c.translateEntry = translate
}

// withTranslatedEntries returns the failure with translated entries. It does not
// change its argument.
func (c *Caller) withTranslatedEntries(failure *types.Failure) *types.Failure {
	if c.translateEntry == nil || len(failure.Entries) == 0 {
		return failure
	}
	translated := *failure
	translated.Entries = make([]types.VMID, len(failure.Entries))
	for i, entry := range failure.Entries {
		translated.Entries[i] = c.translateEntry(entry)
	}
	return &translated
}

// Fail ends the request with a failure. If nothing was sent yet, it sends an error
// response. Inside a stream it sends the failure as the last event, after which the
// connection must be aborted.
func (c *Caller) Fail(failure *types.Failure) {
	if c.broken {
		return
	}
	if !c.committed {
		c.committed = true
		WriteFailure(c.writer, c.requestID, c.withTranslatedEntries(failure))
		return
	}
	c.broken = true
	if !c.streaming {
		return
	}
	event := append([]byte("data: "), failureBody(c.requestID, c.withTranslatedEntries(failure))...)
	event = append(event, "\n\n"...)
	_ = c.write(event)
	_ = c.controller.Flush()
}

// sendHeader sends the status and the header of a response.
func (c *Caller) sendHeader(status int, header http.Header) {
	outgoing := c.writer.Header()
	for name, values := range header {
		outgoing[name] = values
	}
	setHeader(outgoing, types.HeaderRequestID, string(c.requestID))
	c.committed = true
	c.writer.WriteHeader(status)
}

// write writes data to the caller within the write timeout.
func (c *Caller) write(data []byte) error {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	if _, err := c.writer.Write(data); err != nil {
		c.broken = true
		return eris.Wrap(err, "write to caller")
	}
	return nil
}

// flush flushes the written data to the caller's connection.
func (c *Caller) flush() error {
	if err := c.controller.Flush(); err != nil {
		c.broken = true
		return eris.Wrap(err, "flush to caller")
	}
	return nil
}

// setHeader sets a header field whose name may not be in canonical form.
func setHeader(header http.Header, name, value string) {
	header[http.CanonicalHeaderKey(name)] = []string{value}
}
