package ingress

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// bytesPerToken is the usual length of a token of prompt text.
const bytesPerToken = 4

// defaultOutputTokens is the estimate for a request that sets no bound.
const defaultOutputTokens = 256

// budget bounds a quantity that requests hold while they are handled.
type budget struct {
	limit int64
	used  atomic.Int64
}

// take reserves n and reports whether there was room.
func (b *budget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *budget) release(n int64) {
	b.used.Add(-n)
}

// modelBody is the part of an OpenAI-style request body that routing needs.
type modelBody struct {
	Model               types.ServiceName `json:"model"`
	Version             string            `json:"version"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Prompt              promptText        `json:"prompt"`
	Messages            []modelMessage    `json:"messages"`
}

type modelMessage struct {
	Content promptText `json:"content"`
}

// promptText is text given as a string, or as a list of strings or of parts.
type promptText string

type promptPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON reads any of the forms; what is no text counts as empty.
func (p *promptText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*p = promptText(text)
		return nil
	}
	var parts []promptPart
	if json.Unmarshal(data, &parts) == nil {
		for _, part := range parts {
			*p += promptText(part.Text)
		}
		return nil
	}
	var texts []string
	if json.Unmarshal(data, &texts) == nil {
		*p = promptText(strings.Join(texts, ""))
	}
	return nil
}

func (b *modelBody) prompt() string {
	if len(b.Messages) == 1 && b.Prompt == "" {
		return string(b.Messages[0].Content)
	}
	var text strings.Builder
	text.WriteString(string(b.Prompt))
	for i := range b.Messages {
		text.WriteString(string(b.Messages[i].Content))
	}
	return text.String()
}

func (b *modelBody) outputTokens() int {
	switch {
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	case b.MaxTokens > 0:
		return b.MaxTokens
	default:
		return defaultOutputTokens
	}
}

// parseModelBody reads a request body of a model service.
func parseModelBody(data []byte) (*modelBody, *types.Failure) {
	body := new(modelBody)
	if err := json.Unmarshal(data, body); err != nil {
		return nil, badRequest("the body is not a JSON object as this call takes it: " + jsonProblem(err))
	}
	if body.Model == "" {
		return nil, badRequest(`the body names no model: set the field "model"`)
	}
	return body, nil
}

// jsonProblem describes a JSON error without repeating the caller's data.
func jsonProblem(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return "syntax error at byte " + strconv.FormatInt(syntax.Offset, 10)
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return "field " + strconv.Quote(clip(wrongType.Field)) + " must be a " + wrongType.Type.Kind().String() + ", got " + clip(wrongType.Value)
	}
	return "unreadable"
}

// readBody receives a body of at most limit bytes within the timeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, *types.Failure) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, bodyFailure(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads to the end; size is the expected length or negative.
func readAll(source io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(source)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(source, body)
	return body, err
}

func tooLarge(limit int64) *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeTooLarge,
		"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

func bodyFailure(err error, limit int64) *types.Failure {
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return tooLarge(limit)
	}
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		failure := badRequest("the body was sent too slowly")
		failure.Status = http.StatusRequestTimeout
		return failure
	}
	failure := badRequest("the body ended early")
	failure.Cause = err
	return failure
}
