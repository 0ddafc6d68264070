// Package admin is a daemon's administration API: versioned JSON on an address
// of its own. It reads, explains and validates, and changes nothing: a change
// is a published file.
package admin

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/usage"
)

// Status is the answer of GET /admin/v1/status.
type Status struct {
	Self snapshot.Self `json:"self"`
	// Build is the daemon's version.
	Build   string    `json:"build"`
	Started time.Time `json:"started"`
	// Ready is true when the daemon takes requests; NotReady says why not.
	Ready    bool         `json:"ready"`
	NotReady string       `json:"not_ready,omitempty"`
	Paused   bool         `json:"paused"`
	Config   ConfigStatus `json:"config"`
	Drain    DrainStatus  `json:"drain"`
}

// ConfigStatus tells of the configuration in force.
type ConfigStatus struct {
	Revision    types.Revision `json:"revision"`
	Hash        string         `json:"hash"`
	PublishedAt time.Time      `json:"published_at"`
	// Origin says where it came from: "service", "peer", or "files" for a trial without a platform.
	Origin string `json:"origin"`
	// ConfirmedAt is when its being the newest was last confirmed.
	ConfirmedAt time.Time `json:"confirmed_at"`
	// Refused is the last configuration that was refused, and why.
	Refused string `json:"refused,omitempty"`
}

// DrainStatus tells how far a stopping daemon is.
type DrainStatus struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
	// EndsBy is when the published limit ends the drain.
	EndsBy time.Time `json:"ends_by"`
}

// Members is the answer of GET /admin/v1/members.
type Members struct {
	Members []snapshot.Member `json:"members"`
}

// Endpoints is the answer of GET /admin/v1/endpoints.
type Endpoints struct {
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is one endpoint as this daemon sees it.
type EndpointStatus struct {
	ID         types.EndpointID   `json:"id"`
	Service    types.ServiceName  `json:"service"`
	Version    types.ModelVersion `json:"version"`
	Region     types.Region       `json:"region"`
	DataCentre types.DataCentre   `json:"data_centre"`
	Address    string             `json:"address"`
	State      string             `json:"state"`
	Reason     string             `json:"reason,omitempty"`
	Slots      int                `json:"slots"`
	// Limit is the adaptive concurrency limit of this daemon.
	Limit int64 `json:"limit"`
	// InFlight is this daemon's own; Running and Queued are reported.
	InFlight int64     `json:"in_flight"`
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	LoadAt   time.Time `json:"load_at"`
}

// Queues is the answer of GET /admin/v1/queues.
type Queues struct {
	Ranks []QueueStatus `json:"ranks"`
}

// QueueStatus is admission's state for one rank.
type QueueStatus struct {
	Rank    types.Rank `json:"rank"`
	Waiting int        `json:"waiting"`
	Running int        `json:"running"`
	// Organisations counts those with waiting requests.
	Organisations int `json:"organisations"`
	// Capacity is what the daemon lets run at once, all ranks together.
	Capacity int `json:"capacity"`
}

// Quarantine is the answer of GET /admin/v1/quarantine.
type Quarantine struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a fingerprint that may not run until a time.
type QuarantinedRequest struct {
	// Fingerprint is keyed: it does not tell the content.
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// Orders is the answer of GET /admin/v1/orders.
type Orders struct {
	// Running and Finished count remembered requests that may not be repeated.
	Running  int `json:"running"`
	Finished int `json:"finished"`
	// Bytes is the memory of their answers; LimitBytes bounds it.
	Bytes      int64 `json:"bytes"`
	LimitBytes int64 `json:"limit_bytes"`
}

// Explanation is the answer of GET /admin/v1/explain.
type Explanation struct {
	Chosen types.EndpointID `json:"chosen,omitempty"`
	// Region is set when the request would go to another region's entry.
	Region types.Region `json:"region,omitempty"`
	Reason string       `json:"reason"`
	// Code is set when the request would be refused.
	Code  types.Code   `json:"code,omitempty"`
	Steps []route.Step `json:"steps"`
}

// BundleUpload is the body of POST /admin/v1/validate: the values that the
// publisher would hand to the configuration service, by key.
type BundleUpload struct {
	Values map[string][]byte `json:"values"`
}

// Validation is the answer of POST /admin/v1/validate.
type Validation struct {
	Valid    bool           `json:"valid"`
	Revision types.Revision `json:"revision"`
	// Problems lists everything that is wrong, one sentence each.
	Problems []string `json:"problems"`
}

// Usage is the answer of GET /admin/v1/usage.
type Usage struct {
	Since time.Time    `json:"since"`
	Lines []usage.Line `json:"lines"`
}

// Burn is the answer of GET /admin/v1/burn.
type Burn = burn.DaemonReport

// Problem is the body of every error answer.
type Problem struct {
	Code    types.Code `json:"code"`
	Message string     `json:"message"`
}
