// Package types holds the small value types that every other package shares:
// names, ranks, revisions, incarnations, verdicts and failures. It imports
// nothing of this module.
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
// model name that callers put into their requests.
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

// BootID is the random identifier that a process draws when it starts.
type BootID string

// RequestID identifies one request of one caller for logs and peers.
type RequestID string

// AttemptID identifies one attempt to run a request at one endpoint. An
// endpoint echoes it, so that an answer can be matched to its attempt.
type AttemptID string

// Incarnation is one run of one daemon: its VM and the boot ID of the process.
// A restarted daemon is another incarnation on the same VM.
type Incarnation struct {
	VM   VMID   `json:"vm"`
	Boot BootID `json:"boot"`
}

// String returns "vm/boot".
func (i Incarnation) String() string {
	return string(i.VM) + "/" + string(i.Boot)
}

// IsZero reports whether no incarnation is named.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// Revision numbers a published configuration. A larger revision is newer; zero
// means that none is known.
type Revision uint64

// String returns the revision in decimal.
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

// Ranks lists every rank, most urgent first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{RankUrgent, RankPatient}
}

var rankNames = [RankCount]string{"urgent", "patient"}

// String returns "urgent" or "patient".
func (r Rank) String() string {
	if int(r) >= RankCount {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank reads "urgent" or "patient"; any other text is an error.
func ParseRank(text string) (Rank, error) {
	for i, name := range rankNames {
		if name == text {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q: want %q or %q", text, rankNames[0], rankNames[1])
}

// MarshalText writes the rank's name.
func (r Rank) MarshalText() ([]byte, error) {
	if int(r) >= RankCount {
		return nil, fmt.Errorf("unknown rank %d", uint8(r))
	}
	return []byte(rankNames[r]), nil
}

// UnmarshalText reads the rank's name.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}
