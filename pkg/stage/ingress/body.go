package ingress

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// bytesPerToken is the typical size of a prompt token in bytes. It is used to
// estimate the number of input tokens.
const bytesPerToken = 4

// defaultOutputTokens is the estimated number of output tokens of a request
// that sets neither max_completion_tokens nor max_tokens.
const defaultOutputTokens = 256

// modelBody holds the fields of an OpenAI-style request body that routing needs.
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

// promptText is prompt text that the body gives as a string, a list of strings
// or a list of content parts.
type promptText string

type promptPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON decodes any of these forms. Any other value is treated as empty
// text, without an error.
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

// parseModelBody decodes the body of a request to a model service. It fails if
// the body is not valid JSON or names no model.
func parseModelBody(data []byte) (*modelBody, *types.Failure) {
	body := new(modelBody)
	if err := json.Unmarshal(data, body); err != nil {
		return nil, badRequest("the body is not a JSON object as this call takes it: " + describeJSONError(err))
	}
	if body.Model == "" {
		return nil, badRequest(`the body names no model: set the field "model"`)
	}
	return body, nil
}

// describeJSONError describes a JSON decoding error without repeating the
// caller's data.
func describeJSONError(err error) string {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return "syntax error at byte " + strconv.FormatInt(syntaxErr.Offset, 10)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		// A number follows its type.
		got, _, _ := strings.Cut(typeErr.Value, " ")
		return "field " + strconv.Quote(clip(typeErr.Field)) + " must be a " + typeErr.Type.Kind().String() + ", got " + got
	}
	return "unreadable"
}

func tooLarge(limit int64) *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeTooLarge,
		"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// bodyFailure returns the failure of a request whose body was not received.
func bodyFailure(err error, limit int64) *types.Failure {
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		return tooLarge(limit)
	case errors.Is(err, bodies.ErrNoMemory), errors.Is(err, bodies.ErrYielded):
		return overloaded(err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		failure := badRequest("the body was sent too slowly")
		failure.Status = http.StatusRequestTimeout
		return failure
	}
	failure := badRequest("the body ended early")
	failure.Cause = err
	return failure
}
