package quarantine

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind tells what an entry records.
type Kind string

// The kinds of entry.
const (
	// KindCrash: an attempt with this content broke off when its endpoint
	// crashed.
	KindCrash Kind = "crash"
	// KindCompleted: the content ran to its end after it had been suspected.
	KindCompleted Kind = "completed"
	// KindQuarantined: a daemon quarantined the content.
	KindQuarantined Kind = "quarantined"
)

// Hash is a fingerprint that travels as hex.
type Hash request.Fingerprint

// MarshalText writes the fingerprint in hex.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText reads 32 hex digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("fingerprint has %d hex digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Entry is one fact that a daemon observed. Entries never change, so daemons
// merge what they know by taking the union, in any order and any number of
// times.
type Entry struct {
	Kind        Kind `json:"kind"`
	Fingerprint Hash `json:"fingerprint"`
	// Endpoint is set for crashes only.
	Endpoint types.EndpointID `json:"endpoint,omitempty"`
	// AtMillis is the observer's time in milliseconds since 1970.
	AtMillis int64 `json:"at_ms"`
}

func (e Entry) at() time.Time {
	return time.UnixMilli(e.AtMillis)
}

// compareEntries orders entries by how much they are worth keeping: quarantines
// first, then the newest.
func compareEntries(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(worth(b.Kind), worth(a.Kind)),
		cmp.Compare(b.AtMillis, a.AtMillis),
		bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Kind, b.Kind),
	)
}

func worth(kind Kind) int {
	if kind == KindQuarantined {
		return 1
	}
	return 0
}

// Digest carries entries between daemons. A daemon sends what it learned since
// the peer's cursor, bounded by MaxDigestEntries.
type Digest struct {
	Entries []Entry `json:"entries"`
	// Next is the sender's cursor for the next digest to the same peer.
	Next uint64 `json:"next"`
}

// MaxDigestEntries bounds the entries of one digest.
const MaxDigestEntries = 32
