// Package relay passes an endpoint's answer back to the caller: streams event
// by event and other answers whole. It never presents an answer that broke off
// as a complete one, and holds a bounded number of bytes for each request.
package relay

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits bounds what relaying one answer may take. The zero value of a field
// means its default.
type Limits struct {
	// WriteTimeout bounds each write to the caller, so that a slow reader
	// holds nothing for longer. Default 30 s.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the next bytes of an answer. Default 60 s.
	IdleTimeout time.Duration
	// MaxEventBytes bounds one event of a stream. Default 1 MiB.
	MaxEventBytes int
	// MaxBufferedBytes bounds an answer that is held until it is whole; a larger
	// one is passed on while it arrives. Default 1 MiB.
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

// Caller is the caller's side of one request. It is used by one goroutine.
type Caller struct {
	writer    http.ResponseWriter
	control   *http.ResponseController
	limits    Limits
	requestID types.RequestID
	committed bool
	streaming bool
	broken    bool
	// entryName translates the entries that a failure names; nil for none.
	entryName func(types.VMID) types.VMID
}

// NewCaller wraps the response writer of one request.
func NewCaller(w http.ResponseWriter, id types.RequestID, limits Limits) *Caller {
	return &Caller{
		writer:    w,
		control:   http.NewResponseController(w),
		limits:    limits.WithDefaults(),
		requestID: id,
	}
}

// Committed reports whether any part of an answer was sent to the caller.
func (c *Caller) Committed() bool {
	return c.committed
}

// Broken reports whether the answer can't be completed. The server must then
// abort the connection, so that the caller does not see a clean end.
func (c *Caller) Broken() bool {
	return c.broken
}

// SetEntryTranslator sets how the entries that a failure names are translated into
// addresses that callers can use.
func (c *Caller) SetEntryTranslator(name func(types.VMID) types.VMID) {
	c.entryName = name
}

// withNames returns the failure with its entries translated.
func (c *Caller) withNames(failure *types.Failure) *types.Failure {
	if c.entryName == nil || len(failure.Entries) == 0 {
		return failure
	}
	named := *failure
	named.Entries = make([]types.VMID, len(failure.Entries))
	for i, entry := range failure.Entries {
		named.Entries[i] = c.entryName(entry)
	}
	return &named
}

// Fail ends the request with a failure. Before any byte was sent it is an
// error response; inside a stream it is a last event, after which the
// connection must be aborted.
func (c *Caller) Fail(failure *types.Failure) {
	if c.broken {
		return
	}
	if !c.committed {
		c.committed = true
		WriteFailure(c.writer, c.requestID, c.withNames(failure))
		return
	}
	c.broken = true
	if !c.streaming {
		return
	}
	event := append([]byte("data: "), failureBody(c.requestID, failure)...)
	event = append(event, "\n\n"...)
	_ = c.write(event)
	_ = c.control.Flush()
}

// begin sends the head of an answer.
func (c *Caller) begin(status int, header http.Header) {
	own := c.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	setHeader(own, types.HeaderRequestID, string(c.requestID))
	c.committed = true
	c.writer.WriteHeader(status)
}

// write sends bytes within the write timeout.
func (c *Caller) write(data []byte) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	if _, err := c.writer.Write(data); err != nil {
		c.broken = true
		return eris.Wrap(err, "write to caller")
	}
	return nil
}

// flush sends what was written so far.
func (c *Caller) flush() error {
	if err := c.control.Flush(); err != nil {
		c.broken = true
		return eris.Wrap(err, "flush to caller")
	}
	return nil
}

// setHeader sets a header field whose name may not be in canonical form.
func setHeader(header http.Header, name, value string) {
	header[http.CanonicalHeaderKey(name)] = []string{value}
}
