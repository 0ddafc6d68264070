// Package published defines the configuration that operators publish: services,
// organisations, credentials, regions and links. Values are immutable once a
// Configuration has been accepted; readers share them without a lock.
package published

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind tells how a service speaks.
type Kind string

// The kinds of service.
const (
	// KindModel is an OpenAI-style model service.
	KindModel Kind = "model"
	// KindPlain is any other HTTP service, such as an order worker.
	KindPlain Kind = "plain"
)

// Configuration is one accepted revision, whole.
type Configuration struct {
	Revision types.Revision `json:"revision"`
	// Hash is the content hash of the signed manifest, in hex.
	Hash string `json:"hash"`
	// PlacementRevision is the revision that last changed what the placement of
	// models depends on; the fencing number of orders. Zero means Revision.
	PlacementRevision types.Revision `json:"placement_revision,omitempty"`
	// PublishedAt is the publisher's clock; for display only.
	PublishedAt    time.Time                              `json:"published_at"`
	Regions        map[types.Region]*Region               `json:"regions"`
	Links          []Link                                 `json:"links"`
	Services       map[types.ServiceName]*Service         `json:"services"`
	Orgs           map[types.OrgName]*Organisation        `json:"organisations"`
	Credentials    map[CredentialHash]*Credential         `json:"credentials"`
	Administrators map[CredentialHash]*Administrator      `json:"administrators,omitempty"`
	Policy         Policy                                 `json:"policy"`
	Placement      map[types.ServiceName]PlacementRequest `json:"placement"`
}

// Fencing returns the fencing number of orders to engines.
func (c *Configuration) Fencing() types.Revision {
	if c.PlacementRevision == 0 || c.PlacementRevision > c.Revision {
		return c.Revision
	}
	return c.PlacementRevision
}

// FollowPlacement sets PlacementRevision: that of the configuration before when
// nothing has changed that the placement of models depends on, else Revision.
func (c *Configuration) FollowPlacement(before *Configuration) {
	c.PlacementRevision = c.Revision
	if before != nil && samePlacement(before, c) {
		c.PlacementRevision = before.Fencing()
	}
}

// samePlacement compares what the placement of models depends on.
func samePlacement(a, b *Configuration) bool {
	return reflect.DeepEqual(a.Placement, b.Placement) &&
		reflect.DeepEqual(a.Regions, b.Regions) &&
		reflect.DeepEqual(a.Links, b.Links) &&
		a.Policy.LinkShare == b.Policy.LinkShare &&
		a.Policy.WeightStoreBytesPerSecond == b.Policy.WeightStoreBytesPerSecond &&
		reflect.DeepEqual(versionsOf(a), versionsOf(b))
}

func versionsOf(c *Configuration) map[types.ServiceName]Service {
	versions := make(map[types.ServiceName]Service, len(c.Services))
	for name, service := range c.Services {
		versions[name] = Service{Kind: service.Kind, Versions: service.Versions, Regions: service.Regions}
	}
	return versions
}

// Region is a published region with its data centres.
type Region struct {
	Name        types.Region       `json:"name"`
	DataCentres []types.DataCentre `json:"data_centres"`
	// WeightStore is true where the region holds the weight store.
	WeightStore bool `json:"weight_store"`
}

// Link is the network between two regions; it holds in both directions.
type Link struct {
	From types.Region `json:"from"`
	To   types.Region `json:"to"`
	// OneWay is the one-way latency.
	OneWay time.Duration `json:"one_way"`
	// BitsPerSecond is the capacity each way, shared by all traffic.
	BitsPerSecond int64 `json:"bits_per_second"`
}

