// Package forward sends a request from one daemon to another, over one hop at
// most. The request's metadata is sent as a sealed envelope in a header field and
// its body unchanged. The response is returned like the response of an endpoint.
package forward

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// Path is the URL path at which daemons receive forwarded requests.
	Path = "/peer/v1/requests"
	// HeaderEnvelope carries the sealed envelope.
	HeaderEnvelope = "X-Forward-Envelope"
	// MaxEnvelopeBytes bounds the encoded size of a sealed envelope.
	MaxEnvelopeBytes = 48 << 10
	// maxAge bounds the difference between an envelope's SentAt and the receiver's
	// clock. It includes clock skew.
	maxAge = 2 * time.Minute
	// sealDomain separates these MACs from other MACs under the same key.
	sealDomain = "flamingomount forwarded request v1"
	maxHops    = 1
)

// Key is a secret that all daemons share.
type Key struct {
	ID     string
	Secret []byte
}

// Envelope is the metadata of a forwarded request.
type Envelope struct {
	// To is the VM that may accept the request.
	To types.VMID `json:"to"`
	// Owner is set when only this incarnation may accept the request.
	Owner types.Incarnation `json:"owner,omitzero"`
	// SentAt is the sender's wall clock in Unix milliseconds.
	SentAt       int64               `json:"sent_at"`
	ID           types.RequestID     `json:"id"`
	Service      types.ServiceName   `json:"service"`
	Org          types.OrgName       `json:"org"`
	Rank         types.Rank          `json:"rank"`
	TimeLeftMS   int64               `json:"left_ms"`
	Repeatable   bool                `json:"repeatable"`
	Key          string              `json:"key,omitempty"`
	Ticket       string              `json:"ticket,omitempty"`
	Path         []types.Incarnation `json:"path"`
	Floor        types.Revision      `json:"floor"`
	CallerKey    string              `json:"caller_key,omitempty"`
	Fingerprint  request.Fingerprint `json:"fingerprint"`
	Prefix       []uint64            `json:"prefix,omitempty"`
	Streamed     bool                `json:"streamed,omitempty"`
	Version      types.ModelVersion  `json:"version,omitempty"`
	InputTokens  int                 `json:"in,omitempty"`
	OutputTokens int                 `json:"out,omitempty"`
	Method       string              `json:"method"`
	URLPath      string              `json:"url_path"`
	Query        string              `json:"query,omitempty"`
	Header       request.Header      `json:"header,omitempty"`
}

// Error is the reason why Open refused an envelope.
type Error string

// Error returns the reason.
func (e Error) Error() string {
	return string(e)
}

// The reasons why Open refuses an envelope.
const (
	ErrMalformed  Error = "forwarded request has no readable envelope"
	ErrUnknownKey Error = "forwarded request is sealed with an unknown key"
	ErrForged     Error = "forwarded request's seal does not match"
	ErrStale      Error = "forwarded request is too old or its sender's clock is wrong"
)

var encoding = base64.RawURLEncoding.Strict()

// Seal encodes the envelope as text with a MAC over the envelope and the body.
func Seal(key Key, envelope *Envelope, body []byte) (string, error) {
	data, err := json.Marshal(envelope)
	if err != nil {
		return "", err
	}
	seal := mac(key, data, body)
	return key.ID + "." + encoding.EncodeToString(data) + "." + encoding.EncodeToString(seal), nil
}

// Open verifies the MAC and the age of an encoded envelope and decodes it. Its
// errors are of type Error.
func Open(keys []Key, text string, body []byte, now time.Time) (*Envelope, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || len(text) > MaxEnvelopeBytes {
		return nil, ErrMalformed
	}
	data, dataErr := encoding.DecodeString(parts[1])
	seal, sealErr := encoding.DecodeString(parts[2])
	if dataErr != nil || sealErr != nil {
		return nil, ErrMalformed
	}
	key, found := findKey(keys, parts[0])
	if !found {
		return nil, ErrUnknownKey
	}
	if !hmac.Equal(seal, mac(key, data, body)) {
		return nil, ErrForged
	}
	envelope := new(Envelope)
	if err := json.Unmarshal(data, envelope); err != nil {
		return nil, ErrMalformed
	}
	if now.Sub(time.UnixMilli(envelope.SentAt)).Abs() > maxAge {
		return nil, ErrStale
	}
	return envelope, nil
}

func findKey(keys []Key, id string) (Key, bool) {
	for _, key := range keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func mac(key Key, data, body []byte) []byte {
	sum := sha256.Sum256(body)
	hash := hmac.New(sha256.New, key.Secret)
	hash.Write([]byte(sealDomain))
	hash.Write(sum[:])
	hash.Write(data)
	return hash.Sum(nil)
}
