package control

import "github.com/flamingomount/flamingomount/pkg/snapshot"

// Snapshots provides the latest snapshot to traffic goroutines.
type Snapshots interface {
	// Load returns the latest snapshot, which is never nil.
	Load() *snapshot.Snapshot
}

var _ Snapshots = (*Control)(nil)

// Load implements Snapshots.
func (c *Control) Load() *snapshot.Snapshot { return c.holder.Load() }
