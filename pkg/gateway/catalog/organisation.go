package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// CredentialDigest is the SHA-256 of a credential in lower-case hex digits. Credentials
// themselves are kept nowhere; the empty digest stands for a request without one.
type CredentialDigest string

// DigestOf returns the digest of a credential.
func DigestOf(credential string) CredentialDigest {
	sum := sha256.Sum256([]byte(credential))
	return CredentialDigest(hex.EncodeToString(sum[:]))
}

// Organisation is a caller of the gateway that the operators know by its credentials.
type Organisation struct {
	Name        types.OrgName      `json:"name"`
	Credentials []CredentialDigest `json:"credentials"`
	// Rank is the urgency of all its requests; it goes before that of the route. 0 is
	// the highest.
	Rank int `json:"rank"`
	// AllowedRegions lists the regions that its data may enter; empty means all.
	AllowedRegions []types.Region `json:"homes,omitempty"`
	// Quota is nil if the organisation is not limited.
	Quota *Quota `json:"quota,omitempty"`
}

// Allows reports whether the organisation's data may be in the region. A nil
// organisation restricts nothing.
func (o *Organisation) Allows(region types.Region) bool {
	return o == nil || allows(o.AllowedRegions, region)
}

// RankOf returns the rank of an organisation. Requests that need no credential, of a nil
// organisation, have the highest one.
func (o *Organisation) RankOf() int {
	if o == nil {
		return 0
	}
	return o.Rank
}

// NameOf returns the name of an organisation; empty for a nil organisation.
func (o *Organisation) NameOf() types.OrgName {
	if o == nil {
		return ""
	}
	return o.Name
}

// Quota bounds what an organisation may ask of all daemons together, in its unit.
type Quota struct {
	// Rate is the units per second, and Burst the units beyond it that may be used at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens is true if the unit is a token of prompt or response, false if it is a
	// request.
	Tokens bool `json:"tokens,omitempty"`
	// DefaultTokens is what a request counts that names no number of tokens.
	DefaultTokens float64 `json:"default_tokens,omitempty"`
}

// Cost returns the units that a request takes from the quota. A request that names
// neither prompt nor output tokens counts as DefaultTokens.
func (q *Quota) Cost(promptTokens, outputTokens int) float64 {
	switch {
	case !q.Tokens:
		return 1
	case promptTokens+outputTokens <= 0:
		return q.DefaultTokens
	}
	return float64(promptTokens) + float64(outputTokens)
}

// QuotaBounds is how far all daemons together may exceed a quota: in any Window the
// requests of an organisation count at most (Rate*Window + Burst) * (1 + Overshoot) +
// Slack units.
type QuotaBounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// OrganisationOf returns the organisation that holds a credential, or nil if none does.
// Prepare must have been called.
func (c *Config) OrganisationOf(digest CredentialDigest) *Organisation {
	return c.byCredential[digest]
}

// CredentialOf returns a credential's digest of the organisation with a name; empty if it
// has none or is unknown.
func (c *Config) CredentialOf(name types.OrgName) CredentialDigest {
	for _, organisation := range c.Organisations {
		if organisation.Name == name && len(organisation.Credentials) > 0 {
			return organisation.Credentials[0]
		}
	}
	return ""
}

// indexCredentials builds the index that OrganisationOf uses.
func (c *Config) indexCredentials() {
	c.byCredential = make(map[CredentialDigest]*Organisation, len(c.Organisations))
	for _, organisation := range c.Organisations {
		for _, digest := range organisation.Credentials {
			c.byCredential[digest] = organisation
		}
	}
}

// urgency orders requests: by the rank of the organisation, then by that of the route.
type urgency struct {
	organisation, route int
}

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.organisation, other.organisation), cmp.Compare(u.route, other.route))
}

// Urgency returns the rank of an organisation's requests on a route among those of all
// organisations and routes of the configuration, 0 being the most urgent, and the number
// of these ranks. Prepare must have been called.
func (c *Config) Urgency(organisation *Organisation, route *Route) (rank, ranks int) {
	position, _ := slices.BinarySearchFunc(c.urgencies, urgency{organisation.RankOf(), route.Rank}, urgency.compare)
	return min(position, max(len(c.urgencies)-1, 0)), len(c.urgencies)
}

// indexUrgencies lists the ranks of all requests, the most urgent first.
func (c *Config) indexUrgencies() {
	ofOrganisations := map[int]bool{(*Organisation)(nil).RankOf(): true}
	for _, organisation := range c.Organisations {
		ofOrganisations[organisation.Rank] = true
	}
	ofRoutes := make(map[int]bool)
	for _, route := range c.Routes {
		ofRoutes[route.Rank] = true
	}
	c.urgencies = nil
	for organisation := range ofOrganisations {
		for route := range ofRoutes {
			c.urgencies = append(c.urgencies, urgency{organisation, route})
		}
	}
	slices.SortFunc(c.urgencies, urgency.compare)
}
