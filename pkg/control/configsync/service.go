package configsync

import (
	"encoding/json"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/platform"
)

// Read is a read or a watch of one value in the configuration service.
type Read struct {
	Key string
	// Watch is true for a watch of the manifest, which returns when its version
	// changes.
	Watch bool
	// After is the last version read; a watch waits for a different one.
	After uint64
	// Timeout is the timeout of the call.
	Timeout time.Duration
}

// serviceReader schedules reads of the manifest from the configuration service
// and limits the rate of blob reads with a token bucket.
type serviceReader struct {
	manifestVersion uint64 // the manifest's version when it was last read
	// busyUntil is when a manifest read or watch in flight is considered lost.
	busyUntil  time.Time
	notBefore  time.Time // when the next manifest read may start
	backoff    time.Duration
	tokens     float64 // blob reads that may start now
	refilledAt time.Time
}

// burstReads is the capacity of the token bucket for blob reads.
const burstReads = 8

const initialBackoff = time.Second

func (r *serviceReader) init(now time.Time) {
	r.tokens, r.refilledAt = burstReads, now
}

// allowRead takes a token for one blob read and reports whether there was one.
func (r *serviceReader) allowRead(now time.Time, perSecond float64) bool {
	r.tokens = min(burstReads, r.tokens+now.Sub(r.refilledAt).Seconds()*perSecond)
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// ReadValue processes a value read from the configuration service.
func (s *State) ReadValue(now time.Time, key string, value platform.Value) {
	if key == bundle.ManifestKey {
		changed := value.Version != s.service.manifestVersion
		s.service.manifestVersion = value.Version
		s.service.busyUntil, s.service.backoff = time.Time{}, 0
		if changed {
			s.handleManifest(now, value.Data, true)
		}
		return
	}
	hash, pack, ok := bundle.ParseKey(key)
	if !ok || s.pending == nil {
		return
	}
	delete(s.pending.nextReadAt, key)
	if pack {
		s.addPack(now, value.Data)
	} else if bundle.HashOf(value.Data) == hash {
		s.addBlob(value.Data)
	} else {
		s.raiseAlarm(now, "the service's value of %s does not match its hash", key)
	}
	s.tryAccept(now)
}

func (s *State) addPack(now time.Time, data []byte) {
	var pack bundle.Pack
	if err := json.Unmarshal(data, &pack); err != nil {
		s.raiseAlarm(now, "refused a pack: %v", err)
		return
	}
	for _, blob := range pack.Blobs {
		s.addBlob(blob)
	}
}

// ReadFailed records that a read failed. A watch that ended without a change,
// for which timedOut is true, does not count as a failure and resets the
// backoff.
func (s *State) ReadFailed(now time.Time, key string, timedOut bool) {
	if key != bundle.ManifestKey {
		if s.pending != nil {
			s.pending.nextReadAt[key] = now.Add(s.jitter(s.opts.RequestTimeout))
		}
		return
	}
	s.service.busyUntil = time.Time{}
	if timedOut {
		s.service.backoff = 0
		return
	}
	s.service.backoff = min(max(2*s.service.backoff, initialBackoff), s.opts.MaxBackoff)
	if next := now.Add(s.jitter(s.service.backoff)); next.After(s.service.notBefore) {
		s.service.notBefore = next
	}
}

// readManifest returns the read or watch of the manifest that is due, if any.
func (s *State) readManifest(now time.Time, watcher bool) []Read {
	r := &s.service
	if now.Before(r.busyUntil) || now.Before(r.notBefore) {
		return nil
	}
	const slack = time.Second // a call may end a little after its timeout
	switch {
	case watcher && r.manifestVersion != 0:
		r.busyUntil = now.Add(s.opts.WatchTimeout + slack)
		return []Read{{Key: bundle.ManifestKey, Watch: true, After: r.manifestVersion, Timeout: s.opts.WatchTimeout}}
	case watcher:
	case s.Silent(now):
		r.notBefore = now.Add(s.jitter(s.opts.FallbackInterval / 3 * 4))
	default:
		return nil
	}
	r.busyUntil = now.Add(s.opts.RequestTimeout + slack)
	return []Read{{Key: bundle.ManifestKey, Timeout: s.opts.RequestTimeout}}
}

// Silent reports whether no message from a peer has arrived for SilentAfter.
func (s *State) Silent(now time.Time) bool {
	return now.Sub(s.lastPeerMessageAt) >= s.opts.SilentAfter
}

// readBlobs returns the reads of missing blobs that may start now. A daemon with
// no accepted configuration reads the pack of an index, which holds the index
// and all its leaves in one value, instead of the index.
func (s *State) readBlobs(now time.Time, missing []bundle.MissingBlob) []Read {
	var reads []Read
	for _, need := range missing {
		key := bundle.BlobKey(need.Hash)
		if need.Index && s.accepted.tree.Empty() {
			key = bundle.PackKey(need.Hash)
		}
		if now.Before(s.pending.nextReadAt[key]) {
			continue
		}
		if !s.service.allowRead(now, s.opts.ReadsPerSecond) {
			break
		}
		s.pending.nextReadAt[key] = now.Add(s.opts.RequestTimeout)
		reads = append(reads, Read{Key: key, Timeout: s.opts.RequestTimeout})
	}
	return reads
}

// jitter returns a random duration between d/2 and d, 3/4 of d on average.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
