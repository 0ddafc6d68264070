package fakeworld

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Service is the name of the one service of a world.
const Service types.ServiceName = "assistant"

// Config describes a world.
type Config struct {
	Seed    uint64
	Regions []Region
	Links   []published.Link
	Policy  published.Policy
	// ReportEvery is how often an engine takes a load report; ReportDelay is
	// how late it arrives.
	ReportEvery time.Duration
	ReportDelay time.Duration
	// CacheBlocks is the size of an engine's prefix cache, in prompt blocks.
	CacheBlocks int
	// CacheEventDelay is how late cache events arrive; CacheEventLoss is the
	// share of them that never does.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// HealthDelay is how late a daemon hears that an engine went down or came
	// back; RestartAfter is how long an engine is down after a crash.
	HealthDelay  time.Duration
	RestartAfter time.Duration
	// SummaryEvery is how often regions tell each other of their room.
	SummaryEvery time.Duration
	// FirstShare is the share of a region's calls, 0 to 1, that its first daemon
	// gets beside its even share of the rest.
	FirstShare float64
	// Streams is the offered work.
	Streams []Stream
	// Warmup is not measured. Duration is the time of arrivals, warm-up
	// included.
	Warmup   time.Duration
	Duration time.Duration
	// Resends is how often a refused caller returns after its Retry-After.
	Resends int
}

// Region is one region of a world.
type Region struct {
	Name      types.Region
	Endpoints int
	Slots     int
	Daemons   int
}

// Stream is one kind of offered work.
type Stream struct {
	Name   string
	Region types.Region
	Rank   types.Rank
	// Rate is the requests per second at a time since the start.
	Rate func(since time.Duration) float64
	// MinTokens and MaxTokens bound the output, drawn uniformly.
	MinTokens int
	MaxTokens int
	Deadline  time.Duration
	// Orgs is the number of organisations; the k-th is drawn with a weight of
	// 1/k.
	Orgs int
	// SharedBlocks is the length of the prompt start that an organisation's
	// requests share. Documents is how many documents each organisation has,
	// and DocumentBlocks their length.
	SharedBlocks   int
	Documents      int
	DocumentBlocks int
	// Prefix names the organisations; empty means the stream's name.
	Prefix string
}

// Constant is a rate that does not change.
func Constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Today is one region of the size of today's deployments: 12 engines and 8
// daemons, with reports and events a second late.
func Today(seed uint64) Config {
	return Config{
		Seed:            seed,
		Regions:         []Region{{Name: "kathmandu", Endpoints: 12, Slots: 16, Daemons: 8}},
		Policy:          published.Policy{PatientFloor: 0.1, RetryBudget: 0.1, LinkShare: 0.5},
		ReportEvery:     250 * time.Millisecond,
		ReportDelay:     250 * time.Millisecond,
		CacheBlocks:     3000,
		CacheEventDelay: time.Second,
		CacheEventLoss:  0.02,
		HealthDelay:     time.Second,
		RestartAfter:    20 * time.Second,
		SummaryEvery:    time.Second,
		Warmup:          60 * time.Second,
		Duration:        240 * time.Second,
	}
}

// Mean times of one request in a full batch with a warm cache.
const (
	urgentTokens  = 50
	patientTokens = 500
)

// Capacity is the number of requests per second of the rank that the slots of a
// region can run.
func (r Region) Capacity(rank types.Rank) float64 {
	tokens := urgentTokens
	if rank == types.RankPatient {
		tokens = patientTokens
	}
	hold := time.Duration(tokens) * perOutputToken
	return float64(r.Endpoints*r.Slots) / hold.Seconds()
}

// Urgent is a stream of brief questions that offers the given share of the
// region's capacity.
func (r Region) Urgent(share float64) Stream {
	return Stream{
		Name: "urgent", Region: r.Name, Rank: types.RankUrgent, Prefix: "org",
		Rate:      Constant(share * r.Capacity(types.RankUrgent)),
		MinTokens: urgentTokens / 2, MaxTokens: urgentTokens * 3 / 2,
		Deadline: 5 * time.Second, Orgs: 200, SharedBlocks: 4, Documents: 4, DocumentBlocks: 2,
	}
}

// Patient is a stream of long reports that offers the given share of the
// region's capacity.
func (r Region) Patient(share float64) Stream {
	return Stream{
		Name: "patient", Region: r.Name, Rank: types.RankPatient, Prefix: "org",
		Rate:      Constant(share * r.Capacity(types.RankPatient)),
		MinTokens: patientTokens / 2, MaxTokens: patientTokens * 3 / 2,
		Deadline: 10 * time.Minute, Orgs: 200, SharedBlocks: 4, Documents: 4, DocumentBlocks: 16,
	}
}
