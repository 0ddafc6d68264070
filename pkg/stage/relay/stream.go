package relay

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// drainTimeout bounds the wait for the end of a response whose terminal event has
// already been received.
const drainTimeout = time.Second

// End says how the relaying of one response ended.
type End uint8

// The ways in which relaying a response ends.
const (
	// EndComplete: the complete response was written to the caller's connection.
	EndComplete End = iota
	// EndSource: the endpoint's response was truncated or not valid.
	EndSource
	// EndCaller: the caller disconnected or reads too slowly.
	EndCaller
)

// Result is the outcome of relaying one attempt's response.
type Result struct {
	End End
	// Err says why the response is not complete; nil for EndComplete.
	Err error
	// Tokens is the number of token events that were relayed.
	Tokens int
	// Resumable is true when an engine can resume the stream after Tokens tokens:
	// each event that was relayed since the first token carried one token of the
	// only choice.
	Resumable bool
}

// ErrStreamFailed means that the endpoint reported an error inside its stream.
var ErrStreamFailed = errors.New("endpoint reported an error inside the stream")

// chunk holds the fields of a stream's event that the relay inspects.
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

// reset empties the chunk and keeps its allocated memory.
func (c *chunk) reset() {
	clear(c.Choices)
	c.Choices = c.Choices[:0]
	c.Error = c.Error[:0]
}

// Stream relays the events of a response to the caller. It sends nothing before
// the first complete event has been received, and it sends only complete events.
// cancel ends the attempt; it is called when the response is idle for too long.
// onFirstToken is called once, when the first token event has been sent.
func (c *Caller) Stream(response *http.Response, cancel, onFirstToken func()) Result {
	idle := time.AfterFunc(c.limits.IdleTimeout, cancel)
	defer idle.Stop()
	s := stream{
		caller:       c,
		header:       response.Header,
		reader:       NewEventReader(response.Body, c.limits.MaxEventBytes),
		onFirstToken: onFirstToken,
	}
	for {
		event, err := s.reader.Next()
		if err != nil {
			return s.result(EndSource, eris.Wrap(err, "read stream"))
		}
		idle.Reset(c.limits.IdleTimeout)
		done, result := s.relayEvent(event)
		if done {
			idle.Reset(drainTimeout)
			return result
		}
	}
}

// stream is the state of relaying one response.
type stream struct {
	caller *Caller
	header http.Header
	reader *EventReader
	chunk  chunk
	tokens int
	// onFirstToken is called when the first token event has been sent.
	onFirstToken func()
	// tokenCountUnreliable is true once an event was relayed after which tokens
	// does not give the engine's position.
	tokenCountUnreliable bool
}

// relayEvent sends one event to the caller and reports whether the stream has
// ended.
func (s *stream) relayEvent(event Event) (bool, Result) {
	terminal := event.Terminal()
	tokensBefore := s.tokens
	if !terminal {
		if err := s.validate(event); err != nil {
			return true, s.result(EndSource, err)
		}
	}
	if err := s.send(event.Raw, terminal); err != nil {
		return true, s.result(EndCaller, err)
	}
	if tokensBefore == 0 && s.tokens > 0 {
		s.onFirstToken()
	}
	if terminal {
		s.drain()
		return true, s.result(EndComplete, nil)
	}
	return false, Result{}
}

// validate returns an error for an event that does not have the expected format or
// that reports an error, and counts tokens.
func (s *stream) validate(event Event) error {
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
	s.countToken()
	return nil
}

// countToken counts the event in tokens if it carries generated text, and notes
// whether the count is still a position to resume at.
func (s *stream) countToken() {
	token := s.chunk.hasToken()
	if len(s.chunk.Choices) > 1 || (!token && s.tokens > 0) {
		s.tokenCountUnreliable = true
	}
	if token {
		s.tokens++
	}
}

func (s *stream) send(raw []byte, terminal bool) error {
	c := s.caller
	if !c.committed {
		c.streaming = true
		c.sendHeader(http.StatusOK, ResponseHeader(s.header, true))
	}
	if err := c.write(raw); err != nil {
		return err
	}
	if !terminal && s.reader.Buffered() > 0 {
		return nil
	}
	return c.flush()
}

// drain waits for the end of the response, so that its connection can be reused.
func (s *stream) drain() {
	_, _ = s.reader.source.Peek(1)
}

func (s *stream) result(end End, err error) Result {
	return Result{End: end, Err: err, Tokens: s.tokens, Resumable: !s.tokenCountUnreliable && s.tokens > 0}
}
