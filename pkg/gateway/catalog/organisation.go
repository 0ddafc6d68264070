package catalog

import (
	"crypto/sha256"
	"encoding/hex"
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

// indexCredentials builds the index that OrganisationOf uses.
func (c *Config) indexCredentials() {
	c.byCredential = make(map[CredentialDigest]*Organisation, len(c.Organisations))
	for _, organisation := range c.Organisations {
		for _, digest := range organisation.Credentials {
			c.byCredential[digest] = organisation
		}
	}
}
