package replacement_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// caller follows docs/operate/orders.md: it asks which entry to use, uses the
// ticket of the answer as its idempotency key, keeps that key for the order and
// takes a new one only after not-run or when its only connection was refused.
type caller struct {
	client *http.Client
	// known lists entries that answered, newest answer first.
	known []string
}

func newCaller(entries []*deployment.Entry) *caller {
	c := &caller{client: &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, entry := range entries {
		c.known = append(c.known, entry.Self().CallerAddress)
	}
	return c
}

// response is a whole HTTP answer.
type response struct {
	status  int
	verdict string
	ticket  string
	body    string
	// wait is the Retry-After of a refusal.
	wait time.Duration
}

func (c *caller) call(method, address, path, key, body string) (response, error) {
	return c.callWith(make(http.Header), method, address, path, key, body)
}

func (c *caller) callWith(header http.Header, method, address, path, key, body string) (response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return response{}, err
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+deployment.Credential)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(types.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return response{
		wait: time.Duration(seconds) * time.Second, status: resp.StatusCode, verdict: resp.Header.Get(types.HeaderVerdict),
		ticket: resp.Header.Get(types.HeaderTicket), body: string(data),
	}, err
}

// entries asks the known entries in turn.
func (c *caller) entries() (ingress.EntriesResponse, error) {
	var answer ingress.EntriesResponse
	last := errors.New("no entry is known")
	for _, address := range c.known {
		got, err := c.call(http.MethodGet, address, "/v1/entries", "", "")
		if err == nil && got.status == http.StatusOK {
			err = json.Unmarshal([]byte(got.body), &answer)
			if err == nil && len(answer.Entries) > 0 {
				c.learn(answer)
				return answer, nil
			}
		}
		last = err
	}
	return answer, last
}

const maxKnown = 16

func (c *caller) learn(answer ingress.EntriesResponse) {
	var known []string
	for _, entry := range answer.Entries {
		known = append(known, entry.Address)
	}
	c.known = append(known, c.known...)
	c.known = c.known[:min(len(c.known), maxKnown)]
}

// refused reports whether no connection came about, so that nothing was sent.
func refused(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// placed is how an order ended.
type placed struct {
	key string
	response
	renewed int
}

const (
	maxTries   = 20
	pauseTries = 20 * time.Millisecond
)

// order places one order and reports the key that it ended with.
func (c *caller) order(body string) (placed, error) {
	result := placed{}
	var last error
	for range maxTries {
		answer, err := c.entries()
		if err != nil {
			last = err
			time.Sleep(pauseTries)
			continue
		}
		fresh := result.key == ""
		address := answer.Entries[0].Address
		if fresh {
			result.key, address = answer.Ticket, answer.TicketEntry
			result.renewed++
		}
		got, err := c.call(http.MethodPost, address, "/v1/services/"+string(deployment.Orders)+"/orders", result.key, body)
		result.response, last = got, err
		switch {
		case err == nil && got.status == http.StatusOK:
			return result, nil
		case fresh && refused(err), err == nil && got.verdict == types.NotRun.String():
			result.key = ""
		}
		time.Sleep(max(pauseTries, got.wait))
	}
	return result, last
}

// ask sends a streamed question. Only a refused connection or a refusal as not
// run is tried again.
func (c *caller) ask(body string) (response, error) {
	var got response
	var err error
	for range maxTries {
		var answer ingress.EntriesResponse
		if answer, err = c.entries(); err != nil {
			time.Sleep(pauseTries)
			continue
		}
		got, err = c.call(http.MethodPost, answer.Entries[0].Address, "/v1/chat/completions", "", body)
		if !refused(err) && (err != nil || got.status == http.StatusOK || got.verdict != types.NotRun.String()) {
			return got, err
		}
		time.Sleep(max(pauseTries, got.wait))
	}
	return got, err
}
