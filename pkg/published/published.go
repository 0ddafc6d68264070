// Package published defines the configuration that operators publish: services,
// organisations, credentials, regions and links. An accepted Configuration and all
// its values are immutable, so readers share them without a lock.
package published

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind is the kind of API that a service offers.
type Kind string

// Kinds of services.
const (
	// KindModel is an OpenAI-style model service.
	KindModel Kind = "model"
	// KindPlain is any other HTTP service, such as an order worker.
	KindPlain Kind = "plain"
)

// Configuration is the complete configuration of one accepted revision.
type Configuration struct {
	Revision types.Revision `json:"revision"`
	// Hash is the content hash of the signed manifest, in hex.
	Hash string `json:"hash"`
	// PlacementRevision is the latest revision that changed any value that the
	// placement of models depends on. It is the fencing number of orders to
	// engines. Zero means Revision.
	PlacementRevision types.Revision `json:"placement_revision,omitempty"`
	// PublishedAt is the time of publication by the publisher's clock. It is for
	// display only.
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

// FencingNumber returns the fencing number of orders to engines: PlacementRevision, or
// Revision if PlacementRevision is zero or larger than Revision.
func (c *Configuration) FencingNumber() types.Revision {
	if c.PlacementRevision == 0 || c.PlacementRevision > c.Revision {
		return c.Revision
	}
	return c.PlacementRevision
}

// SetPlacementRevision sets PlacementRevision. If no value that the placement of models
// depends on differs from the previous configuration, it takes over that
// configuration's fencing number; otherwise, or if previous is nil, it sets
// Revision.
func (c *Configuration) SetPlacementRevision(previous *Configuration) {
	c.PlacementRevision = c.Revision
	if previous != nil && samePlacement(previous, c) {
		c.PlacementRevision = previous.FencingNumber()
	}
}

// samePlacement reports whether all values that the placement of models depends on
// are equal in a and b.
func samePlacement(a, b *Configuration) bool {
	return reflect.DeepEqual(a.Placement, b.Placement) &&
		reflect.DeepEqual(a.Regions, b.Regions) &&
		reflect.DeepEqual(a.Links, b.Links) &&
		a.Policy.LinkShare == b.Policy.LinkShare &&
		a.Policy.WeightStoreBytesPerSecond == b.Policy.WeightStoreBytesPerSecond &&
		reflect.DeepEqual(placementFieldsOf(a), placementFieldsOf(b))
}

// placementFieldsOf returns the services reduced to the fields that the placement of
// models depends on.
func placementFieldsOf(c *Configuration) map[types.ServiceName]Service {
	versions := make(map[types.ServiceName]Service, len(c.Services))
	for name, service := range c.Services {
		versions[name] = Service{Kind: service.Kind, Versions: service.Versions, Regions: service.Regions}
	}
	return versions
}

// Region describes a region and its data centres.
type Region struct {
	Name        types.Region       `json:"name"`
	DataCentres []types.DataCentre `json:"data_centres"`
	// WeightStore is true if the weight store is in this region.
	WeightStore bool `json:"weight_store"`
}

// Link is the network link between two regions. It applies to both directions.
type Link struct {
	From types.Region `json:"from"`
	To   types.Region `json:"to"`
	// OneWay is the one-way latency.
	OneWay time.Duration `json:"one_way"`
	// BitsPerSecond is the capacity in each direction, shared by all traffic.
	BitsPerSecond int64 `json:"bits_per_second"`
}

// Service is the published configuration of a team's service.
type Service struct {
	Name types.ServiceName `json:"name"`
	Team types.TeamName    `json:"team"`
	Kind Kind              `json:"kind"`
	// Versions lists the model versions that the service may use, in order of
	// preference. It is empty for plain services.
	Versions []types.ModelVersion `json:"versions"`
	// Regions lists the regions that the service's data may go to. If it is
	// empty, no region is allowed.
	Regions []types.Region `json:"regions"`
	// MaxRank is the most urgent rank that the service may use.
	MaxRank types.Rank `json:"max_rank"`
	// Calls describes the calls of a plain service and whether they may be
	// repeated. A call that matches no entry must not be repeated.
	Calls []Call `json:"calls"`
	// RefusalMeansNotRun is true if a 503 response from the service's endpoints
	// guarantees that the request was not run.
	RefusalMeansNotRun bool `json:"refusal_means_not_run"`
	// Deadlines holds the default time limit of a request, by rank.
	Deadlines [types.RankCount]time.Duration `json:"deadlines"`
	// Objectives holds the service-level objectives, by rank.
	Objectives [types.RankCount]Objective `json:"objectives"`
	// CostPerThousandTokens is the price of 1,000 input or output tokens; for
	// plain services it is the price of one call. Zero means 1.
	CostPerThousandTokens float64 `json:"cost_per_thousand_tokens,omitempty"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Allows reports whether the service's data may go to the region. A service that
// lists no regions allows none.
func (s *Service) Allows(region types.Region) bool {
	for _, allowed := range s.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// Call describes the calls of a plain service with a given method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Repeatable is true if the call is idempotent: running it twice does no
	// harm.
	Repeatable bool `json:"repeatable"`
}

// Objective is the service-level objective of a service for one rank.
type Objective struct {
	// InTime is the share of requests that must finish before their deadline.
	InTime float64 `json:"in_time"`
	// FirstToken is the maximum time to first token; zero means no limit.
	FirstToken time.Duration `json:"first_token"`
	// BetweenTokens is the maximum inter-token latency; zero means no limit.
	BetweenTokens time.Duration `json:"between_tokens"`
	// LatencyShare is the share of requests that must meet FirstToken and
	// BetweenTokens; zero means 0.95.
	LatencyShare float64 `json:"latency_share,omitempty"`
	// Finished is the share of requests that must finish, in time or late; zero
	// means that there is no such objective.
	Finished float64 `json:"finished,omitempty"`
}

// Organisation is an organisation whose callers use the services.
type Organisation struct {
	Name types.OrgName `json:"name"`
	// Share is the organisation's weight in fair sharing, normally 1.
	Share float64 `json:"share"`
	// Home is the region that the organisation's requests are bound to; empty
	// means none.
	Home types.Region `json:"home,omitempty"`
}

// CredentialHash is the hex SHA-256 of a caller's credential.
type CredentialHash string

// HashCredential returns the hash under which a credential is published.
func HashCredential(credential string) CredentialHash {
	sum := sha256.Sum256([]byte(credential))
	return CredentialHash(hex.EncodeToString(sum[:]))
}

// Credential holds the permissions of the bearer of a caller's credential.
type Credential struct {
	Org      types.OrgName       `json:"organisation"`
	Services []types.ServiceName `json:"services"`
	MaxRank  types.Rank          `json:"max_rank"`
}

// Role determines what the bearer of an administrator's credential may read.
type Role string

// Roles of the administration API.
const (
	// RoleOperator may read everything.
	RoleOperator Role = "operator"
	// RoleTeam may read only what concerns the services of one team.
	RoleTeam Role = "team"
)

// Administrator is a bearer of a credential for the administration API.
type Administrator struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Team is the team of an administrator with RoleTeam.
	Team types.TeamName `json:"team,omitempty"`
}

// Policy holds the deployment-wide limits and weights.
type Policy struct {
	// PatientFloor is the share of capacity, 0 to 1, that is guaranteed to the
	// patient rank under an overload of urgent requests.
	PatientFloor float64 `json:"patient_floor"`
	// RetryBudget is the maximum ratio of extra attempts to offered requests.
	RetryBudget float64 `json:"retry_budget"`
	// Weights sets the relative importance of the deployment's goals.
	Weights Weights `json:"weights"`
	// LinkShare is the share of a link, 0 to 1, that spilled requests may use.
	LinkShare float64 `json:"link_share"`
	// QuarantineAfter is the number of endpoint crashes after which a request
	// is quarantined.
	QuarantineAfter int `json:"quarantine_after"`
	// QuarantineFor is the duration of a quarantine.
	QuarantineFor time.Duration `json:"quarantine_for"`
	// DrainLimit bounds how long a stopping daemon waits for requests in
	// flight.
	DrainLimit time.Duration `json:"drain_limit"`
	// WeightStoreBytesPerSecond limits the total rate at which the fleet pulls
	// model weights from the weight store.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second"`
}

// Weights holds the relative importance of the deployment's goals: 1 is neutral, a
// larger value gives the goal more weight.
type Weights struct {
	Cost       float64 `json:"cost"`
	SentAway   float64 `json:"sent_away"`
	UrgentTail float64 `json:"urgent_tail"`
	Flood      float64 `json:"flood"`
}

// PlacementRequest is the number of endpoints of each model version that a service
// requests.
type PlacementRequest struct {
	// Replicas is the number of endpoints per region and version.
	Replicas map[types.Region]map[types.ModelVersion]int `json:"replicas"`
	// WeightBytes is the size in bytes of the weights of one model version.
	WeightBytes int64 `json:"weight_bytes"`
}
