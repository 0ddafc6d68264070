package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferBytes is the size of the read buffer for an endpoint's stream.
const readBufferBytes = 4 << 10

// terminalData is the data of the last event of a stream.
var terminalData = []byte("[DONE]")

var dataField = []byte("data:")

// Errors of an event stream.
var (
	// ErrTruncated: the stream ended before its last event.
	ErrTruncated = errors.New("stream ended without its terminal event")
	// ErrEventTooLarge: one event exceeds the limit.
	ErrEventTooLarge = errors.New("event exceeds the size limit")
	// ErrInvalidFormat: the response does not have the expected format.
	ErrInvalidFormat = errors.New("answer is not of the promised format")
)

// Event is one server-sent event. Its slices are valid until the next call of
// EventReader.Next.
type Event struct {
	// Raw is the event as received, with its closing empty line.
	Raw []byte
	// Data is the content of its data lines, joined by newlines; nil for an
	// event that has none, such as a comment.
	Data []byte
}

// Terminal reports whether the event ends the stream.
func (e Event) Terminal() bool {
	return bytes.Equal(e.Data, terminalData)
}

// EventReader splits a stream into server-sent events.
type EventReader struct {
	source *bufio.Reader
	limit  int
	raw    []byte
	data   []byte
}

// NewEventReader reads events of at most limit bytes from source.
func NewEventReader(source io.Reader, limit int) *EventReader {
	return &EventReader{source: bufio.NewReaderSize(source, readBufferBytes), limit: limit}
}

// Buffered returns the number of bytes that were received but not yet parsed.
func (r *EventReader) Buffered() int {
	return r.source.Buffered()
}

// Next returns the next complete event. It returns ErrTruncated when the stream
// ends, also between two events, ErrEventTooLarge, or the source's error.
func (r *EventReader) Next() (Event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	hasData := false
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) > 0 {
			hasData = r.appendData(line, hasData)
			continue
		}
		if start == 0 {
			r.raw = r.raw[:0]
			continue
		}
		event := Event{Raw: r.raw}
		if hasData {
			event.Data = r.data
		}
		return event, nil
	}
}

// appendData appends the content of line to r.data if it is a data line. It
// reports whether the event has data so far.
func (r *EventReader) appendData(line []byte, hasData bool) bool {
	content, isData := bytes.CutPrefix(line, dataField)
	if !isData {
		return hasData
	}
	if hasData {
		r.data = append(r.data, '\n')
	}
	r.data = append(r.data, bytes.TrimPrefix(content, []byte(" "))...)
	return true
}

// readLine appends one line, including its line ending, to r.raw.
func (r *EventReader) readLine() error {
	for {
		fragment, err := r.source.ReadSlice('\n')
		if len(r.raw)+len(fragment) > r.limit {
			return ErrEventTooLarge
		}
		r.raw = append(r.raw, fragment...)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return ErrTruncated
		default:
			return err
		}
	}
}
