// Package adminclient asks the administration APIs of several daemons at once.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingomount/flamingomount/pkg/admin"
)

const (
	// DefaultTimeout bounds the call of one daemon.
	DefaultTimeout = 5 * time.Second
	// maxAtOnce bounds the daemons that are asked at the same time.
	maxAtOnce = 32
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
)

// Fleet asks a list of daemons.
type Fleet struct {
	// Addresses are base addresses, for example "http://10.0.0.2:8081".
	Addresses []string
	// Credential is the administrator's credential.
	Credential string
	// Timeout bounds the call of one daemon; zero means DefaultTimeout.
	Timeout time.Duration
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
}

// Call is what to ask each daemon.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
}

// Reply is what one daemon answered.
type Reply[T any] struct {
	Address string `json:"address"`
	Answer  *T     `json:"answer,omitempty"`
	// Error says why there is no answer; empty when there is one.
	Error string `json:"error,omitempty"`
}

// Ask calls every daemon of the fleet and returns a reply for each, in the
// order of the addresses. A daemon that does not answer has a reply too.
func Ask[T any](ctx context.Context, fleet Fleet, call Call) []Reply[T] {
	replies := make([]Reply[T], len(fleet.Addresses))
	workers := pool.New().WithMaxGoroutines(maxAtOnce)
	for i, address := range fleet.Addresses {
		workers.Go(func() {
			replies[i] = askOne[T](ctx, fleet, address, call)
		})
	}
	workers.Wait()
	return replies
}

func askOne[T any](ctx context.Context, fleet Fleet, address string, call Call) Reply[T] {
	timeout := fleet.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer T
	err := fleet.do(ctx, address, call, &answer)
	if err != nil {
		return Reply[T]{Address: address, Error: err.Error()}
	}
	return Reply[T]{Address: address, Answer: &answer}
}

func (f Fleet) do(ctx context.Context, address string, call Call, into any) error {
	target := address + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+f.Credential)
	client := f.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	if resp.StatusCode != http.StatusOK {
		return problemOf(resp.StatusCode, body)
	}
	return eris.Wrap(json.NewDecoder(body).Decode(into), "read answer")
}

func problemOf(status int, body io.Reader) error {
	var problem admin.Problem
	err := json.NewDecoder(body).Decode(&problem)
	if err != nil || problem.Message == "" {
		return eris.Errorf("status %d", status)
	}
	return eris.Errorf("%s: %s", problem.Code, problem.Message)
}
