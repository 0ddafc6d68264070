package explain

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of a question.
const (
	// maxQueryBytes bounds a question as it is sent.
	maxQueryBytes = 8 << 10
	maxParts      = 64
	maxTokens     = 100_000_000
)

// Encode returns the question as a query.
func (q Question) Encode() url.Values {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("method", q.Method)
	set("host", q.Host)
	set("path", q.Path)
	set("organisation", string(q.Organisation))
	set("region", string(q.Region))
	values.Set("tokens", strconv.Itoa(q.PromptTokens))
	values.Set("output", strconv.Itoa(q.OutputTokens))
	for _, part := range q.Parts {
		values.Add("part", part.ID+":"+strconv.Itoa(part.Tokens))
	}
	return values
}

// Decode reads a question from a query. An error names the field that can't be used.
func Decode(raw string) (Question, error) {
	if len(raw) > maxQueryBytes {
		return Question{}, eris.Errorf("the question has %d bytes, at most %d are read", len(raw), maxQueryBytes)
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return Question{}, eris.New("the question is no query")
	}
	q := Question{
		Method: values.Get("method"), Host: values.Get("host"), Path: values.Get("path"),
		Organisation: types.OrgName(values.Get("organisation")), Region: types.Region(values.Get("region")),
	}
	if q.Method == "" {
		q.Method = http.MethodPost
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return Question{}, eris.New("host and path are needed; a path begins with a slash")
	}
	if q.PromptTokens, err = tokens(values.Get("tokens")); err != nil {
		return Question{}, eris.Wrap(err, "tokens")
	}
	if q.OutputTokens, err = tokens(values.Get("output")); err != nil {
		return Question{}, eris.Wrap(err, "output")
	}
	q.Parts, err = ParseParts(values["part"])
	return q, err
}

// ParseParts reads parts of a prompt, each as ID:TOKENS.
func ParseParts(texts []string) ([]Part, error) {
	if len(texts) > maxParts {
		return nil, eris.Errorf("%d parts, at most %d are read", len(texts), maxParts)
	}
	var parts []Part
	for _, text := range texts {
		id, count, found := strings.Cut(text, ":")
		number, err := tokens(count)
		if !found || id == "" || strings.ContainsAny(id, ", \r\n") || err != nil {
			return nil, eris.Errorf("part %q is not ID:TOKENS", text)
		}
		parts = append(parts, Part{ID: id, Tokens: number})
	}
	return parts, nil
}

// tokens reads a number of tokens; nothing counts as zero.
func tokens(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > maxTokens {
		return 0, eris.Errorf("%q is no number from 0 to %d", text, maxTokens)
	}
	return count, nil
}
