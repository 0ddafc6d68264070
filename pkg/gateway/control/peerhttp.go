package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

const (
	// MessagePath is the URL path on which daemons receive messages.
	MessagePath = "/gateway/message"
	// messageTimeout bounds a message and its reply without the time to transfer them: several
	// round trips between regions.
	messageTimeout = 900 * time.Millisecond
	// slowestTransfer is the rate, in bytes per second, at which large messages are transferred
	// at least: that of a link of 10 Mbit/s of which they have a twentieth.
	slowestTransfer = 64 << 10
	// maxTransferTime bounds the transfer of a message or its reply, whatever its size.
	maxTransferTime = 4 * time.Second
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
	body, err := message.encode(true)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(messageTimeout+transferTime(int64(len(body))), cancel)
	defer timeout.Stop()
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
	timeout.Reset(messageTimeout + transferTime(response.ContentLength))
	return readMessage(response.Body)
}

// transferTime returns how long the transfer of a number of bytes may take; a negative number
// is not known.
func transferTime(bytes int64) time.Duration {
	if bytes < 0 || bytes > int64(maxTransferTime/time.Second)*slowestTransfer {
		return maxTransferTime
	}
	return time.Duration(bytes) * time.Second / slowestTransfer
}

func readMessage(source io.Reader) (*Message, error) {
	var message Message
	if err := wholebody.DecodeJSON(source, maxMessageBytes, &message); err != nil {
		return nil, eris.Wrap(err, "read message")
	}
	if err := message.unpack(&bodies.Body{}); err != nil {
		return nil, eris.Wrap(err, "read message")
	}
	return &message, nil
}

// ServeMessage handles a message from another daemon.
func (c *Control) ServeMessage(w http.ResponseWriter, r *http.Request) {
	body, err := c.opts.Bodies.Receive(w, r, bodies.Limits{
		Bytes: maxMessageBytes, Timeout: messageTimeout + transferTime(max(r.ContentLength, 0)), Urgent: true,
	})
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
	if err := message.unpack(body); err != nil {
		bodies.Refuse(w, err)
		return
	}
	reply := c.Receive(r.Context(), &message)
	if reply == nil {
		http.Error(w, "this daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	encoded, err := reply.encode(message.Unpacks)
	if err != nil {
		c.opts.Log.WithError(err).Error("failed to encode the reply to a peer")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	// A peer that lost its connection retries.
	_, _ = w.Write(encoded)
}
