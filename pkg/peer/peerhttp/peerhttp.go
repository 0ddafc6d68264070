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

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/peer"
)

const (
	// Path is the URL path at which a daemon receives peer messages.
	Path = "/v1/peer"
	// headerMAC is the header that carries the key ID and the MAC of a message.
	headerMAC = "X-Peer-Mac"
	// encodingGzip is the Content-Encoding of a compressed body.
	encodingGzip = "gzip"
	// requestTimeout bounds one exchange of request and reply.
	requestTimeout = 2 * time.Second
	// maxIdlePerPeer bounds the idle connections to each peer.
	maxIdlePerPeer = 1
	// idleTimeout is how long an unused connection stays open. It is long because
	// the next heartbeat to the same peer comes only after a full round.
	idleTimeout = 90 * time.Second
	// maxResponseHeaderBytes is the maximum size of the head of a reply.
	maxResponseHeaderBytes = 64 << 10
)

// Metrics counts the message bytes between daemons and the refused messages.
type Metrics struct {
	bytes   *prometheus.CounterVec
	refused *prometheus.CounterVec
}

// NewMetrics creates the counters and registers them with reg, unless reg is nil.
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
	scheme    string
	guard     *peer.Guard
	http      *http.Client
	metrics   *Metrics
	wallClock func() time.Time
}

// NewClient returns a client. The function wallClock returns the wall-clock time.
// If tlsConfig is nil, the client uses plain HTTP.
func NewClient(guard *peer.Guard, metrics *Metrics, wallClock func() time.Time, tlsConfig *tls.Config) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout,
		DisableCompression: true, TLSClientConfig: tlsConfig,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	return &Client{scheme: scheme, guard: guard, metrics: metrics, wallClock: wallClock, http: client}
}

// Send sends a message to msg.To and returns the authenticated reply.
func (c *Client) Send(ctx context.Context, msg *peer.Message) (*peer.Message, error) {
	sealed, err := c.guard.Seal(c.wallClock(), peer.Request, 0, msg)
	if err != nil {
		return nil, err
	}
	url := c.scheme + string(msg.To) + Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(sealed.Body))
	if err != nil {
		return nil, eris.Wrap(err, "create peer request")
	}
	req.Header.Set("User-Agent", "") // omits the header to save bytes
	setHeaders(req.Header, sealed)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "send message to %s", msg.To)
	}
	defer func() { _ = resp.Body.Close() }()
	c.metrics.bytes.WithLabelValues("sent").Add(float64(len(sealed.Body)))
	sealedReply, err := readSealed(resp.Header, resp.Body)
	if err != nil {
		return nil, err
	}
	c.metrics.bytes.WithLabelValues("received").Add(float64(len(sealedReply.Body)))
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("peer %s returned status %d", msg.To, resp.StatusCode)
	}
	reply, err := c.guard.Open(c.wallClock(), peer.Reply, msg.Nonce, sealedReply)
	if err != nil {
		return nil, eris.Wrapf(err, "verify reply from %s", msg.To)
	}
	if reply.From.VM != msg.To {
		return nil, eris.Errorf("reply from %s names sender %s", msg.To, reply.From.VM)
	}
	return reply, nil
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
}

// Responder replies to authenticated messages.
type Responder interface {
	// Answer returns the reply to msg, or nil if there is none.
	Answer(ctx context.Context, msg *peer.Message) *peer.Message
}

// Handler receives messages from other daemons and replies to them.
type Handler struct {
	guard     *peer.Guard
	answerer  Responder
	bodies    *bodies.Pool
	metrics   *Metrics
	wallClock func() time.Time
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns the handler for Path. Messages are received into the memory of the pool;
// nil means no limit. The function wallClock returns the wall-clock time.
func NewHandler(guard *peer.Guard, answerer Responder, memory *bodies.Pool, metrics *Metrics, wallClock func() time.Time) *Handler {
	return &Handler{guard: guard, answerer: answerer, bodies: memory, metrics: metrics, wallClock: wallClock}
}

// ServeHTTP replies to a message. The status is that of bodies.Refuse if the body can't be
// read, 403 if the message is refused, 503 if the daemon has no reply and 500 if the reply
// can't be encoded.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := h.bodies.Receive(w, r, bodies.Limits{Bytes: peer.MaxBodyBytes, Timeout: requestTimeout, Urgent: true})
	if err != nil {
		bodies.Refuse(w, err)
		return
	}
	defer body.Release()
	sealed := sealedOf(r.Header, body.Bytes())
	h.metrics.bytes.WithLabelValues("received").Add(float64(len(sealed.Body)))
	msg, err := h.guard.Open(h.wallClock(), peer.Request, 0, sealed)
	if err != nil {
		h.metrics.refused.WithLabelValues(reason(err)).Inc()
		http.Error(w, reason(err), http.StatusForbidden)
		return
	}
	h.writeReply(w, r, msg)
}

func (h *Handler) writeReply(w http.ResponseWriter, r *http.Request, msg *peer.Message) {
	reply := h.answerer.Answer(r.Context(), msg)
	if reply == nil {
		http.Error(w, "no answer", http.StatusServiceUnavailable)
		return
	}
	sealed, err := h.guard.Seal(h.wallClock(), peer.Reply, msg.Nonce, reply)
	if err != nil {
		http.Error(w, "no answer", http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // omits the header to save bytes
	setHeaders(w.Header(), sealed)
	h.metrics.bytes.WithLabelValues("sent").Add(float64(len(sealed.Body)))
	_, _ = w.Write(sealed.Body)
}

// reason returns the text of the peer.Error that err wraps, or "other". It is
// used as a metric label and as the response body.
func reason(err error) string {
	var refusal peer.Error
	if eris.As(err, &refusal) {
		return refusal.Error()
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
	return sealedOf(header, data), nil
}

// sealedOf returns the message of a header and a body.
func sealedOf(header http.Header, body []byte) peer.Sealed {
	return peer.Sealed{
		MAC: header.Get(headerMAC), Body: body,
		Compressed: header.Get("Content-Encoding") == encodingGzip,
	}
}

// Sender sends messages to other daemons.
type Sender interface {
	// Send sends msg to msg.To and returns the authenticated reply.
	Send(ctx context.Context, msg *peer.Message) (*peer.Message, error)
}

var _ Sender = (*Client)(nil)
