// Package request defines the request value that passes through the stages of a
// daemon: ingress, admission, candidates, score, pick, dispatch and relay.
package request

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Fingerprint is a hash of the content of a request, keyed with the fleet's key
// so that daemons can exchange it without revealing the content.
type Fingerprint [16]byte

// Header holds HTTP header fields under their canonical names. It converts to
// and from http.Header; this package imports no network package.
type Header map[string][]string

// Request is one caller's request. Ingress fills it in; later stages read it.
type Request struct {
	ID      types.RequestID
	Service *published.Service
	Org     *published.Organisation
	Rank    types.Rank
	// Arrived is when the daemon received the request header.
	Arrived time.Time
	// Deadline is when the response stops being useful to the caller.
	Deadline time.Time
	// Repeatable is false when the request may run at most once.
	Repeatable bool
	// Key is the caller's idempotency key; empty for repeatable requests.
	Key string
	// Ticket is the caller's ticket, as received; empty when it sent none.
	Ticket string
	// Path lists the daemons that forwarded the request, in order of hops.
	Path []types.Incarnation
	// Floor is the highest configuration revision of the daemons that the
	// request has passed.
	Floor types.Revision
	// CallerKey is a stable key of the caller; its resends have the same key.
	// It determines the ranking of the daemons for the caller and of the owners
	// of its request contents.
	CallerKey string
	// Fingerprint identifies the content of the request.
	Fingerprint Fingerprint
	// Prefix holds the hashes of the prompt's prefixes, shortest first, as
	// returned by PrefixHashes.
	Prefix []uint64
	// Streamed is true when the caller requested a streamed response.
	Streamed bool
	// Version is the model version that the caller requested; empty means any
	// allowed version.
	Version types.ModelVersion
	// InputTokens and OutputTokens are estimated token counts.
	InputTokens  int
	OutputTokens int
	// OrgRunning is how many requests of the organisation were running at this
	// daemon when admission started this request.
	OrgRunning int

	Method  string
	URLPath string
	Query   string
	Header  Header
	Body    []byte
	// HoldBody keeps the memory of Body in account until release is called; nil if it is in
	// none. A run that outlasts its caller holds it.
	HoldBody func() (release func())
}
