// Package once decides what happens to a request that is not idempotent: it
// runs, waits for its first attempt, gets the stored response, is forwarded to
// the daemon that owns it, or is refused. The package guarantees that such a
// request runs at most once, without state shared between daemons.
//
// A request is identified by its ticket (see package ticket), which names the
// only daemon incarnation that may run it. The guarantee depends on no timeout,
// so pauses, network partitions and clock skew can't break it. No daemon runs a
// request whose key is not a ticket.
//
// The verdict NotRun is final: a ticket that was refused with it never runs
// later, not even when a delayed copy of the request arrives.
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

// RequestInfo is the part of a received request that the ledger reads.
type RequestInfo struct {
	Org     types.OrgName
	Service *published.Service
	// Key is the Idempotency-Key header and Ticket the X-Ticket header. Either
	// of them may carry the ticket.
	Key    string
	Ticket string
	// Content identifies what the request asks for; see ContentOf.
	Content ContentHash
	// Path lists the daemons that forwarded the request.
	Path []types.Incarnation
}

// RequestInfoOf extracts the RequestInfo of a request.
func RequestInfoOf(r *request.Request) RequestInfo {
	info := RequestInfo{Service: r.Service, Key: r.Key, Ticket: r.Ticket, Content: ContentOf(r), Path: r.Path}
	if r.Org != nil {
		info.Org = r.Org.Name
	}
	return info
}

// ContentHash identifies the content of a request: two requests with the same
// key and different hashes are different requests.
type ContentHash [sha256.Size]byte

// ContentOf hashes service, method, path, query and body.
func ContentOf(r *request.Request) ContentHash {
	var service string
	if r.Service != nil {
		service = string(r.Service.Name)
	}
	hash := sha256.New()
	for _, field := range []string{service, r.Method, r.URLPath, r.Query} {
		length := binary.BigEndian.AppendUint64(nil, uint64(len(field)))
		hash.Write(length)
		hash.Write([]byte(field))
	}
	hash.Write(r.Body)
	return ContentHash(hash.Sum(nil))
}

// Response is a complete response of an endpoint, stored so that resends of the
// request can be answered with it.
type Response struct {
	Status int
	Header request.Header
	Body   []byte
}

// responseOverheadBytes is the memory that a stored response takes in addition
// to its header and body.
const responseOverheadBytes = 128

// Size returns the memory that the response takes, in bytes.
func (r *Response) Size() int {
	size := responseOverheadBytes + len(r.Body)
	for name, values := range r.Header {
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
	// ActionRefuse: respond with Decision.Failure.
	ActionRefuse Action = iota
	// ActionRun: run the request now and report its end to Ledger.Finish in
	// every case.
	ActionRun
	// ActionWait: the first attempt is still running, and its outcome decides.
	// A caller that stops waiting gets the failure InProgress().
	ActionWait
	// ActionReplay: respond with Decision.Response and the verdict types.Ran.
	ActionReplay
	// ActionForward: forward the request to Decision.Owner, which runs or
	// refuses it.
	ActionForward
)

// Decision is what to do with a received request.
type Decision struct {
	Action Action
	// ID identifies the request for Finish.
	ID ticket.ID
	// Floor is the configuration revision that the ticket carries: the one in
	// force at its issuer.
	Floor types.Revision
	// Owner is the daemon to forward to; set for ActionForward.
	Owner types.Incarnation
	// Response is set for ActionReplay.
	Response *Response
	// Failure is set for ActionRefuse.
	Failure *types.Failure
	// Reissue is true when the failure should offer the caller a new ticket,
	// because the present one has not run and never will.
	Reissue bool
}

// Options tunes a ledger; the zero value of a field means its default.
type Options struct {
	// Retention is how long the record of a finished request is kept after its
	// ticket's StartBy. The default is DefaultRetention.
	Retention time.Duration
	// MaxAhead is how far a ticket's StartBy may lie ahead of the owner's
	// clock. The default is DefaultMaxAhead.
	MaxAhead time.Duration
	// MaxRecords limits the number of recorded requests. The default is
	// DefaultMaxRecords.
	MaxRecords int
	// MaxOrgRecords limits the recorded requests of one organisation, so that
	// a flood from it leaves capacity for others. The default is a quarter of
	// MaxRecords.
	MaxOrgRecords int
	// MaxResponseBytes limits the memory of all stored responses together. The
	// default is DefaultMaxResponseBytes.
	MaxResponseBytes int
}

// The defaults of Options.
const (
	DefaultRetention        = 10 * time.Minute
	DefaultMaxAhead         = 2 * ticket.DefaultWindow
	DefaultMaxRecords       = 100_000
	DefaultMaxResponseBytes = 32 << 20
)

// orgsPerFullLedger is how many organisations at their default limit fill a
// ledger.
const orgsPerFullLedger = 4

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
		o.MaxOrgRecords = max(o.MaxRecords/orgsPerFullLedger, 1)
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return o
}

// InProgress returns the failure for a caller that stops waiting for the first
// attempt of its own request.
func InProgress() *types.Failure {
	return types.NewFailure(types.MayHaveRun, types.CodeInProgress,
		"the first attempt of this request is still running: send it again later with the same key")
}