// Service is one team's published service.
type Service struct {
	Name types.ServiceName `json:"name"`
	Team types.TeamName    `json:"team"`
	Kind Kind              `json:"kind"`
	// Versions lists the model versions that the service may use, preferred
	// first; empty for plain services.
	Versions []types.ModelVersion `json:"versions"`
	// Regions lists where the service's data may go. Empty means nowhere.
	Regions []types.Region `json:"regions"`
	// MaxRank is the most urgent rank that the service may use.
	MaxRank types.Rank `json:"max_rank"`
	// Calls lists the calls of a plain service that may be repeated; every
	// call that matches none may not be repeated.
	Calls []Call `json:"calls"`
	// RefusalMeansNotRun is true when a 503 answer of this service's
	// endpoints promises that the request was not run.
	RefusalMeansNotRun bool `json:"refusal_means_not_run"`
	// Deadlines gives the default time allowed, by rank.
	Deadlines [types.RankCount]time.Duration `json:"deadlines"`
	// Objectives gives the service-level objectives, by rank.
	Objectives [types.RankCount]Objective `json:"objectives"`
	// CostPerThousandTokens is the price of 1,000 tokens, read or generated;
	// for plain services it is the price of one call. Zero means 1.
	CostPerThousandTokens float64 `json:"cost_per_thousand_tokens,omitempty"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Allows reports whether the service's data may go to the region. A service
// that lists no region allows none.
func (s *Service) Allows(region types.Region) bool {
	for _, allowed := range s.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// Call describes calls of a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Repeatable is true when running the call twice does no harm.
	Repeatable bool `json:"repeatable"`
}

// Objective is the service-level objective of one rank of one service.
type Objective struct {
	// InTime is the share of requests that must finish inside the deadline.
	InTime float64 `json:"in_time"`
	// FirstToken bounds the time to the first token; zero means none.
	FirstToken time.Duration `json:"first_token"`
	// BetweenTokens bounds the time between tokens; zero means none.
	BetweenTokens time.Duration `json:"between_tokens"`
	// LatencyShare is the share of requests that must keep FirstToken and
	// BetweenTokens; zero means 0.95.
	LatencyShare float64 `json:"latency_share,omitempty"`
	// Finished is the share of requests that must finish at all; zero means
	// that there is no such objective.
	Finished float64 `json:"finished,omitempty"`
}

// Organisation is a calling organisation.
type Organisation struct {
	Name types.OrgName `json:"name"`
	// Share is the organisation's weight in fair sharing; 1 is usual.
	Share float64 `json:"share"`
	// Home is the region its requests are bound to; empty means none.
	Home types.Region `json:"home,omitempty"`
}

// CredentialHash is the hex SHA-256 of a caller's credential.
type CredentialHash string

// HashCredential returns the hash under which a credential is published.
func HashCredential(credential string) CredentialHash {
	sum := sha256.Sum256([]byte(credential))
	return CredentialHash(hex.EncodeToString(sum[:]))
}

// Credential names what the bearer of a credential may do.
type Credential struct {
	Org      types.OrgName       `json:"organisation"`
	Services []types.ServiceName `json:"services"`
	MaxRank  types.Rank          `json:"max_rank"`
}

// Role is what the bearer of an administrator's credential may read.
type Role string

// The roles of the administration API.
const (
	// RoleOperator reads everything.
	RoleOperator Role = "operator"
	// RoleTeam reads what concerns the services of one team.
	RoleTeam Role = "team"
)

// Administrator may read the administration API.
type Administrator struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Team is set for RoleTeam.
	Team types.TeamName `json:"team,omitempty"`
}

// Policy holds the deployment-wide limits and weights.
type Policy struct {
	// PatientFloor is the share of capacity, 0 to 1, that the patient rank
	// keeps while urgent work floods.
	PatientFloor float64 `json:"patient_floor"`
	// RetryBudget is the share of extra attempts over offered requests.
	RetryBudget float64 `json:"retry_budget"`
	// Weights says what the deployment minds most.
	Weights Weights `json:"weights"`
	// LinkShare is the share of a link, 0 to 1, that spilled requests may use.
	LinkShare float64 `json:"link_share"`
	// QuarantineAfter is the number of endpoint crashes after which a request
	// is quarantined.
	QuarantineAfter int `json:"quarantine_after"`
	// QuarantineFor is how long a quarantine lasts.
	QuarantineFor time.Duration `json:"quarantine_for"`
	// DrainLimit bounds how long a stopping daemon waits for requests in
	// flight.
	DrainLimit time.Duration `json:"drain_limit"`
	// WeightStoreBytesPerSecond bounds weight pulls of the whole fleet.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second"`
}

// Weights are relative; 1 is neutral and a larger value minds the matter more.
type Weights struct {
	Cost       float64 `json:"cost"`
	SentAway   float64 `json:"sent_away"`
	UrgentTail float64 `json:"urgent_tail"`
	Flood      float64 `json:"flood"`
}

// PlacementRequest is how many endpoints of each version a service wants.
type PlacementRequest struct {
	// Replicas is the number of endpoints per region and version.
	Replicas map[types.Region]map[types.ModelVersion]int `json:"replicas"`
	// WeightBytes is the size of one version's weights.
	WeightBytes int64 `json:"weight_bytes"`
}
