package peer

import (
	"bytes"
	"compress/gzip"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// MaxBodyBytes is the largest message body accepted, both on the wire and
	// after decompression.
	MaxBodyBytes = 4 << 20
	// compressThreshold is the body size in bytes above which a message is
	// compressed.
	compressThreshold = 256
	// maxNonces bounds the nonces kept between two rotations. At the bound,
	// further messages are refused with ErrBusy; evicting nonces instead would
	// allow replays.
	maxNonces = 1 << 16
	// defaultWindow is the largest accepted difference, in either direction,
	// between a message's timestamp and the receiver's clock.
	defaultWindow = 30 * time.Second
	// minKeyBytes is the length of the shortest accepted key.
	minKeyBytes = 16
)

// macEncoding is the text encoding of MACs.
var macEncoding = base64.RawURLEncoding

// Error is the reason why a message is refused. Its text is stable.
type Error string

// Error returns the reason.
func (e Error) Error() string { return string(e) }

// Reasons for refusing a message.
const (
	ErrForged    Error = "no accepted key made this MAC"
	ErrMalformed Error = "malformed message"
	ErrReceiver  Error = "the message is meant for another VM"
	ErrSender    Error = "the message names no sender"
	ErrTime      Error = "the message is outside the time window"
	ErrReplayed  Error = "the message was received before"
	ErrBusy      Error = "too many messages in the window"
)

// Direction distinguishes requests from replies. It is part of the MAC, so one
// can't be passed off as the other.
type Direction string

// Directions of a message.
const (
	Request Direction = "request"
	Reply   Direction = "reply"
)

// KeyID identifies a MAC key that the fleet's daemons share.
type KeyID string

// Keys holds the MAC keys that the fleet's daemons share. Messages are sent with
// a MAC under the Current key and accepted under any key in Accepted, which must
// include Current.
type Keys struct {
	Current  KeyID
	Accepted map[KeyID][]byte
}

// Validate returns an error unless Current is among the accepted keys, every
// accepted key is at least 16 bytes long and no key ID contains a colon.
func (k Keys) Validate() error {
	if _, ok := k.Accepted[k.Current]; !ok {
		return fmt.Errorf("the current peer key %q is not among the accepted ones", k.Current)
	}
	for id, key := range k.Accepted {
		if len(key) < minKeyBytes {
			return fmt.Errorf("peer key %q has %d bytes; at least %d are needed", id, len(key), minKeyBytes)
		}
		if strings.Contains(string(id), ":") {
			return fmt.Errorf("peer key ID %q must not contain a colon", id)
		}
	}
	return nil
}

// Sealed is an encoded message with its MAC, as sent over the wire.
type Sealed struct {
	// MAC is "<key ID>:<MAC>". The MAC covers direction, request nonce and Body,
	// and is written in unpadded URL-safe base64.
	MAC string
	// Body is the message in JSON, gzip-compressed when Compressed is true.
	Body       []byte
	Compressed bool
}

// Guard seals the messages that a daemon sends and verifies those it receives.
// It is safe for concurrent use. It refuses replays: inside the time window it
// recognises them by their nonces; messages older than the window, or sent
// before this process started, are refused by their timestamps.
type Guard struct {
	self   types.VMID
	keys   Keys
	window time.Duration

	mu             sync.Mutex
	startedAt      time.Time
	lastNonce      uint64
	currentNonces  map[nonceKey]bool // received since rotatedAt
	previousNonces map[nonceKey]bool // received between the two latest rotations
	rotatedAt      time.Time
}

type nonceKey struct {
	from  types.Incarnation
	nonce uint64
}

// NewGuard returns the guard of daemon self, which started at the wall-clock
// time startedAt. Choose firstNonce at random.
func NewGuard(self types.VMID, keys Keys, startedAt time.Time, firstNonce uint64) *Guard {
	return &Guard{
		self: self, keys: keys, window: defaultWindow, startedAt: startedAt, lastNonce: firstNonce,
		currentNonces: map[nonceKey]bool{}, previousNonces: map[nonceKey]bool{}, rotatedAt: startedAt,
	}
}

