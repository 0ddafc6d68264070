package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

const (
	// AskPath is the URL path on which daemons receive questions for credit.
	AskPath = "/gateway/quota"
	// maxAskBytes bounds a question and an answer.
	maxAskBytes = 64 << 10
)

// HTTPAsker asks as JSON over HTTP.
type HTTPAsker struct {
	transport http.RoundTripper
}

var _ Asker = (*HTTPAsker)(nil)

// NewHTTPAsker returns a client that asks through the transport.
func NewHTTPAsker(transport http.RoundTripper) *HTTPAsker {
	return &HTTPAsker{transport: transport}
}

// Ask implements Asker.
func (a *HTTPAsker) Ask(ctx context.Context, to types.VMID, ask Ask) (*Answer, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, eris.Wrap(err, "encode question")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+AskPath, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "question to %s", to)
	}
	response, err := a.transport.RoundTrip(request)
	if err != nil {
		return nil, eris.Wrapf(err, "question to %s", to)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("question to %s: status %d", to, response.StatusCode)
	}
	var answer Answer
	if err := wholebody.DecodeJSON(response.Body, maxAskBytes, &answer); err != nil {
		return nil, eris.Wrapf(err, "answer of %s", to)
	}
	return &answer, nil
}

// ServeAsk handles a question of another daemon.
func (e *Exchange) ServeAsk(w http.ResponseWriter, r *http.Request) {
	body, err := e.opts.Bodies.Receive(w, r, bodies.Limits{Bytes: maxAskBytes, Timeout: askTimeout})
	if err != nil {
		bodies.Refuse(w, err)
		return
	}
	defer body.Release()
	var ask Ask
	if err := json.Unmarshal(body.Bytes(), &ask); err != nil || !ask.valid() {
		http.Error(w, "the question can't be read", http.StatusBadRequest)
		return
	}
	encoded, err := json.Marshal(e.Answer(r.Context(), ask))
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Units of an answer that does not arrive are lost.
	_, _ = w.Write(encoded)
}

func (a *Ask) valid() bool {
	known := a.Scope == quota.Spare || a.Scope == quota.DataCentre || a.Scope == quota.Fleet
	return known && a.Units > 0 && !math.IsInf(a.Units, 0)
}
