// Package source reads the operators' YAML files into a configuration. Every
// problem of every file is reported at once, with file, line and field.
package source

import (
	"errors"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// File is one operators' file as read, not yet decoded.
type File struct {
	// Name is the path that messages name.
	Name string
	Data []byte
}

// field is a value with the line it stands on; Line is 0 when it is absent.
type field[T any] struct {
	Value T
	Line  int
}

// UnmarshalYAML notes the line of the value.
func (f *field[T]) UnmarshalYAML(node *yaml.Node) error {
	f.Line = node.Line
	err := node.Decode(&f.Value)
	var typed *yaml.TypeError
	if err == nil || errors.As(err, &typed) {
		return err
	}
	// An error of this type lets the decoder go on and report the rest too.
	return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %v", node.Line, err)}}
}

// set reports whether the file gives the value.
func (f *field[T]) set() bool { return f.Line != 0 }

// document is everything that a file may hold. A service's file holds one
// service; the deployment's file holds regions, links and policy; organisations
// may stand in any number of files.
type document struct {
	Service            field[types.ServiceName]                 `yaml:"service"`
	Team               field[types.TeamName]                    `yaml:"team"`
	Kind               field[string]                            `yaml:"kind"`
	Versions           []field[types.ModelVersion]              `yaml:"versions"`
	ServiceRegions     []field[types.Region]                    `yaml:"allowed_regions"`
	MaxRank            field[types.Rank]                        `yaml:"max_rank"`
	Calls              []callEntry                              `yaml:"calls"`
	RefusalMeansNotRun field[bool]                              `yaml:"refusal_means_not_run"`
	Deadlines          byRank[field[time.Duration]]             `yaml:"deadlines"`
	Objectives         byRank[objectiveEntry]                   `yaml:"objectives"`
	MaxBodyBytes       field[int64]                             `yaml:"max_body_bytes"`
	CostPerThousand    field[float64]                           `yaml:"cost_per_thousand_tokens"`
	WeightBytes        field[int64]                             `yaml:"weight_bytes"`
	Replicas           field[map[types.Region]replicasByRegion] `yaml:"replicas"`

	Regions []regionEntry `yaml:"regions"`
	Links   []linkEntry   `yaml:"links"`
	Policy  *policyEntry  `yaml:"policy"`

	Organisations  []orgEntry           `yaml:"organisations"`
	Administrators []administratorEntry `yaml:"administrators"`
}

type replicasByRegion map[types.ModelVersion]int

// byRank holds a value for each rank.
type byRank[T any] struct {
	Urgent  T `yaml:"urgent"`
	Patient T `yaml:"patient"`
}

type callEntry struct {
	Method     field[string] `yaml:"method"`
	PathPrefix field[string] `yaml:"path_prefix"`
	Repeatable field[bool]   `yaml:"repeatable"`
}

type objectiveEntry struct {
	InTime        field[float64]       `yaml:"in_time"`
	FirstToken    field[time.Duration] `yaml:"first_token"`
	BetweenTokens field[time.Duration] `yaml:"between_tokens"`
	LatencyShare  field[float64]       `yaml:"latency_share"`
	Finished      field[float64]       `yaml:"finished"`
}

type regionEntry struct {
	Name        field[types.Region]       `yaml:"name"`
	DataCentres []field[types.DataCentre] `yaml:"data_centres"`
	WeightStore bool                      `yaml:"weight_store"`
}

type linkEntry struct {
	From          field[types.Region]  `yaml:"from"`
	To            field[types.Region]  `yaml:"to"`
	OneWay        field[time.Duration] `yaml:"one_way"`
	BitsPerSecond field[int64]         `yaml:"bits_per_second"`
}

type policyEntry struct {
	PatientFloor              field[float64]       `yaml:"patient_floor"`
	RetryBudget               field[float64]       `yaml:"retry_budget"`
	Weights                   weightsEntry         `yaml:"weights"`
	LinkShare                 field[float64]       `yaml:"link_share"`
	QuarantineAfter           field[int]           `yaml:"quarantine_after"`
	QuarantineFor             field[time.Duration] `yaml:"quarantine_for"`
	DrainLimit                field[time.Duration] `yaml:"drain_limit"`
	WeightStoreBytesPerSecond field[int64]         `yaml:"weight_store_bytes_per_second"`
}

type weightsEntry struct {
	Cost       field[float64] `yaml:"cost"`
	SentAway   field[float64] `yaml:"sent_away"`
	UrgentTail field[float64] `yaml:"urgent_tail"`
	Flood      field[float64] `yaml:"flood"`
}

type orgEntry struct {
	Name        field[types.OrgName] `yaml:"name"`
	Share       field[float64]       `yaml:"share"`
	Home        field[types.Region]  `yaml:"home"`
	Credentials []credentialEntry    `yaml:"credentials"`
}

type credentialEntry struct {
	SHA256   field[string]              `yaml:"sha256"`
	Services []field[types.ServiceName] `yaml:"services"`
	MaxRank  field[types.Rank]          `yaml:"max_rank"`
}

type administratorEntry struct {
	Name   field[string]         `yaml:"name"`
	SHA256 field[string]         `yaml:"sha256"`
	Role   field[published.Role] `yaml:"role"`
	Team   field[types.TeamName] `yaml:"team"`
}
