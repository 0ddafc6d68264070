// Package ticket issues and verifies tickets: signed statements that one
// daemon incarnation, and no other, may run the request that carries them.
//
// A ticket is itself the idempotency key of a request that is not idempotent.
// The issuer draws its ID at random, so there is never a second ticket for the
// same request that names another owner.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Prefix begins the text of every ticket; the digit is the format version.
const Prefix = "fm1."

// MaxTextBytes is the length of the longest text that Verify accepts, in bytes.
const MaxTextBytes = 2048

// MinSecretBytes is the length of the shortest secret that a Key may have, in
// bytes.
const MinSecretBytes = 32

// ID identifies one ticket. It is unique across all issuers.
type ID [16]byte

// String returns the ID in hex.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// MarshalText returns the ID in hex.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText parses 32 hex digits.
func (id *ID) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(id) {
		return fmt.Errorf("ticket ID has %d characters: want %d", len(text), hex.EncodedLen(len(id)))
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// Claims is the signed content of a ticket.
type Claims struct {
	ID ID `json:"id"`
	// Org is the organisation that may use the ticket.
	Org types.OrgName `json:"org"`
	// Owner is the only incarnation that may run the request.
	Owner types.Incarnation `json:"owner"`
	// Issuer is the incarnation that issued the ticket.
	Issuer types.Incarnation `json:"issuer"`
	// Floor is the configuration revision in force at the issuer.
	Floor types.Revision `json:"floor"`
	// StartBy is the time from which the owner no longer starts the request.
	// It is read from the issuer's clock and has a resolution of one
	// millisecond.
	StartBy time.Time `json:"start_by"`
}

// Error is the reason why Verify refuses a text.
type Error string

// Error implements the error interface.
func (e Error) Error() string {
	return string(e)
}

// The reasons why Verify refuses a text.
const (
	// ErrMalformed: the text is not a ticket. No daemon runs its request.
	ErrMalformed Error = "not a ticket"
	// ErrForged: the signature does not match. No daemon runs its request.
	ErrForged Error = "ticket signature does not match"
	// ErrUnknownKey: the ticket names a signing key that this daemon does not
	// have. Another daemon may have it.
	ErrUnknownKey Error = "ticket was signed with an unknown key"
)

// IsTicket reports whether the text has the form of a ticket. It does not
// verify the signature.
func IsTicket(text string) bool {
	return strings.HasPrefix(text, Prefix)
}

// KeyID names a signing key.
type KeyID string

// Key is one signing key.
type Key struct {
	ID KeyID
	// Secret holds at least MinSecretBytes bytes.
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them. To rotate
// keys, append the new key on all daemons, then move it to the front, then
// remove the old key once the last ticket signed with it has expired. A Keyring
// is immutable.
type Keyring struct {
	keys []Key
}

// NewKeyring returns a keyring of the keys. It returns an error unless there is
// at least one key, the key IDs are unique and consist of letters, digits, "-"
// and "_", and each secret has at least MinSecretBytes bytes.
func NewKeyring(keys ...Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, fmt.Errorf("a keyring needs at least one key")
	}
	seen := make(map[KeyID]bool, len(keys))
	for _, key := range keys {
		if err := checkKey(key); err != nil {
			return nil, err
		}
		if seen[key.ID] {
			return nil, fmt.Errorf("key ID %q occurs twice", key.ID)
		}
		seen[key.ID] = true
	}
	return &Keyring{keys: append([]Key(nil), keys...)}, nil
}

func checkKey(key Key) error {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	if key.ID == "" || strings.Trim(string(key.ID), allowed) != "" {
		return fmt.Errorf("key ID %q: want letters, digits, - and _", key.ID)
	}
	if len(key.Secret) < MinSecretBytes {
		return fmt.Errorf("secret of key %q has %d bytes: want at least %d", key.ID, len(key.Secret), MinSecretBytes)
	}
	return nil
}

var encoding = base64.RawURLEncoding.Strict()

// wireClaims is the JSON form of Claims, with StartBy in milliseconds since the
// Unix epoch.
type wireClaims struct {
	Claims
	StartBy int64 `json:"start_by"`
}

// Sign returns the text of a ticket with the claims. It returns an error when
// the text would be longer than MaxTextBytes.
func (k *Keyring) Sign(claims Claims) (string, error) {
	payload, err := json.Marshal(wireClaims{Claims: claims, StartBy: claims.StartBy.UnixMilli()})
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	key := k.keys[0]
	signedText := Prefix + string(key.ID) + "." + encoding.EncodeToString(payload)
	text := signedText + "." + encoding.EncodeToString(computeMAC(key, signedText))
	if len(text) > MaxTextBytes {
		return "", fmt.Errorf("ticket has %d bytes: want at most %d", len(text), MaxTextBytes)
	}
	return text, nil
}

// Verify returns the claims of a ticket, or ErrMalformed, ErrForged or
// ErrUnknownKey. It does not check whether the ticket has expired.
func (k *Keyring) Verify(text string) (Claims, error) {
	if len(text) > MaxTextBytes || !IsTicket(text) {
		return Claims{}, ErrMalformed
	}
	parts := strings.Split(text[len(Prefix):], ".")
	if len(parts) != 3 {
		return Claims{}, ErrMalformed
	}
	mac, err := encoding.DecodeString(parts[2])
	if err != nil {
		return Claims{}, ErrMalformed
	}
	key, ok := k.find(KeyID(parts[0]))
	if !ok {
		return Claims{}, ErrUnknownKey
	}
	signedText := text[:len(text)-len(parts[2])-1]
	if !hmac.Equal(mac, computeMAC(key, signedText)) {
		return Claims{}, ErrForged
	}
	return decodeClaims(parts[1])
}

func decodeClaims(text string) (Claims, error) {
	payload, err := encoding.DecodeString(text)
	if err != nil {
		return Claims{}, ErrMalformed
	}
	var wire wireClaims
	if err := json.Unmarshal(payload, &wire); err != nil {
		return Claims{}, ErrMalformed
	}
	claims := wire.Claims
	claims.StartBy = time.UnixMilli(wire.StartBy).UTC()
	return claims, nil
}

func (k *Keyring) find(id KeyID) (Key, bool) {
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func computeMAC(key Key, signedText string) []byte {
	mac := hmac.New(sha256.New, key.Secret)
	mac.Write([]byte(signedText))
	return mac.Sum(nil)
}