// Seal sets SentAt and Nonce of the message, encodes it and computes its MAC.
// For a reply, requestNonce is the nonce of the request; otherwise it is zero.
func (g *Guard) Seal(now time.Time, dir Direction, requestNonce uint64, msg *Message) (Sealed, error) {
	g.mu.Lock()
	g.lastNonce++
	msg.Nonce = g.lastNonce
	g.mu.Unlock()
	msg.SentAt = now.UnixMilli()
	body, err := json.Marshal(msg)
	if err != nil {
		return Sealed{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	sealed := Sealed{Body: body}
	if len(body) > compressThreshold {
		sealed.Body, sealed.Compressed = compress(body), true
	}
	key := g.keys.Accepted[g.keys.Current]
	sealed.MAC = string(g.keys.Current) + ":" + macEncoding.EncodeToString(mac(key, dir, requestNonce, sealed.Body))
	return sealed, nil
}

// Open verifies a received message and decodes it; unknown fields are ignored.
// The result is valid only if the error is nil.
func (g *Guard) Open(now time.Time, dir Direction, requestNonce uint64, sealed Sealed) (*Message, error) {
	if len(sealed.Body) > MaxBodyBytes {
		return nil, ErrMalformed
	}
	if !g.verifyMAC(dir, requestNonce, sealed) {
		return nil, ErrForged
	}
	body := sealed.Body
	if sealed.Compressed {
		var err error
		if body, err = decompress(body); err != nil {
			return nil, err
		}
	}
	msg := &Message{}
	if err := json.Unmarshal(body, msg); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if msg.To != g.self {
		return nil, ErrReceiver
	}
	if msg.From.VM == "" || msg.From.Boot == "" || msg.From.VM == g.self {
		return nil, ErrSender
	}
	return msg, g.checkFresh(now, msg)
}

func (g *Guard) verifyMAC(dir Direction, requestNonce uint64, sealed Sealed) bool {
	id, encodedMAC, ok := strings.Cut(sealed.MAC, ":")
	if !ok {
		return false
	}
	key, found := g.keys.Accepted[KeyID(id)]
	receivedMAC, err := macEncoding.DecodeString(encodedMAC)
	if !found || err != nil {
		return false
	}
	return hmac.Equal(receivedMAC, mac(key, dir, requestNonce, sealed.Body))
}

// checkFresh returns an error for a message whose timestamp is outside the window
// or before this process started, for a nonce that was already received, and when
// maxNonces is reached. Otherwise it records the nonce.
func (g *Guard) checkFresh(now time.Time, msg *Message) error {
	sent := time.UnixMilli(msg.SentAt)
	age := now.Sub(sent)
	if age > g.window || -age > g.window || msg.SentAt < g.startedAt.UnixMilli() {
		return ErrTime
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Keep each nonce for at least twice the window: a message may carry a
	// timestamp one window ahead of this clock, and is then accepted until one
	// window after that timestamp.
	if now.Sub(g.rotatedAt) > 2*g.window {
		g.previousNonces, g.currentNonces, g.rotatedAt = g.currentNonces, map[nonceKey]bool{}, now
	}
	key := nonceKey{msg.From, msg.Nonce}
	if g.currentNonces[key] || g.previousNonces[key] {
		return ErrReplayed
	}
	if len(g.currentNonces) >= maxNonces {
		return ErrBusy
	}
	g.currentNonces[key] = true
	return nil
}

func mac(key []byte, dir Direction, requestNonce uint64, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = fmt.Fprintf(h, "flamingomount peer %s %d\n", dir, requestNonce)
	_, _ = h.Write(body)
	return h.Sum(nil)
}

var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

func compress(body []byte) []byte {
	var buf bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&buf)
	_, _ = w.Write(body)
	_ = w.Close()
	return buf.Bytes()
}

func decompress(body []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil || len(out) > MaxBodyBytes {
		return nil, fmt.Errorf("%w: compressed body", ErrMalformed)
	}
	return out, nil
}
