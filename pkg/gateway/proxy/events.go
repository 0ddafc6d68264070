package proxy

import (
	"bytes"
	"errors"
	"io"
)

// Limits of streams.
const (
	eventReadBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// errPartialEvent means that a stream ended inside an event.
var errPartialEvent = errors.New("stream ended inside an event")

// errEventTooLarge means that one event exceeds the limit.
var errEventTooLarge = errors.New("event exceeds the size limit")

// eventReader returns the whole events of a stream as they arrive.
type eventReader struct {
	source io.Reader
	held   []byte
	// used is the length of what the last call returned.
	used int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source}
}

// next returns one or more whole events, valid until the next call. It returns
// io.EOF when the stream ended properly after a whole event.
func (r *eventReader) next() ([]byte, error) {
	r.held = append(r.held[:0], r.held[r.used:]...)
	r.used = 0
	for {
		if end := lastEventEnd(r.held); end > 0 {
			r.used = end
			return r.held[:end], nil
		}
		if len(r.held) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more bytes. An end inside an event is an error.
func (r *eventReader) fill() error {
	start := len(r.held)
	r.held = append(r.held, make([]byte, eventReadBytes)...)
	n, err := r.source.Read(r.held[start:])
	r.held = r.held[:start+n]
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) && len(r.held) > 0 {
		return errPartialEvent
	}
	return err
}

// lastEventEnd returns the index after the last empty line; 0 when there is
// none.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+len("\r\n\r\n"))
	}
	return end
}

// eachEvent calls visit for each event in a run of whole events.
func eachEvent(events []byte, visit func(event []byte)) {
	for len(events) > 0 {
		at := bytes.Index(events, []byte("\n\n"))
		size := len("\n\n")
		if crlf := bytes.Index(events, []byte("\r\n\r\n")); crlf >= 0 && (at < 0 || crlf < at) {
			at, size = crlf, len("\r\n\r\n")
		}
		if at < 0 {
			return
		}
		visit(events[:at+size])
		events = events[at+size:]
	}
}
