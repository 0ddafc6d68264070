package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxBodyBytes bounds one request body.
const maxBodyBytes = 16 << 20

// defaultTokens is the length of an answer when the request sets none.
const defaultTokens = 16

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the part of an OpenAI-style request that the engine
// understands.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func (c completionRequest) prompt() string {
	var text strings.Builder
	text.WriteString(c.Prompt)
	for _, m := range c.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

// choice is one choice of an answer, whole or streamed, chat or completion.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage counts tokens.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is an answer or one event of a streamed answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Tokens returns the tokens of the engine's answer to a prompt. Each request
// gets its own text, so that a caller can tell whether the answer is its own.
func Tokens(prompt string, count int) []string {
	tokens := make([]string, count)
	mark := xxhash.Sum64String(prompt)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%x.%d ", mark, i)
	}
	return tokens
}

// run is one request while the engine works on it.
type run struct {
	engine  *Engine
	w       http.ResponseWriter
	ctx     context.Context
	now     condition
	body    completionRequest
	chat    bool
	tokens  []string
	offset  int
	attempt string
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	now := e.condition()
	if now.leaving {
		w.Header().Set(types.HeaderLeaving, "true")
		w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	var body completionRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
	if err != nil {
		w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
		http.Error(w, "unreadable request", http.StatusBadRequest)
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultTokens
	}
	work := &run{
		engine:  e,
		w:       w,
		ctx:     r.Context(),
		now:     now,
		body:    body,
		chat:    strings.Contains(r.URL.Path, "chat"),
		tokens:  Tokens(body.prompt(), body.MaxTokens),
		attempt: r.Header.Get(types.HeaderAttemptID),
	}
	if !e.queue.acquire(r.Context(), rankOf(r)) {
		return
	}
	defer e.queue.release()
	work.start(r)
}

func rankOf(r *http.Request) types.Rank {
	number, err := strconv.Atoi(r.Header.Get(types.HeaderPriority))
	if err != nil || number < 0 || number >= types.RankCount {
		return types.RankPatient
	}
	return types.Rank(number)
}

// start runs the request in its slot.
func (c *run) start(r *http.Request) {
	e := c.engine
	prompt := c.body.prompt()
	e.mu.Lock()
	e.served[types.RequestID(r.Header.Get(types.HeaderRequestID))]++
	prefixes := request.PrefixHashes(prompt)
	cached := e.cache.take(prefixes, time.Now())
	e.mu.Unlock()
	if e.opts.CrashOnMark && strings.Contains(prompt, CrashMark) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if c.now.fault == FaultHang {
		c.wait(time.Hour)
	}
	c.wait(time.Duration(len(prefixes)-cached) * e.opts.BlockPrefill)
	if c.now.fault == FaultCrossed {
		c.attempt = "crossed"
	}
	c.w.Header().Set(types.HeaderAttemptID, c.attempt)
	if c.now.fault == FaultGarbage {
		_, _ = c.w.Write([]byte("\x00 not JSON"))
		return
	}
	c.resume(r)
	if c.body.Stream {
		c.stream()
		return
	}
	c.whole()
}

// resume honours the resume header where the engine can.
func (c *run) resume(r *http.Request) {
	asked := r.Header.Get(types.HeaderResumeOffset)
	offset, err := strconv.Atoi(asked)
	if err != nil || !c.engine.opts.CanResume || offset < 0 || offset > len(c.tokens) {
		return
	}
	c.offset = offset
	c.w.Header().Set(types.HeaderResumeOffset, asked)
}

// wait lets time pass; a crash or the caller's leaving ends the request.
func (c *run) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.now.dead:
		panic(http.ErrAbortHandler)
	case <-c.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (c *run) whole() {
	c.wait(time.Duration(len(c.tokens)) * c.engine.opts.TokenInterval)
	answer := c.event("chat.completion", "text_completion")
	text := strings.Join(c.tokens[c.offset:], "")
	stop := "stop"
	answer.Choices = []choice{{FinishReason: &stop}}
	if c.chat {
		answer.Choices[0].Message = &message{Role: "assistant", Content: text}
	} else {
		answer.Choices[0].Text = text
	}
	prompt := len(c.body.prompt())
	answer.Usage = &usage{PromptTokens: prompt, CompletionTokens: len(c.tokens), TotalTokens: prompt + len(c.tokens)}
	data, _ := json.Marshal(answer)
	c.w.Header().Set("Content-Type", "application/json")
	switch c.now.fault {
	case FaultTruncated:
		_, _ = c.w.Write(data[:len(data)/2])
		return
	case FaultCut:
		c.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = c.w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	c.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = c.w.Write(data)
}

func (c *run) stream() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := c.w.(http.Flusher)
	for i := c.offset; i < len(c.tokens); i++ {
		c.wait(c.engine.opts.TokenInterval)
		if c.broken(i) {
			return
		}
		c.writeEvent(c.token(i))
		if flusher != nil {
			flusher.Flush()
		}
	}
	_, _ = c.w.Write([]byte("data: [DONE]\n\n"))
}

// broken shows the faults that end a stream half way.
func (c *run) broken(i int) bool {
	if i < len(c.tokens)/2 {
		return false
	}
	switch c.now.fault {
	case FaultTruncated:
		return true
	case FaultCut:
		panic(http.ErrAbortHandler)
	}
	return false
}

func (c *run) token(i int) completion {
	answer := c.event("chat.completion.chunk", "text_completion")
	piece := choice{}
	if c.chat {
		piece.Delta = &message{Role: "assistant", Content: c.tokens[i]}
	} else {
		piece.Text = c.tokens[i]
	}
	if i == len(c.tokens)-1 {
		stop := "stop"
		piece.FinishReason = &stop
	}
	answer.Choices = []choice{piece}
	return answer
}

func (c *run) event(chatObject, plainObject string) completion {
	object := plainObject
	if c.chat {
		object = chatObject
	}
	return completion{ID: "cmpl-" + c.attempt, Object: object, Created: time.Now().Unix(), Model: c.body.Model}
}

func (c *run) writeEvent(event completion) {
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(c.w, "data: %s\n\n", data)
}
