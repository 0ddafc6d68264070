//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/platform/wire"
)

// sharedTransport carries requests whose connection does not matter.
var sharedTransport = newTransport()

// newTransport returns a transport of clients, which keeps its connections.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
}

// nextID numbers the requests of clients.
var nextID atomic.Int64

// firstID is the ID of the first request but one.
const firstID = 0x1c41d07b00000000

// call is one attempt of a client.
type call struct {
	id        string
	to        *daemon
	method    string
	path      string
	body      string
	header    map[string]string
	deadline  time.Duration
	transport *http.Transport
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	// whole is true if the answer was read to its proper end.
	whole bool
	// kept is true if the connection had carried a request before.
	kept bool
	err  error
}

// newCall returns an attempt with an ID of its own.
func newCall(to *daemon, method, path, body string, deadline time.Duration) call {
	return call{
		id: fmt.Sprintf("%016x", firstID+nextID.Add(1)), to: to, method: method, path: path, body: body, deadline: deadline,
		transport: sharedTransport,
	}
}

// send sends the attempt and reads the answer.
func (c call) send(r *record) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r.add("client sends %s %s %s to %s", c.id, c.method, c.path, c.to.name)
	got := c.exchange(ctx)
	r.add("client got for %s: status %d, seal %q, whole %t, %d bytes, kept connection %t, error %v",
		c.id, got.status, got.seal, got.whole, len(got.body), got.kept, got.err)
	return got
}

func (c call) exchange(ctx context.Context) answer {
	var kept bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused },
	})
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.to.addr("front")+c.path, body)
	if err != nil {
		return answer{err: err}
	}
	request.Host, request.GetBody = host, nil // without GetBody nothing is sent twice
	request.Header.Set("Request-Id", c.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return answer{kept: kept, err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, seal: response.Header.Get(wire.HeaderResponseSeal), body: string(text),
		whole: err == nil, kept: kept, err: err,
	}
}
