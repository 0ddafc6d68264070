// Package explain holds the question where a request would go now, and a daemon's answer,
// as they are sent over a daemon's metrics address.
package explain

import (
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Path is where a daemon answers questions.
const Path = "/explain-route"

// APIVersion is the version of Answer; a daemon that sends another one is too old or too
// new.
const APIVersion = 1

// Outcome is what would become of a request.
type Outcome string

// The outcomes.
const (
	// ToEndpoint: it is sent to an endpoint at once.
	ToEndpoint Outcome = "endpoint"
	// ToDaemon: it is forwarded to the daemon that sends its home endpoint large prompts.
	ToDaemon Outcome = "daemon"
	// ToRegion: it is forwarded to another region.
	ToRegion Outcome = "region"
	// Waits: it waits for capacity, or is held until an engine has room.
	Waits Outcome = "waits"
	// Refused: it is refused.
	Refused Outcome = "refused"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Question describes a made-up request.
type Question struct {
	Method, Host, Path string
	// PromptTokens and OutputTokens are zero if the request names none.
	PromptTokens, OutputTokens int
	// Parts lists the parts of the prompt in order; the last one is the request's own.
	Parts []Part
	// Organisation is who calls; empty means a caller without a credential.
	Organisation types.OrgName
	// Region is where the question is meant for; empty means the region of the daemon.
	Region types.Region
}

// Answer is where a request would go now.
type Answer struct {
	API     int     `json:"api"`
	Outcome Outcome `json:"outcome"`
	// Reason says why in one phrase.
	Reason string `json:"reason"`
	// Code and RetryAfterMs are set for a refusal.
	Code         types.Code `json:"code,omitempty"`
	RetryAfterMs int64      `json:"retry_after_ms,omitempty"`
	// Daemon answers, in SelfRegion, with what it knew at Revision of the published state.
	Daemon        types.VMID   `json:"daemon"`
	SelfRegion    types.Region `json:"self_region"`
	ConfigVersion uint64       `json:"config_version"`
	Revision      uint64       `json:"revision"`

	Route        string            `json:"route,omitempty"`
	Service      types.ServiceName `json:"service,omitempty"`
	Rank         int               `json:"rank"`
	Organisation types.OrgName     `json:"organisation,omitempty"`

	// QuotaCost is what the request takes of its organisation's quota, QuotaCredit what
	// the daemon has of it; both are zero if nothing limits it.
	QuotaCost   float64 `json:"quota_cost,omitempty"`
	QuotaCredit float64 `json:"quota_credit,omitempty"`

	// Endpoint is set for ToEndpoint, NextDaemon for ToDaemon.
	Endpoint   types.EndpointID `json:"endpoint,omitempty"`
	NextDaemon types.VMID       `json:"next_daemon,omitempty"`
	// Home is the endpoint that keeps the prompt's large prefix.
	Home types.EndpointID `json:"home,omitempty"`
	// Ahead counts the waiting requests that precede this one. PredictedWaitMs is until
	// there is room for it, MaxWaitMs the longest wait.
	Ahead           int   `json:"ahead"`
	PredictedWaitMs int64 `json:"predicted_wait_ms"`
	MaxWaitMs       int64 `json:"max_wait_ms"`

	Regions   []Region   `json:"regions,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// EndpointsLeftOut counts endpoints beyond the size of an answer.
	EndpointsLeftOut int `json:"endpoints_left_out,omitempty"`
}

// Region is what the daemon knows of a region.
type Region struct {
	Region types.Region `json:"region"`
	// Dropped says why no request may go there; empty if one may.
	Dropped string `json:"dropped,omitempty"`
	// FreeShare is the share of free slots by the newest reports.
	FreeShare float64 `json:"free_share"`
	// ResponseMs is the time to the first event there, as its daemons told; zero if they
	// told none. SoonerShare is the share of requests like this one that are sent there
	// because it responds sooner, although there is room here.
	ResponseMs  int64   `json:"response_ms"`
	SoonerShare float64 `json:"sooner_share"`
	// Daemons serve there. Candidate is true if the request may go there now.
	Daemons   int  `json:"daemons"`
	Candidate bool `json:"candidate"`
}

// Endpoint is an endpoint of the daemon's region.
type Endpoint struct {
	ID         types.EndpointID `json:"id"`
	DataCentre types.DataCentre `json:"data_centre"`
	// Dropped says why it gets no request; empty if it may get one.
	Dropped       string `json:"dropped,omitempty"`
	InFlight      int    `json:"in_flight"`
	Limit         int    `json:"limit"`
	BacklogTokens int    `json:"backlog_tokens"`
	// Score is the sum of the parts, in seconds; the least one is chosen.
	Score        float64 `json:"score"`
	Parts        []Score `json:"parts,omitempty"`
	FirstEventMs int64   `json:"first_event_ms"`
	// Certainty is how much of the prediction was learned from the endpoint, 0 to 1.
	Certainty float64 `json:"certainty"`
}

// Score is a part of an endpoint's score, in seconds.
type Score struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Problem is the body of an answer that is none.
type Problem struct {
	Code    types.Code `json:"code"`
	Message string     `json:"message"`
}
