// Package event defines the typed events that the control state consumes. Each
// event carries its own time, so that replaying a sequence of events yields the
// same state.
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

// Event is one input of the control state. Only this package defines events.
type Event interface {
	// Time returns the time at which the event happened.
	Time() time.Time
	isEvent()
}

// Tick advances the time of the control state.
type Tick struct {
	// Now is the current time. It has a monotonic reading when the process runs in
	// real time.
	Now time.Time
	// Wall is the wall-clock time without a monotonic reading. It also advances
	// while the whole VM is suspended.
	Wall time.Time
}

// AttemptFinished reports how one attempt at an endpoint ended.
type AttemptFinished struct {
	At          time.Time
	Endpoint    types.EndpointID
	Service     types.ServiceName
	Request     types.RequestID
	Attempt     types.AttemptID
	Fingerprint request.Fingerprint
	Rank        types.Rank
	// Verdict applies to this attempt only, not to the whole request.
	Verdict types.Verdict
	// Code is the reason for the failure of the attempt; it is empty after a
	// success.
	Code types.Code
	// Connected is false when no connection to the endpoint was made.
	Connected bool
	// ConnectionLost is true when an established connection broke, as it does
	// when the endpoint crashes.
	ConnectionLost bool
	// Leaving is true when the endpoint stated in its response that it is
	// draining.
	Leaving bool
	// OthersInFlight is the number of other attempts that this daemon had in
	// flight at the endpoint when this one ended.
	OthersInFlight int
	// Duration is the time from the start of the attempt to its end.
	Duration time.Duration
	// InterTokenLatency is the mean inter-token latency of a streamed response; it is
	// zero for a response that is not streamed.
	InterTokenLatency time.Duration
}

// LoadReported carries the load that an endpoint reports about itself.
type LoadReported struct {
	At       time.Time
	Endpoint types.EndpointID
	Load     snapshot.Load
}

// CacheEventsRead carries prefix cache events that were read from the model
// engine of an endpoint.
type CacheEventsRead struct {
	At       time.Time
	Endpoint types.EndpointID
	Batch    cacheview.Batch
}

// ListRead carries the result of one read of the platform's VM list.
type ListRead struct {
	At time.Time
	// StartedAt is the time at which the read began.
	StartedAt time.Time
	Listing   platform.VMListing
}

// ListFailed reports that a read of the VM list failed.
type ListFailed struct {
	At time.Time
}

// ConfigRead carries a value that was read from the configuration service.
type ConfigRead struct {
	At time.Time
	// Key is the key that was read.
	Key   string
	Value platform.Value
}

// ConfigFailed reports that a read or watch of a key in the configuration
// service failed.
type ConfigFailed struct {
	At  time.Time
	Key string
	// TimedOut is true for a watch that timed out without a change.
	TimedOut bool
}

// PeerMessage carries an authenticated message from another daemon. Reply is
// true for the reply to a message that this daemon sent.
type PeerMessage struct {
	At      time.Time
	Message *peer.Message
	Reply   bool
}

// PeerFailed reports that a message to another daemon received no reply.
type PeerFailed struct {
	At time.Time
	To types.VMID
}

// DrainStarted reports that this daemon began to drain.
type DrainStarted struct {
	At time.Time
}

// RevisionFloorSeen carries a configuration revision that an authenticated ticket or
// forwarded request named.
type RevisionFloorSeen struct {
	At       time.Time
	Revision types.Revision
}

func (Tick) isEvent()              {}
func (AttemptFinished) isEvent()   {}
func (LoadReported) isEvent()      {}
func (CacheEventsRead) isEvent()   {}
func (ListRead) isEvent()          {}
func (ListFailed) isEvent()        {}
func (ConfigRead) isEvent()        {}
func (ConfigFailed) isEvent()      {}
func (PeerMessage) isEvent()       {}
func (PeerFailed) isEvent()        {}
func (DrainStarted) isEvent()      {}
func (RevisionFloorSeen) isEvent() {}

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
func (e RevisionFloorSeen) Time() time.Time { return e.At }

// Compile-time checks that these types implement Event.
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
	_ Event = RevisionFloorSeen{}
)
