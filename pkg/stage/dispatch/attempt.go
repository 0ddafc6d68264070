package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// attempt is one try of a request at an endpoint or at another daemon.
type attempt struct {
	run      *run
	id       types.AttemptID
	endpoint *snapshot.Endpoint
	region   types.Region
	owner    types.Incarnation
	evidence outcome.Evidence
	kind     Kind
	started  time.Time
	// headersAt is when the response headers arrived; zero before.
	headersAt time.Time
	tokens    int
	// streamed is true when the response is an event stream; firstTokenAt is when
	// its first token was relayed, zero before.
	streamed     bool
	firstTokenAt time.Time
	// unresumable is true when the stream can't be resumed at a token offset.
	unresumable bool

	// mu guards conn, which is set from the transport's goroutines.
	mu   sync.Mutex
	conn net.Conn
}

func newAttempt(r *run, decision route.Decision) *attempt {
	a := &attempt{
		run:      r,
		id:       newAttemptID(r.d.opts.Rand),
		endpoint: decision.Endpoint,
		region:   decision.Region,
		started:  r.d.opts.Now(),
	}
	a.evidence.RefusalMeansNotRun = r.req.Service.RefusalMeansNotRun
	if a.endpoint != nil {
		a.region = a.endpoint.Region
	}
	a.evidence.Peer = a.endpoint == nil
	return a
}

// newAttemptID returns a random 128-bit ID in hexadecimal.
func newAttemptID(random route.Rand) types.AttemptID {
	const base, digits = 16, 32
	id := make([]byte, 0, digits+1)
	id = strconv.AppendUint(id, random.Uint64(), base)
	id = append(id, '-')
	return types.AttemptID(strconv.AppendUint(id, random.Uint64(), base))
}

func (a *attempt) version() types.ModelVersion {
	if a.endpoint == nil {
		return a.run.req.Version
	}
	return a.endpoint.Version
}

func (a *attempt) verdict() types.Verdict {
	return outcome.Judge(a.evidence)
}

// do sends the request and relays the response to the caller.
func (a *attempt) do(ctx context.Context) *types.Failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer a.observe()()
	outgoing, failure := a.build(ctx)
	if failure != nil {
		return failure
	}
	response, err := a.transport().RoundTrip(outgoing)
	a.recordConnection()
	if err != nil {
		return a.transportFailure(err)
	}
	defer func() { _ = response.Body.Close() }()
	if !relay.IsFinalStatus(response.StatusCode) {
		a.dropConnection()
		return a.invalidResponse(relay.ErrNoStatus)
	}
	a.headersAt = a.run.d.opts.Now()
	a.recordHeaders(response)
	if !a.evidence.Echoed {
		a.dropConnection()
		return a.invalidResponse(errAttemptIDMismatch)
	}
	return a.relayResponse(response, cancel)
}

// answeredAt is when the first token of a stream was relayed or the headers of
// another response arrived; zero before.
func (a *attempt) answeredAt() time.Time {
	if a.streamed {
		return a.firstTokenAt
	}
	return a.headersAt
}

// observe reports the start of the attempt to the observer and adds it to the
// endpoint's counters. The returned function does the same for its end.
func (a *attempt) observe() func() {
	done := countInFlight(a.endpoint)
	observer := a.run.d.opts.Observer
	if observer != nil {
		observer.AttemptStarted(a.run.req, a.endpoint)
	}
	return func() {
		done()
		if observer != nil {
			observer.AttemptEnded(a.report())
		}
	}
}

func (a *attempt) report() Report {
	return Report{
		Request:   a.run.req,
		Endpoint:  a.endpoint,
		Region:    a.region,
		Attempt:   a.id,
		Kind:      a.kind,
		Verdict:   a.verdict(),
		Progress:  a.evidence.Progress,
		Status:    a.evidence.Status,
		Started:   a.started,
		FirstByte: a.headersAt,
		Ended:     a.run.d.opts.Now(),
		Tokens:    a.tokens,
	}
}

func (a *attempt) transport() http.RoundTripper {
	opts := &a.run.d.opts
	switch {
	case a.endpoint == nil && !a.run.req.Repeatable:
		return opts.FreshPeerTransport
	case a.endpoint == nil:
		return opts.PeerTransport
	case !a.run.req.Repeatable:
		return opts.FreshTransport
	default:
		return opts.Transport
	}
}

// build returns the outgoing request with its body and the attempt headers.
func (a *attempt) build(ctx context.Context) (*http.Request, *types.Failure) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	outgoing, failure := a.newRequest(ctx)
	if failure != nil {
		a.kind = KindConnectFailed
		return nil, failure
	}
	guardReplay(outgoing, a.run.req.Body)
	outgoing.Header.Set(types.HeaderAttemptID, string(a.id))
	if a.run.tokens > 0 {
		outgoing.Header.Set(types.HeaderResumeOffset, strconv.Itoa(a.run.tokens))
	}
	return outgoing, nil
}

// newRequest returns the request for the endpoint or the other daemon, without
// its body.
func (a *attempt) newRequest(ctx context.Context) (*http.Request, *types.Failure) {
	if a.endpoint != nil {
		return newEndpointRequest(ctx, a.run.req, a.endpoint, a.run.d.opts.Now()), nil
	}
	if a.run.d.opts.Forwarder == nil {
		return nil, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "no endpoint of the service is available here")
	}
	return a.run.d.opts.Forwarder.Prepare(ctx, a.run.req, Destination{Region: a.region, Owner: a.owner})
}

// gotConn records the connection. The transport calls it after it obtains a
// connection and before it writes to it.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = info.Conn
}

// recordConnection marks the evidence as Connected if the transport obtained a
// connection.
func (a *attempt) recordConnection() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.evidence.Progress = max(a.evidence.Progress, outcome.Connected)
	}
}

// dropConnection closes the connection, so that bytes still in transit on it
// can't be read as the response to another request.
func (a *attempt) dropConnection() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// recordHeaders copies the response's status and headers into the evidence.
func (a *attempt) recordHeaders(response *http.Response) {
	header := response.Header
	a.evidence.Progress = outcome.HeadersReceived
	a.evidence.Status = response.StatusCode
	a.evidence.Echoed = header.Get(types.HeaderAttemptID) == string(a.id)
	a.evidence.Leaving = header.Get(types.HeaderLeaving) == "true"
	peerVerdict := header.Get(types.HeaderVerdict)
	if a.evidence.Peer && peerVerdict != "" {
		err := a.evidence.PeerVerdict.UnmarshalText([]byte(peerVerdict))
		a.evidence.PeerStated = err == nil
	}
	if a.endpoint != nil {
		header.Set(types.HeaderServedBy, string(a.endpoint.ID))
	}
}
