package relay

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// drainTimeout bounds the wait for the end of a response whose last event has
// already arrived.
const drainTimeout = time.Second

// End tells how the relaying of one answer ended.
type End uint8

// The ways an answer ends.
const (
	// EndComplete: the whole answer reached the caller's connection.
	EndComplete End = iota
	// EndSource: the endpoint's side broke off or was not valid.
	EndSource
	// EndCaller: the caller's side is gone or too slow.
	EndCaller
)

// Result is the outcome of relaying one attempt's answer.
type Result struct {
	End End
	// Err says why the answer is not whole; nil for EndWhole.
	Err error
	// Tokens is the number of token events that were passed on.
	Tokens int
	// Resumable is true when Tokens is a place at which an engine can resume:
	// each event that was passed on since the first token carried one token
	// of the only choice.
	Resumable bool
}

// ErrStreamFailed means that the endpoint reported an error inside its stream.
var ErrStreamFailed = errors.New("endpoint reported an error inside the stream")

// chunk is the part of a stream's event that relaying looks at.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Text  string     `json:"text"`
	Delta chunkDelta `json:"delta"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

// hasToken reports whether the event carries generated text.
func (c *chunk) hasToken() bool {
	for i := range c.Choices {
		if c.Choices[i].Text != "" || c.Choices[i].Delta.Content != "" {
			return true
		}
	}
	return false
}

// reset empties the chunk and keeps its memory.
func (c *chunk) reset() {
	clear(c.Choices)
	c.Choices = c.Choices[:0]
	c.Error = c.Error[:0]
}

// Stream passes the events of a response on to the caller. Nothing is sent to
// the caller before the first whole event arrived, and no part of an event is
// ever sent. cancel ends the attempt; it is called when the response is idle
// for too long.
func (c *Caller) Stream(response *http.Response, cancel func()) Result {
	idle := time.AfterFunc(c.limits.IdleTimeout, cancel)
	defer idle.Stop()
	s := stream{
		caller: c,
		header: response.Header,
		reader: NewEventReader(response.Body, c.limits.MaxEventBytes),
	}
	for {
		event, err := s.reader.Next()
		if err != nil {
			return s.result(EndSource, eris.Wrap(err, "read stream"))
		}
		idle.Reset(c.limits.IdleTimeout)
		done, result := s.pass(event)
		if done {
			idle.Reset(drainTimeout)
			return result
		}
	}
}

// stream is the relaying of one response.
type stream struct {
	caller *Caller
	header http.Header
	reader *EventReader
	chunk  chunk
	tokens int
	// irregular is true once an event was passed on after which the number
	// of tokens does not tell how far the engine is.
	irregular bool
}

// pass sends one event on and reports whether the stream is over.
func (s *stream) pass(event Event) (bool, Result) {
	terminal := event.Terminal()
	if !terminal {
		if err := s.check(event); err != nil {
			return true, s.result(EndSource, err)
		}
	}
	if err := s.send(event.Raw, terminal); err != nil {
		return true, s.result(EndCaller, err)
	}
	if terminal {
		s.drain()
		return true, s.result(EndComplete, nil)
	}
	return false, Result{}
}

// check refuses events that are not of the promised format and counts tokens.
func (s *stream) check(event Event) error {
	if event.Data == nil {
		return nil
	}
	s.chunk.reset()
	if err := json.Unmarshal(event.Data, &s.chunk); err != nil {
		return ErrInvalidFormat
	}
	if len(s.chunk.Error) > 0 && string(s.chunk.Error) != "null" {
		return ErrStreamFailed
	}
	s.count()
	return nil
}

// count counts the event's token.
func (s *stream) count() {
	token := s.chunk.hasToken()
	if len(s.chunk.Choices) > 1 || (!token && s.tokens > 0) {
		s.irregular = true
	}
	if token {
		s.tokens++
	}
}

func (s *stream) send(raw []byte, terminal bool) error {
	c := s.caller
	if !c.committed {
		c.streaming = true
		c.begin(http.StatusOK, ResponseHeader(s.header, true))
	}
	if err := c.write(raw); err != nil {
		return err
	}
	if !terminal && s.reader.Buffered() > 0 {
		return nil
	}
	return c.flush()
}

// drain waits for the proper end of the response, so that its connection can
// be used again.
func (s *stream) drain() {
	_, _ = s.reader.source.Peek(1)
}

func (s *stream) result(end End, err error) Result {
	return Result{End: end, Err: err, Tokens: s.tokens, Resumable: !s.irregular && s.tokens > 0}
}
