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

// eventReader returns complete events of a stream as they arrive.
type eventReader struct {
	source io.Reader
	buf    []byte
	// consumed is the number of bytes that the last call returned.
	consumed int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source}
}

// next returns one or more complete events, valid until the next call. It
// returns io.EOF if the stream ended after a complete event.
func (r *eventReader) next() ([]byte, error) {
	r.buf = append(r.buf[:0], r.buf[r.consumed:]...)
	r.consumed = 0
	for {
		if end := lastEventEnd(r.buf); end > 0 {
			r.consumed = end
			return r.buf[:end], nil
		}
		if len(r.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more bytes. It returns errPartialEvent if the stream ends inside an
// event.
func (r *eventReader) fill() error {
	start := len(r.buf)
	r.buf = append(r.buf, make([]byte, eventReadBytes)...)
	n, err := r.source.Read(r.buf[start:])
	r.buf = r.buf[:start+n]
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) && len(r.buf) > 0 {
		return errPartialEvent
	}
	return err
}

// lastEventEnd returns the index after the last empty line, or 0 if there is
// none.
func lastEventEnd(data []byte) int {
	end := 0
	if index := bytes.LastIndex(data, []byte("\n\n")); index >= 0 {
		end = index + len("\n\n")
	}
	if index := bytes.LastIndex(data, []byte("\r\n\r\n")); index >= 0 {
		end = max(end, index+len("\r\n\r\n"))
	}
	return end
}

// eachEvent calls visit for each event in a sequence of complete events.
func eachEvent(events []byte, visit func(event []byte)) {
	for len(events) > 0 {
		index := bytes.Index(events, []byte("\n\n"))
		separatorLen := len("\n\n")
		if crlf := bytes.Index(events, []byte("\r\n\r\n")); crlf >= 0 && (index < 0 || crlf < index) {
			index, separatorLen = crlf, len("\r\n\r\n")
		}
		if index < 0 {
			return
		}
		visit(events[:index+separatorLen])
		events = events[index+separatorLen:]
	}
}
