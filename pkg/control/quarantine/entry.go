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

// Kind is the kind of observation that an entry records.
type Kind string

// The kinds of entry.
const (
	// KindCrash: an attempt with this content was interrupted by a crash of its
	// endpoint.
	KindCrash Kind = "crash"
	// KindCompleted: the content ran to completion after entries about it had
	// been recorded.
	KindCompleted Kind = "completed"
	// KindQuarantined: a daemon quarantined the content.
	KindQuarantined Kind = "quarantined"
)

// Hash is a fingerprint that is encoded as hex.
type Hash request.Fingerprint

// MarshalText encodes the fingerprint in hex.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText decodes 32 hex digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("fingerprint has %d hex digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Entry is one observation of a daemon. Entries are immutable, so daemons merge
// their sets of entries by union, in any order and any number of times.
type Entry struct {
	Kind        Kind `json:"kind"`
	Fingerprint Hash `json:"fingerprint"`
	// Endpoint is set for crashes only.
	Endpoint types.EndpointID `json:"endpoint,omitempty"`
	// AtMillis is the observer's time in milliseconds since 1970.
	AtMillis int64 `json:"at_ms"`
}

func (e Entry) observedAt() time.Time {
	return time.UnixMilli(e.AtMillis)
}

// compareEntries orders entries by retention priority: quarantines first, then
// the newest.
func compareEntries(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(retentionPriority(b.Kind), retentionPriority(a.Kind)),
		cmp.Compare(b.AtMillis, a.AtMillis),
		bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Kind, b.Kind),
	)
}

func retentionPriority(kind Kind) int {
	if kind == KindQuarantined {
		return 1
	}
	return 0
}

// Digest carries entries between daemons. A daemon sends the entries that it
// learned since the peer's cursor, at most MaxDigestEntries.
type Digest struct {
	Entries []Entry `json:"entries"`
	// Next is the sender's cursor for the next digest to the same peer.
	Next uint64 `json:"next"`
}

// MaxDigestEntries limits the entries of one digest.
const MaxDigestEntries = 32
