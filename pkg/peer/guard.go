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
	// MaxBodyBytes bounds a message on the wire and after decompression.
	MaxBodyBytes = 4 << 20
	// compressAbove is the size from which a message is compressed.
	compressAbove = 256
	// maxNonces bounds the nonces remembered in one half of the window. When
	// it is reached, messages are refused rather than forgotten.
	maxNonces = 1 << 16
	// defaultWindow is how far a message's time may be from the receiver's.
	defaultWindow = 30 * time.Second
	// minKeyBytes is the shortest key that is accepted.
	minKeyBytes = 16
)

// encoding writes MACs as text.
var encoding = base64.RawURLEncoding

// Error is a stable reason why a message is refused.
type Error string

// Error returns the reason.
func (e Error) Error() string { return string(e) }

// The reasons for refusing a message.
const (
	ErrForged    Error = "no accepted key made this MAC"
	ErrMalformed Error = "malformed message"
	ErrReceiver  Error = "the message is meant for another VM"
	ErrSender    Error = "the message names no sender"
	ErrTime      Error = "the message is outside the time window"
	ErrReplayed  Error = "the message was received before"
	ErrBusy      Error = "too many messages in the window"
)

// Direction separates requests from their answers.
type Direction string

// The directions.
const (
	Request Direction = "request"
	Reply   Direction = "reply"
)

// KeyID names a key of the fleet.
type KeyID string

// Keys are the fleet's keys: messages are made under Current and accepted under
// any of Accepted, which must hold Current too.
type Keys struct {
	Current  KeyID
	Accepted map[KeyID][]byte
}

// Validate checks that messages made by this daemon would be accepted by it.
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

// Sealed is a message as it goes over the wire.
type Sealed struct {
	// MAC is "key ID:MAC in base64" over direction, request nonce and Body.
	MAC string
	// Body is the message in JSON, compressed when Compressed is true.
	Body       []byte
	Compressed bool
}

// Guard seals and opens the messages of one daemon. It is safe for concurrent
// use. It refuses replays: of messages inside the time window by their nonces,
// and of older ones, also those sent before this process started, by their time.
type Guard struct {
	self   types.VMID
	keys   Keys
	window time.Duration

	mu      sync.Mutex
	started time.Time
	nonce   uint64
	recent  map[nonceKey]bool // of the present half window
	former  map[nonceKey]bool // of the one before
	turned  time.Time
}

type nonceKey struct {
	from  types.Incarnation
	nonce uint64
}

// NewGuard returns the guard of a daemon that started at the given wall time.
// FirstNonce is random.
func NewGuard(self types.VMID, keys Keys, started time.Time, firstNonce uint64) *Guard {
	return &Guard{
		self: self, keys: keys, window: defaultWindow, started: started, nonce: firstNonce,
		recent: map[nonceKey]bool{}, former: map[nonceKey]bool{}, turned: started,
	}
}

// Seal stamps the message with time and nonce and makes its MAC. For a reply,
// requestNonce is the nonce of the request; else zero.
func (g *Guard) Seal(now time.Time, dir Direction, requestNonce uint64, msg *Message) (Sealed, error) {
	g.mu.Lock()
	g.nonce++
	msg.Nonce = g.nonce
	g.mu.Unlock()
	msg.SentAt = now.UnixMilli()
	body, err := json.Marshal(msg)
	if err != nil {
		return Sealed{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	sealed := Sealed{Body: body}
	if len(body) > compressAbove {
		sealed.Body, sealed.Compressed = compress(body), true
	}
	key := g.keys.Accepted[g.keys.Current]
	sealed.MAC = string(g.keys.Current) + ":" + encoding.EncodeToString(mac(key, dir, requestNonce, sealed.Body))
	return sealed, nil
}

// Open checks a message and returns it. Unknown fields are ignored.
func (g *Guard) Open(now time.Time, dir Direction, requestNonce uint64, sealed Sealed) (*Message, error) {
	if len(sealed.Body) > MaxBodyBytes {
		return nil, ErrMalformed
	}
	if !g.authentic(dir, requestNonce, sealed) {
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

func (g *Guard) authentic(dir Direction, requestNonce uint64, sealed Sealed) bool {
	id, text, ok := strings.Cut(sealed.MAC, ":")
	if !ok {
		return false
	}
	key, known := g.keys.Accepted[KeyID(id)]
	given, err := encoding.DecodeString(text)
	if !known || err != nil {
		return false
	}
	return hmac.Equal(given, mac(key, dir, requestNonce, sealed.Body))
}

// checkFresh refuses messages outside the window, from before this process
// started, or with a nonce that was seen.
func (g *Guard) checkFresh(now time.Time, msg *Message) error {
	sent := time.UnixMilli(msg.SentAt)
	age := now.Sub(sent)
	if age > g.window || -age > g.window || msg.SentAt < g.started.UnixMilli() {
		return ErrTime
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// A nonce has to be remembered for twice the window: a message may be
	// stamped a window ahead and be replayed until a window later.
	if now.Sub(g.turned) > 2*g.window {
		g.former, g.recent, g.turned = g.recent, map[nonceKey]bool{}, now
	}
	key := nonceKey{msg.From, msg.Nonce}
	if g.recent[key] || g.former[key] {
		return ErrReplayed
	}
	if len(g.recent) >= maxNonces {
		return ErrBusy
	}
	g.recent[key] = true
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
