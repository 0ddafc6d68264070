package try

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// asked is one question to the model service.
type asked struct {
	content string
	rank    string
	tokens  int
	stream  bool
}

// answer is what a caller received.
type answer struct {
	asked    asked
	status   int
	verdict  string
	servedBy string
	body     string
	first    time.Duration
	took     time.Duration
}

// whole reports whether the answer is the whole one to its own question.
func (a answer) whole() bool {
	if a.status != http.StatusOK {
		return false
	}
	if a.asked.stream && !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		return false
	}
	rest := a.body
	for _, token := range engine.Tokens(a.asked.content, a.asked.tokens) {
		_, after, found := strings.Cut(rest, token)
		if !found {
			return false
		}
		rest = after
	}
	return true
}

// message and body are an OpenAI-style request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type body struct {
	Model     types.ServiceName `json:"model"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Messages  []message         `json:"messages"`
}

// opened is an answer whose body is still to be read.
type opened struct {
	asked   asked
	started time.Time
	resp    *http.Response
}

// ask sends a question and reads the whole answer.
func ask(ctx context.Context, entry *deployment.Entry, question asked) (answer, error) {
	stream, err := open(ctx, entry, question)
	if err != nil {
		return answer{}, err
	}
	return stream.read()
}

// open sends a question and returns when the answer begins.
func open(ctx context.Context, entry *deployment.Entry, question asked) (*opened, error) {
	data, err := json.Marshal(body{
		Model: deployment.Model, MaxTokens: question.tokens, Stream: question.stream,
		Messages: []message{{Role: "user", Content: question.content}},
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode question")
	}
	header := http.Header{types.HeaderRank: {question.rank}, "Content-Type": {"application/json"}}
	started := time.Now()
	resp, err := call(ctx, http.MethodPost, entry.URL()+"/v1/chat/completions", header, data)
	if err != nil {
		return nil, err
	}
	return &opened{asked: question, started: started, resp: resp}, nil
}

func call(ctx context.Context, method, url string, header http.Header, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Credential)
	resp, err := http.DefaultClient.Do(req)
	return resp, eris.Wrap(err, "call entry")
}

func (o *opened) read() (answer, error) {
	defer func() { _ = o.resp.Body.Close() }()
	got := answer{
		asked: o.asked, status: o.resp.StatusCode, first: time.Since(o.started),
		servedBy: o.resp.Header.Get(types.HeaderServedBy), verdict: o.resp.Header.Get(types.HeaderVerdict),
	}
	data, err := io.ReadAll(o.resp.Body)
	if err != nil {
		return answer{}, eris.Wrap(err, "read answer")
	}
	got.body, got.took = string(data), time.Since(o.started)
	if got.verdict == "" {
		got.verdict = o.resp.Trailer.Get(types.HeaderVerdict)
	}
	return got, nil
}

// fetchEntries returns the addresses that an entry names to callers.
func fetchEntries(ctx context.Context, entry *deployment.Entry) ([]string, error) {
	got, err := fetchAnswer(ctx, entry)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(got.Entries))
	for _, one := range got.Entries {
		addresses = append(addresses, one.Address)
	}
	return addresses, nil
}

func fetchTicket(ctx context.Context, entry *deployment.Entry) (string, error) {
	got, err := fetchAnswer(ctx, entry)
	return got.Ticket, err
}

func fetchAnswer(ctx context.Context, entry *deployment.Entry) (ingress.EntriesResponse, error) {
	var got ingress.EntriesResponse
	resp, err := call(ctx, http.MethodGet, entry.URL()+"/v1/entries", nil, nil)
	if err != nil {
		return got, err
	}
	defer func() { _ = resp.Body.Close() }()
	return got, eris.Wrap(json.NewDecoder(resp.Body).Decode(&got), "read entries")
}

// sendOrder sends the order under its ticket.
func sendOrder(ctx context.Context, entry *deployment.Entry, ticket string) (answer, error) {
	header := http.Header{types.HeaderIdempotencyKey: {ticket}, "Content-Type": {"application/json"}}
	started := time.Now()
	url := entry.URL() + "/v1/services/" + string(deployment.Orders) + "/orders"
	resp, err := call(ctx, http.MethodPost, url, header, []byte(`{"liner":"0.75 mm","pieces":2}`))
	if err != nil {
		return answer{}, err
	}
	return (&opened{started: started, resp: resp}).read()
}
