// Package control runs the control state of a daemon: one goroutine owns it,
// takes typed events and publishes immutable snapshots for traffic goroutines.
// The decisions stand in package node and below; this package is the edge that
// brings time, randomness and the network to them.
package control

import (
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// Submitter takes events from other goroutines.
type Submitter interface {
	// Submit hands an event to the control goroutine. It never blocks: when
	// the queue is full the event is dropped, counted, and false returned.
	Submit(e event.Event) bool
}

// Snapshots gives the newest snapshot.
type Snapshots interface {
	// Load returns the newest snapshot; it is never nil.
	Load() *snapshot.Snapshot
}
