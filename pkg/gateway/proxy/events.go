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
	// maxEmptyBytes bounds a run of empty lines, which are no events.
	maxEmptyBytes = 64 << 10
)

// errPartialEvent means that a stream ended inside an event.
var errPartialEvent = errors.New("stream ended inside an event")

// errEventTooLarge means that one event, or a run of empty lines, exceeds its limit.
var errEventTooLarge = errors.New("event exceeds the size limit")

// eventReader returns complete events of a stream as they arrive.
type eventReader struct {
	source io.Reader
	buf    []byte
	// consumed is the number of bytes that the last call returned.
	consumed int
	// emptyBytes is the length of the run of empty lines that the last call ended in.
	emptyBytes int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source}
}

// next returns one or more complete events, valid until the next call. It
// returns io.EOF if the stream ended after a complete event. Events that come with an
// error are not to be used.
func (r *eventReader) next() ([]byte, error) {
	r.buf = append(r.buf[:0], r.buf[r.consumed:]...)
	r.consumed = 0
	searched := 0
	for {
		if end := lastEventEnd(r.buf, searched); end > 0 {
			r.consumed = end
			return r.buf[:end], r.countEmpty(r.buf[:end])
		}
		if len(r.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		searched = len(r.buf)
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// countEmpty returns an error if the events end in a run of empty lines that is too
// long, begun by those before.
func (r *eventReader) countEmpty(events []byte) error {
	content := bytes.TrimRight(events, lineEnds)
	if len(content) > 0 {
		r.emptyBytes = 0
	}
	r.emptyBytes += len(events) - len(content)
	if r.emptyBytes > maxEmptyBytes {
		return errEventTooLarge
	}
	return nil
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

// lineEnds holds the characters that end lines.
const lineEnds = "\r\n"

// lastEventEnd returns the index after the last empty line, or 0 if there is none
// among the bytes that follow those that were searched before.
func lastEventEnd(data []byte, searched int) int {
	start := max(searched-len("\r\n\r\n")+1, 0)
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if index := bytes.LastIndex(data[start:], []byte(separator)); index >= 0 {
			end = max(end, start+index+len(separator))
		}
	}
	return end
}

// eachEvent calls visit for each event in a sequence of complete events; an empty line
// that follows another one counts as an event of its own.
func eachEvent(events []byte, visit func(event []byte)) {
	start := 0
	for line := 0; line < len(events); {
		length := bytes.IndexByte(events[line:], '\n') + 1
		if length == 0 {
			return
		}
		empty := length == len("\n") || length == len("\r\n") && events[line] == '\r'
		line += length
		if empty {
			visit(events[start:line])
			start = line
		}
	}
}
