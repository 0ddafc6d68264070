package deployment

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Names in the configuration that Config returns.
const (
	Model   types.ServiceName  = "liner-assistant"
	Orders  types.ServiceName  = "liner-orders"
	Version types.ModelVersion = "2026-10"
	Org     types.OrgName      = "field-agents"
	// Credential may use both services at every rank.
	Credential = "loopback-caller"
)

// The links and policy of the configuration that Config returns.
const (
	linkOneWay        = 55 * time.Millisecond
	linkBitsPerSecond = 140_000_000
	urgentDeadline    = 8 * time.Second
	patientDeadline   = time.Minute
	maxBodyBytes      = 4 << 20
)

// Config returns a small configuration with one model service, one order
// service and one organisation, allowed in every region given.
func Config(revision types.Revision, regions ...types.Region) *published.Configuration {
	config := &published.Configuration{
		Revision:    revision,
		PublishedAt: time.Now(),
		Regions:     make(map[types.Region]*published.Region),
		Services:    services(regions),
		Orgs:        map[types.OrgName]*published.Organisation{Org: {Name: Org, Share: 1}},
		Credentials: map[published.CredentialHash]*published.Credential{
			published.HashCredential(Credential): {Org: Org, Services: []types.ServiceName{Model, Orders}, MaxRank: types.RankUrgent},
		},
		Administrators: map[published.CredentialHash]*published.Administrator{
			published.HashCredential(AdminCredential): {Name: "loopback", Role: published.RoleOperator},
		},
		Policy: published.Policy{
			PatientFloor: 0.1, RetryBudget: 0.1, LinkShare: 0.5,
			Weights:         published.Weights{Cost: 1, SentAway: 1, UrgentTail: 1, Flood: 1},
			QuarantineAfter: 2, QuarantineFor: 10 * time.Minute, DrainLimit: time.Minute,
		},
	}
	for i, region := range regions {
		config.Regions[region] = &published.Region{Name: region, DataCentres: []types.DataCentre{dataCentre(region)}}
		for _, other := range regions[:i] {
			config.Links = append(config.Links, published.Link{
				From: other, To: region, OneWay: linkOneWay, BitsPerSecond: linkBitsPerSecond,
			})
		}
	}
	return config
}

func services(regions []types.Region) map[types.ServiceName]*published.Service {
	deadlines := [types.RankCount]time.Duration{urgentDeadline, patientDeadline}
	objectives := [types.RankCount]published.Objective{{InTime: 0.99}, {InTime: 0.9}}
	return map[types.ServiceName]*published.Service{
		Model: {
			Name: Model, Team: "quotations", Kind: published.KindModel, Versions: []types.ModelVersion{Version},
			Regions: regions, Deadlines: deadlines, Objectives: objectives, MaxBodyBytes: maxBodyBytes,
		},
		Orders: {
			Name: Orders, Team: "orders", Kind: published.KindPlain, Regions: regions,
			Calls:     []published.Call{{Method: "GET", PathPrefix: "/orders", Repeatable: true}},
			Deadlines: deadlines, Objectives: objectives, MaxBodyBytes: maxBodyBytes, RefusalMeansNotRun: true,
		},
	}
}
