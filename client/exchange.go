package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxFailureBytes bounds a failure's body.
const maxFailureBytes = 64 << 10

// exchange is one request on its way through the entries.
type exchange struct {
	client  *Client
	request *http.Request
	body    []byte
	// key is the Idempotency-Key; empty for none.
	key string
	// ticketed is true when this exchange got its ticket itself, so that it
	// knows of every send under it.
	ticketed bool
	// queue lists the entries that are still to be tried, best first.
	queue []string
	tried []string
	sends int
}

func (x *exchange) run() (*http.Response, error) {
	if err := x.prepare(); err != nil {
		return nil, &Error{Verdict: types.NotRun, Key: x.key, Cause: err}
	}
	var last error
	for {
		address, found := x.next()
		if !found {
			return nil, &Error{Verdict: types.NotRun, Key: x.key, Cause: last}
		}
		response, connected, err := x.send(address)
		if err != nil && connected {
			return nil, &Error{Verdict: types.MayHaveRun, Key: x.key, Cause: err}
		}
		if err != nil {
			x.client.forget()
			last = err
			continue
		}
		again, err := x.again(response)
		if err != nil {
			return nil, &Error{Verdict: types.MayHaveRun, Key: x.key, Cause: err}
		}
		if !again {
			return response, nil
		}
		last = fmt.Errorf("entry %s did not run the request: status %d", address, response.StatusCode)
	}
}

// prepare finds the entries and, for a request that needs one, a ticket.
func (x *exchange) prepare() error {
	ctx := x.request.Context()
	if x.key == "" && needsTicket(x.request) {
		return x.takeTicket(false)
	}
	entries, err := x.client.entries(ctx)
	x.queue = entries
	return err
}

// takeTicket asks for a ticket, which own binds to the entry that answers.
func (x *exchange) takeTicket(own bool) error {
	about := question{service: serviceOf(x.request.URL.Path), ownTicket: own}
	got, err := x.client.ask(x.request.Context(), about)
	if err != nil {
		return err
	}
	x.queue = addresses(got)
	x.key, x.ticketed = got.Ticket, got.Ticket != ""
	x.prefer(got.TicketEntry)
	return nil
}

// next returns the next entry that has not been tried.
func (x *exchange) next() (string, bool) {
	for len(x.queue) > 0 && x.sends < x.client.opts.MaxSends {
		address := x.queue[0]
		x.queue = x.queue[1:]
		if slices.Contains(x.tried, address) {
			continue
		}
		x.tried = append(x.tried, address)
		x.sends++
		return address, true
	}
	return "", false
}

// prefer puts an entry first, also one that was tried before.
func (x *exchange) prefer(address string) {
	if address == "" {
		return
	}
	x.tried = slices.DeleteFunc(x.tried, func(tried string) bool { return tried == address })
	x.queue = append([]string{address}, x.queue...)
}

// send sends the request to one entry. Connected is true when bytes of it may
// have been sent.
func (x *exchange) send(address string) (response *http.Response, connected bool, err error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	outgoing := x.request.Clone(httptrace.WithClientTrace(x.request.Context(), trace))
	outgoing.URL.Scheme, outgoing.URL.Host, outgoing.Host = x.client.opts.Scheme, address, address
	if outgoing.Header.Get("Authorization") == "" {
		outgoing.Header.Set("Authorization", "Bearer "+x.client.opts.Credential)
	}
	if x.key != "" {
		outgoing.Header.Set(types.HeaderIdempotencyKey, x.key)
	}
	outgoing.Body, outgoing.GetBody, outgoing.ContentLength = nil, nil, 0
	if len(x.body) > 0 || x.key != "" {
		// A body without GetBody keeps http.Transport from replaying the
		// request on a connection that died.
		outgoing.Body = io.NopCloser(&onceReader{bytes.NewReader(x.body)})
		outgoing.ContentLength = int64(len(x.body))
	}
	response, err = x.client.opts.Transport.RoundTrip(outgoing)
	return response, got.Load(), err
}

// onceReader hides the type of a reader from http.Transport.
type onceReader struct {
	io.Reader
}

// again reports whether another entry may help: the answer must say that the
// request was not run, for a reason that concerns the entry and not the request.
// The body of an answer that is passed on stays readable.
func (x *exchange) again(response *http.Response) (bool, error) {
	verdict := response.Header.Get(types.HeaderVerdict)
	if verdict != types.NotRun.String() && !(x.ticketed && verdict == types.MayHaveRun.String()) {
		return false, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
	_ = response.Body.Close()
	if err != nil {
		return false, err
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	var failure struct {
		Error struct {
			Code    types.Code `json:"code"`
			Entries []string   `json:"entries"`
			Ticket  string     `json:"ticket"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &failure) != nil {
		return false, nil
	}
	if x.sends >= x.client.opts.MaxSends {
		return false, nil
	}
	x.client.forget()
	if verdict != types.NotRun.String() {
		return x.ownerNeverReached(failure.Error.Code) && x.takeTicket(true) == nil, nil
	}
	if !elsewhere(failure.Error.Code) {
		return false, nil
	}
	if failure.Error.Ticket != "" {
		x.key, x.ticketed = failure.Error.Ticket, true
	}
	for _, address := range slices.Backward(failure.Error.Entries) {
		if failure.Error.Ticket != "" {
			x.prefer(address)
			continue
		}
		x.queue = append([]string{address}, x.queue...)
	}
	return len(x.untried()) > 0, nil
}

// ownerNeverReached reports whether a failure proves that the ticket's owner,
// the only daemon that may run the request, has never received it: no send
// under the ticket had an unknown end, since the exchange stops at one, and
// this entry did not reach the owner. The entry itself can't know that and says
// that the request may have run.
func (x *exchange) ownerNeverReached(code types.Code) bool {
	return x.ticketed && (code == types.CodeOwnerGone || code == types.CodeUnreachable)
}

// untried lists the entries that next may still return.
func (x *exchange) untried() []string {
	return slices.DeleteFunc(slices.Clone(x.queue), func(address string) bool {
		return slices.Contains(x.tried, address)
	})
}

// elsewhere reports whether another entry, or a fresh ticket, may help. An
// overloaded entry is not left for another one, since that would move a flood
// on: its answer says when to come back.
func elsewhere(code types.Code) bool {
	switch code {
	case types.CodeDraining, types.CodeNotReady, types.CodeResidency, types.CodeNoEndpoint,
		types.CodeTicketRequired, types.CodeTicketExpired:
		return true
	}
	return false
}
