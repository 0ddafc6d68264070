// Package types defines the small value types that the other packages share:
// names, ranks, revisions, incarnations, verdicts and failures. It imports no
// other package of this module.
package types

import (
	"fmt"
	"strconv"
)

// Region names a region of a deployment, for example "kathmandu".
type Region string

// DataCentre names a data centre inside a region.
type DataCentre string

// ServiceName names a published service; for model services it is also the
// model name that callers specify in their requests.
type ServiceName string

// OrgName names a calling organisation.
type OrgName string

// TeamName names the team that owns a service's file.
type TeamName string

// ModelVersion names one version of a model, for example "2026-10".
type ModelVersion string

// EndpointID identifies one endpoint in the published VM list.
type EndpointID string

// VMID identifies one VM by its peer address, "ip:port".
type VMID string

// BootID is the random identifier that a process generates when it
// starts.
type BootID string

// RequestID identifies one caller's request in logs and towards other daemons.
type RequestID string

// AttemptID identifies one attempt to run a request at one endpoint. An
// endpoint echoes it, so that a response can be matched to its attempt.
type AttemptID string

// Incarnation identifies one run of a daemon by its VM and the boot ID of its
// process. A restarted daemon is a new incarnation on the same VM.
type Incarnation struct {
	VM   VMID   `json:"vm"`
	Boot BootID `json:"boot"`
}

// String returns "vm/boot".
func (i Incarnation) String() string {
	return string(i.VM) + "/" + string(i.Boot)
}

// IsZero reports whether i is the zero value, which names no incarnation.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// Revision is the number of a published configuration. A larger revision is
// newer; zero means that no revision is known.
type Revision uint64

// String returns the revision as a decimal number.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}

// Rank is the urgency class of a request. A lower value is more urgent.
type Rank uint8

// The ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankPatient
)

// RankCount is the number of ranks.
const RankCount = 2

// Ranks returns all ranks, most urgent first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{RankUrgent, RankPatient}
}

var rankNames = [RankCount]string{"urgent", "patient"}

// String returns "urgent" or "patient", or "rank(N)" for an invalid rank N.
func (r Rank) String() string {
	if int(r) >= RankCount {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank parses "urgent" or "patient" and returns an error for any other
// text.
func ParseRank(text string) (Rank, error) {
	for i, name := range rankNames {
		if name == text {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q: want %q or %q", text, rankNames[0], rankNames[1])
}

// MarshalText returns the rank's name, or an error for an invalid rank.
func (r Rank) MarshalText() ([]byte, error) {
	if int(r) >= RankCount {
		return nil, fmt.Errorf("unknown rank %d", uint8(r))
	}
	return []byte(rankNames[r]), nil
}

// UnmarshalText parses a rank's name as ParseRank does.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}
