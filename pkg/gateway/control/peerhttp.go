package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

const (
	// MessagePath is the URL path on which daemons receive messages.
	MessagePath = "/gateway/message"
	// messageTimeout bounds a message and its reply: several round trips between
	// regions.
	messageTimeout = 900 * time.Millisecond
	// maxMessageBytes bounds a message; it leaves room for a complete
	// configuration.
	maxMessageBytes = 8 << 20
)

// HTTPPeers exchanges messages as JSON over HTTP.
type HTTPPeers struct {
	transport http.RoundTripper
}

var _ Peers = (*HTTPPeers)(nil)

// NewHTTPPeers returns a client that sends messages through the transport.
func NewHTTPPeers(transport http.RoundTripper) *HTTPPeers {
	return &HTTPPeers{transport: transport}
}

// Send implements Peers.
func (p *HTTPPeers) Send(ctx context.Context, to types.VMID, message *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+MessagePath, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "message to "+string(to))
	}
	response, err := p.transport.RoundTrip(outgoing)
	if err != nil {
		return nil, eris.Wrap(err, "message to "+string(to))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("message to %s: status %d", to, response.StatusCode)
	}
	return readMessage(response.Body)
}

func readMessage(source io.Reader) (*Message, error) {
	var message Message
	if err := wholebody.DecodeJSON(source, maxMessageBytes, &message); err != nil {
		return nil, eris.Wrap(err, "read message")
	}
	return &message, nil
}

// ServeMessage handles a message from another daemon.
func (c *Control) ServeMessage(w http.ResponseWriter, r *http.Request) {
	body, err := c.opts.Bodies.Receive(w, r, bodies.Limits{Bytes: maxMessageBytes, Timeout: messageTimeout, Urgent: true})
	if err != nil {
		bodies.Refuse(w, err)
		return
	}
	defer body.Release()
	if err := body.ReserveDecoded(); err != nil {
		bodies.Refuse(w, err)
		return
	}
	var message Message
	if err := json.Unmarshal(body.Bytes(), &message); err != nil {
		http.Error(w, "the message can't be read", http.StatusBadRequest)
		return
	}
	reply := c.Receive(r.Context(), &message)
	if reply == nil {
		http.Error(w, "this daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	encoded, err := json.Marshal(reply)
	if err != nil {
		c.opts.Log.WithError(err).Error("failed to encode the reply to a peer")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A peer that lost its connection retries.
	_, _ = w.Write(encoded)
}
