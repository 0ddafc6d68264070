// Package event defines the typed events that the control state consumes. Each
// carries its own time, so that a sequence of events replays to the same state.
package event

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Event is one input of the control state. The set of events is closed.
type Event interface {
	// Time is when the event happened.
	Time() time.Time
	isEvent()
}

// Tick tells the control state that time has passed.
type Tick struct {
	// Now is the time, monotonic where the process runs for real.
	Now time.Time
	// Wall is the wall clock without a monotonic reading; it also advances
	// while the whole VM is suspended.
	Wall time.Time
}

// AttemptFinished tells how one attempt at an endpoint ended.
type AttemptFinished struct {
	At          time.Time
	Endpoint    types.EndpointID
	Service     types.ServiceName
	Request     types.RequestID
	Attempt     types.AttemptID
	Fingerprint request.Fingerprint
	Rank        types.Rank
	// Verdict speaks for this attempt only.
	Verdict types.Verdict
	// Code is the reason of a failed attempt; empty after a success.
	Code types.Code
	// Connected is false when no connection to the endpoint was made.
	Connected bool
	// ConnectionLost is true when the connection broke after it was made,
	// which is what a crash of the endpoint looks like.
	ConnectionLost bool
	// Leaving is true when the endpoint said in its answer that it leaves.
	Leaving bool
	// OthersInFlight is how many other attempts of this daemon were running
	// at the endpoint when this one ended.
	OthersInFlight int
	// Duration is how long the attempt took.
	Duration time.Duration
	// PerToken is the mean time of a streamed token; zero for whole answers.
	PerToken time.Duration
}

// LoadReported brings the load that an endpoint reports of itself.
type LoadReported struct {
	At       time.Time
	Endpoint types.EndpointID
	Load     snapshot.Load
}

// CacheEventsRead brings cache events of a model engine.
type CacheEventsRead struct {
	At       time.Time
	Endpoint types.EndpointID
	Batch    cacheview.Batch
}

// ListRead brings one reading of the platform's VM list.
type ListRead struct {
	At time.Time
	// AskedAt is when the reading began.
	AskedAt time.Time
	Listing platform.VMListing
}

// ListFailed tells that the VM list could not be read.
type ListFailed struct {
	At time.Time
}

// ConfigRead brings a value of the configuration service.
type ConfigRead struct {
	At time.Time
	// Key is the key that was read.
	Key   string
	Value platform.Value
}

// ConfigFailed tells that a read of the configuration service failed.
type ConfigFailed struct {
	At  time.Time
	Key string
	// TimedOut is true for a watch that ended without a change.
	TimedOut bool
}

// PeerMessage brings an authenticated message of another daemon. Reply is true
// for the answer to a message that this daemon sent.
type PeerMessage struct {
	At      time.Time
	Message *peer.Message
	Reply   bool
}

// PeerFailed tells that a message to another daemon got no answer.
type PeerFailed struct {
	At time.Time
	To types.VMID
}

// DrainStarted tells that this daemon leaves.
type DrainStarted struct {
	At time.Time
}

// FloorSeen tells of a configuration revision that an authenticated ticket or
// forwarded request named.
type FloorSeen struct {
	At       time.Time
	Revision types.Revision
}

func (Tick) isEvent()            {}
func (AttemptFinished) isEvent() {}
func (LoadReported) isEvent()    {}
func (CacheEventsRead) isEvent() {}
func (ListRead) isEvent()        {}
func (ListFailed) isEvent()      {}
func (ConfigRead) isEvent()      {}
func (ConfigFailed) isEvent()    {}
func (PeerMessage) isEvent()     {}
func (PeerFailed) isEvent()      {}
func (DrainStarted) isEvent()    {}
func (FloorSeen) isEvent()       {}

// Time implements Event.
func (e Tick) Time() time.Time { return e.Now }

// Time implements Event.
func (e AttemptFinished) Time() time.Time { return e.At }

// Time implements Event.
func (e LoadReported) Time() time.Time { return e.At }

// Time implements Event.
func (e CacheEventsRead) Time() time.Time { return e.At }

// Time implements Event.
func (e ListRead) Time() time.Time { return e.At }

// Time implements Event.
func (e ListFailed) Time() time.Time { return e.At }

// Time implements Event.
func (e ConfigRead) Time() time.Time { return e.At }

// Time implements Event.
func (e ConfigFailed) Time() time.Time { return e.At }

// Time implements Event.
func (e PeerMessage) Time() time.Time { return e.At }

// Time implements Event.
func (e PeerFailed) Time() time.Time { return e.At }

// Time implements Event.
func (e DrainStarted) Time() time.Time { return e.At }

// Time implements Event.
func (e FloorSeen) Time() time.Time { return e.At }

// Compile-time checks that every event is one.
var (
	_ Event = Tick{}
	_ Event = AttemptFinished{}
	_ Event = LoadReported{}
	_ Event = ListRead{}
	_ Event = ListFailed{}
	_ Event = ConfigRead{}
	_ Event = ConfigFailed{}
	_ Event = PeerMessage{}
	_ Event = PeerFailed{}
	_ Event = DrainStarted{}
	_ Event = FloorSeen{}
)
