package graceful

import (
	"bytes"
	"sync"
)

// Memory that the HTTP server takes for a request head while it reads it, in bytes.
const (
	// bytesPerHeadByte: the line buffer and the text of the header.
	bytesPerHeadByte = 2
	// bytesPerHeadLine: the entry of a header field in its map and the slice of its values.
	bytesPerHeadLine = 128
)

// Heads bounds the memory of the request heads that the servers of a process hold: those
// that are being read and those of requests that are being served. Beyond the bound the
// connections with the largest heads that are not complete are closed. It is safe for
// concurrent use.
type Heads struct {
	// limit is in bytes.
	limit int64

	mu   sync.Mutex
	held int64
	open map[*conn]*head
}

// head is the account of the head of a connection's request.
type head struct {
	// bytes is the memory that it takes.
	bytes int64
	// complete is true while the request is served.
	complete bool
	// yielding is true while the connection is about to be closed: its memory no longer counts.
	yielding bool
}

// NewHeads returns a bound of a number of bytes; zero means no limit.
func NewHeads(limit int64) *Heads {
	return &Heads{limit: limit, open: make(map[*conn]*head)}
}

// headMemory returns the memory that the HTTP server takes for a part of a head, in bytes. What
// follows the end of the head, such as the begin of a body, does not count.
func headMemory(part []byte) int64 {
	for _, end := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		if at := bytes.Index(part, end); at >= 0 {
			part = part[:at+1]
		}
	}
	return int64(len(part)*bytesPerHeadByte + bytes.Count(part, []byte{'\n'})*bytesPerHeadLine)
}

// track begins the account of a connection.
func (h *Heads) track(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[c] = &head{}
}

// forget ends the account of a connection.
func (h *Heads) forget(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if account := h.open[c]; account != nil {
		h.held -= account.counted()
		delete(h.open, c)
	}
}

// counted returns the memory that counts.
func (a *head) counted() int64 {
	if a.yielding {
		return 0
	}
	return a.bytes
}

// grow adds memory to the head of a connection and returns the connections that have to be
// closed for it, whose memory counts no longer. The given one is among them if no other is left.
func (h *Heads) grow(c *conn, memory int64) []*conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	account := h.open[c]
	if account == nil || account.yielding {
		return nil // the connection has ended or is about to
	}
	account.bytes += memory
	h.held += memory
	var closing []*conn
	for h.limit > 0 && h.held > h.limit {
		largest := h.largestIncomplete()
		if largest == nil {
			break
		}
		h.held -= h.open[largest].bytes
		h.open[largest].yielding = true
		closing = append(closing, largest)
	}
	return closing
}

// largestIncomplete returns the connection whose incomplete head takes most memory; nil if
// there is none. The caller holds the lock.
func (h *Heads) largestIncomplete() *conn {
	var largest *conn
	most := int64(0)
	for c, account := range h.open {
		if !account.complete && !account.yielding && account.bytes > most {
			largest, most = c, account.bytes
		}
	}
	return largest
}

// complete records that the head of a connection has arrived as a whole. Its memory stays in
// the account until the response.
func (h *Heads) complete(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if account := h.open[c]; account != nil {
		account.complete = true
	}
}

// keep records that a connection that grow returned was not closed, since its request has
// arrived as a whole: its memory counts until the response.
func (h *Heads) keep(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if account := h.open[c]; account != nil && account.yielding {
		account.yielding, account.complete = false, true
		h.held += account.bytes
	}
}

// reset records that the response to a connection's request ends, or that the connection waits
// for its next head.
func (h *Heads) reset(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if account := h.open[c]; account != nil {
		h.held -= account.counted()
		*account = head{}
	}
}
