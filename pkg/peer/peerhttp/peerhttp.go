// Package peerhttp carries the messages between daemons over HTTP.
package peerhttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/peer"
)

const (
	// Path is where a daemon takes messages of others.
	Path = "/v1/peer"
	// headerMAC carries the MAC of the body.
	headerMAC = "X-Peer-Mac"
	// encodingGzip is the value of Content-Encoding of a compressed body.
	encodingGzip = "gzip"
	// requestTimeout bounds one exchange.
	requestTimeout = 2 * time.Second
	// maxIdlePerPeer bounds idle connections to one peer.
	maxIdlePerPeer = 1
	// idleTimeout closes connections that are not used; a heartbeat comes to
	// the same peer again only after a whole round.
	idleTimeout = 90 * time.Second
)

// Metrics counts what goes over the wire between daemons.
type Metrics struct {
	bytes   *prometheus.CounterVec
	refused *prometheus.CounterVec
}

// NewMetrics registers the counters; a nil registerer counts without one.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_peer_body_bytes_total",
			Help: "Bytes of message bodies between daemons.",
		}, []string{"direction"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_peer_refused_total",
			Help: "Messages of peers that were refused.",
		}, []string{"reason"}),
	}
	if reg != nil {
		reg.MustRegister(m.bytes, m.refused)
	}
	return m
}

// Client sends messages to other daemons.
type Client struct {
	scheme  string
	guard   *peer.Guard
	http    *http.Client
	metrics *Metrics
	wall    func() time.Time
}

// NewClient returns a client. Wall reads the wall clock. A nil security means
// plain HTTP.
func NewClient(guard *peer.Guard, metrics *Metrics, wall func() time.Time, security *tls.Config) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout,
		DisableCompression: true, TLSClientConfig: security,
	}
	scheme := "http://"
	if security != nil {
		scheme = "https://"
	}
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	return &Client{scheme: scheme, guard: guard, metrics: metrics, wall: wall, http: client}
}

// Send sends a message and returns the authenticated answer.
func (c *Client) Send(ctx context.Context, msg *peer.Message) (*peer.Message, error) {
	sealed, err := c.guard.Seal(c.wall(), peer.Request, 0, msg)
	if err != nil {
		return nil, err
	}
	url := c.scheme + string(msg.To) + Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(sealed.Body))
	if err != nil {
		return nil, eris.Wrap(err, "peer request")
	}
	req.Header.Set("User-Agent", "") // left out of the request: bytes count
	setHeaders(req.Header, sealed)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "message to %s", msg.To)
	}
	defer func() { _ = resp.Body.Close() }()
	c.metrics.bytes.WithLabelValues("sent").Add(float64(len(sealed.Body)))
	answer, err := readSealed(resp.Header, resp.Body)
	if err != nil {
		return nil, err
	}
	c.metrics.bytes.WithLabelValues("received").Add(float64(len(answer.Body)))
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("peer %s answered status %d", msg.To, resp.StatusCode)
	}
	reply, err := c.guard.Open(c.wall(), peer.Reply, msg.Nonce, answer)
	if err != nil {
		return nil, eris.Wrapf(err, "answer of %s", msg.To)
	}
	if reply.From.VM != msg.To {
		return nil, eris.Errorf("answer of %s names sender %s", msg.To, reply.From.VM)
	}
	return reply, nil
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
}

// Answerer gives the answer to an authenticated message; nil when it can't.
type Answerer interface {
	Answer(ctx context.Context, msg *peer.Message) *peer.Message
}

// Handler takes messages of other daemons.
type Handler struct {
	guard    *peer.Guard
	answerer Answerer
	metrics  *Metrics
	wall     func() time.Time
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns the handler for Path. Wall reads the wall clock.
func NewHandler(guard *peer.Guard, answerer Answerer, metrics *Metrics, wall func() time.Time) *Handler {
	return &Handler{guard: guard, answerer: answerer, metrics: metrics, wall: wall}
}

// ServeHTTP answers a message: 403 for one that is refused, 503 when the daemon
// can't answer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sealed, err := readSealed(r.Header, r.Body)
	if err != nil {
		http.Error(w, "unreadable message", http.StatusBadRequest)
		return
	}
	h.metrics.bytes.WithLabelValues("received").Add(float64(len(sealed.Body)))
	msg, err := h.guard.Open(h.wall(), peer.Request, 0, sealed)
	if err != nil {
		h.metrics.refused.WithLabelValues(reason(err)).Inc()
		http.Error(w, reason(err), http.StatusForbidden)
		return
	}
	h.answer(w, r, msg)
}

func (h *Handler) answer(w http.ResponseWriter, r *http.Request, msg *peer.Message) {
	reply := h.answerer.Answer(r.Context(), msg)
	if reply == nil {
		http.Error(w, "no answer", http.StatusServiceUnavailable)
		return
	}
	sealed, err := h.guard.Seal(h.wall(), peer.Reply, msg.Nonce, reply)
	if err != nil {
		http.Error(w, "no answer", http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // left out of the answer: bytes count
	setHeaders(w.Header(), sealed)
	h.metrics.bytes.WithLabelValues("sent").Add(float64(len(sealed.Body)))
	_, _ = w.Write(sealed.Body)
}

// reason returns the stable reason inside an error, for metrics.
func reason(err error) string {
	var known peer.Error
	if eris.As(err, &known) {
		return known.Error()
	}
	return "other"
}

func setHeaders(header http.Header, sealed peer.Sealed) {
	header.Set(headerMAC, sealed.MAC)
	header.Set("Content-Type", "application/json")
	if sealed.Compressed {
		header.Set("Content-Encoding", encodingGzip)
	}
}

func readSealed(header http.Header, body io.Reader) (peer.Sealed, error) {
	data, err := io.ReadAll(io.LimitReader(body, peer.MaxBodyBytes+1))
	if err != nil {
		return peer.Sealed{}, eris.Wrap(err, "read message")
	}
	return peer.Sealed{
		MAC: header.Get(headerMAC), Body: data,
		Compressed: header.Get("Content-Encoding") == encodingGzip,
	}, nil
}

// Sender sends messages between daemons.
type Sender interface {
	// Send returns the authenticated answer of msg.To.
	Send(ctx context.Context, msg *peer.Message) (*peer.Message, error)
}

var _ Sender = (*Client)(nil)
