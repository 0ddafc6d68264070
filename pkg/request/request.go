// Package request defines the value that passes through the stages of a
// daemon: ingress, admission, candidates, score, pick, dispatch and relay.
package request

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Fingerprint identifies the content of a request under the fleet's key, so
// that it can be told to peers without telling the content.
type Fingerprint [16]byte

// Header holds HTTP header fields under their canonical names. It converts to
// and from http.Header; this package imports no network package.
type Header map[string][]string

// Request is one caller's request. Ingress fills it; later stages read it.
type Request struct {
	ID      types.RequestID
	Service *published.Service
	Org     *published.Organisation
	Rank    types.Rank
	// Arrived is when the daemon received the request head.
	Arrived time.Time
	// Deadline is when the answer stops being of use.
	Deadline time.Time
	// Repeatable is false when the request may run at most once.
	Repeatable bool
	// Key is the caller's idempotency key; empty for repeatable requests.
	Key string
	// Ticket is the caller's ticket, as received; empty when it sent none.
	Ticket string
	// Path lists the daemons that forwarded the request, first one first.
	Path []types.Incarnation
	// Floor is the highest configuration revision named on the way here.
	Floor types.Revision
	// CallerKey is a stable key of the caller: equal for its resends. It ranks
	// the entries for the caller and the owners of its contents.
	CallerKey string
	// Fingerprint identifies the content.
	Fingerprint Fingerprint
	// Prefix holds the hashes of the growing prefixes of the prompt, shortest
	// first, as made by PrefixHashes.
	Prefix []uint64
	// Streamed is true when the caller asked for a streamed answer.
	Streamed bool
	// Version is the version the caller asked for; empty means any allowed.
	Version types.ModelVersion
	// InputTokens and OutputTokens are estimates of the work.
	InputTokens  int
	OutputTokens int
	// OrgRunning is how many requests of the organisation this daemon runs at
	// the moment, as admission counted when it started this one.
	OrgRunning int

	Method  string
	URLPath string
	Query   string
	Header  Header
	Body    []byte
}
