// Package once decides whether a request that may not be repeated runs, waits
// for its first attempt, is answered from memory, is forwarded to the daemon
// that owns it, or is refused. It keeps the promise that such a request runs at
// most once, with no shared state.
//
// The identity of a request is its ticket (see package ticket), which names the
// only daemon incarnation that may run it. No timeout takes part in that rule,
// so that pauses, partitions and skewed clocks can't break it. A key that is
// not a ticket never runs, anywhere.
//
// A verdict NotRun is final: the ticket it was told for never runs later, not
// even when a delayed copy of the request arrives.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// RequestInfo is what the ledger needs to know of one received request.
type RequestInfo struct {
	Org     types.OrgName
	Service *published.Service
	// Key is the Idempotency-Key header and Ticket the X-Ticket header; either
	// may carry the ticket.
	Key    string
	Ticket string
	// Content identifies method, path and body; see ContentOf.
	Content ContentHash
	// Path lists the daemons that forwarded the request.
	Path []types.Incarnation
}

// RequestInfoOf returns the order that a request carries.
func RequestInfoOf(r *request.Request) RequestInfo {
	order := RequestInfo{Service: r.Service, Key: r.Key, Ticket: r.Ticket, Content: ContentOf(r), Path: r.Path}
	if r.Org != nil {
		order.Org = r.Org.Name
	}
	return order
}

// ContentHash identifies what a request asks for.
type ContentHash [sha256.Size]byte

// ContentOf hashes service, method, path, query and body.
func ContentOf(r *request.Request) ContentHash {
	var service string
	if r.Service != nil {
		service = string(r.Service.Name)
	}
	hash := sha256.New()
	for _, part := range []string{service, r.Method, r.URLPath, r.Query} {
		length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
		hash.Write(length)
		hash.Write([]byte(part))
	}
	hash.Write(r.Body)
	return ContentHash(hash.Sum(nil))
}

// Response is a whole answer of an endpoint, remembered for resends.
type Response struct {
	Status int
	Header request.Header
	Body   []byte
}

// answerOverheadBytes is what an answer costs beside its header and body.
const answerOverheadBytes = 128

// Size returns the memory that the answer takes, in bytes.
func (a *Response) Size() int {
	size := answerOverheadBytes + len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Action is what to do with a received request.
type Action uint8

// The actions.
const (
	// ActionRefuse: answer with Decision.Failure.
	ActionRefuse Action = iota
	// ActionRun: run it now, then report to Ledger.Finish, always.
	ActionRun
	// ActionWait: the first attempt runs; its end decides. A caller that can't
	// wait is told InProgress().
	ActionWait
	// ActionReplay: answer with Decision.Answer, verdict types.Ran.
	ActionReplay
	// ActionForward: send it to Decision.Owner, which runs it or refuses.
	ActionForward
)

// Decision is what to do with a received request.
type Decision struct {
	Action Action
	// ID identifies the request for Finish.
	ID ticket.ID
	// Floor is the configuration revision that the ticket carries.
	Floor types.Revision
	// Owner is the daemon to forward to; set for ActionForward.
	Owner types.Incarnation
	// Response is set for ActionReplay.
	Response *Response
	// Failure is set for ActionRefuse.
	Failure *types.Failure
	// Reissue is true when the caller should be offered a fresh ticket with
	// the failure, since the present one was not and never will be run.
	Reissue bool
}

// Options tunes a ledger; the zero value of a field means its default.
type Options struct {
	// Retention is how long a finished request is remembered after its ticket
	// can no longer start it. The default is DefaultRetain.
	Retention time.Duration
	// MaxAhead is how far in the future a ticket's StartBy may lie on the
	// owner's clock. The default is DefaultMaxAhead.
	MaxAhead time.Duration
	// MaxRecords bounds the remembered requests. The default is
	// DefaultMaxRecords.
	MaxRecords int
	// MaxOrgRecords bounds the remembered requests of one organisation, so that
	// its flood leaves room for others. The default is a quarter of MaxRecords.
	MaxOrgRecords int
	// MaxResponseBytes bounds all remembered answers together. The default is
	// DefaultMaxAnswerBytes.
	MaxResponseBytes int
}

// The defaults of Options.
const (
	DefaultRetention        = 10 * time.Minute
	DefaultMaxAhead         = 2 * ticket.DefaultWindow
	DefaultMaxRecords       = 100_000
	DefaultMaxResponseBytes = 32 << 20
)

// orgsInFull is how many organisations fill a ledger by default.
const orgsInFull = 4

// WithDefaults returns the options with zero values replaced.
func (o Options) WithDefaults() Options {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxAhead == 0 {
		o.MaxAhead = DefaultMaxAhead
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxOrgRecords == 0 {
		o.MaxOrgRecords = max(o.MaxRecords/orgsInFull, 1)
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return o
}

// InProgress is the failure for a caller that stops to wait for the first
// attempt of its own request.
func InProgress() *types.Failure {
	return types.NewFailure(types.MayHaveRun, types.CodeInProgress,
		"the first attempt of this request is still running: send it again later with the same key")
}
