package configsync

import (
	"encoding/json"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/platform"
)

// Read asks for one value of the configuration service.
type Read struct {
	Key string
	// Watch is true for a waiting read of the manifest.
	Watch bool
	// After is the version that a watch waits to change.
	After uint64
	// Timeout bounds the call.
	Timeout time.Duration
}

// serviceReader paces the reads of the configuration service.
type serviceReader struct {
	version uint64 // the manifest's version when it was last read
	// busyUntil is until when a manifest read or watch is outstanding.
	busyUntil time.Time
	notBefore time.Time // when the next manifest read may start
	backoff   time.Duration
	tokens    float64 // reads of blobs that may start now
	filledAt  time.Time
}

// burstReads is how many blob reads may start at once.
const burstReads = 8

const firstBackoff = time.Second

func (r *serviceReader) init(now time.Time, opts Options) {
	r.tokens, r.filledAt = burstReads, now
}

// take takes a token for one read.
func (r *serviceReader) take(now time.Time, perSecond float64) bool {
	r.tokens = min(burstReads, r.tokens+now.Sub(r.filledAt).Seconds()*perSecond)
	r.filledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// ReadValue takes a value that was read.
func (s *State) ReadValue(now time.Time, key string, value platform.Value) {
	if key == bundle.ManifestKey {
		changed := value.Version != s.service.version
		s.service.version = value.Version
		s.service.busyUntil, s.service.backoff = time.Time{}, 0
		if changed {
			s.offer(now, value.Data, true)
		}
		return
	}
	hash, pack, ok := bundle.ParseKey(key)
	if !ok || s.next == nil {
		return
	}
	delete(s.next.reading, key)
	if pack {
		s.addPack(now, value.Data)
	} else if bundle.HashOf(value.Data) == hash {
		s.addBlob(value.Data)
	} else {
		s.alarm(now, "the service's value of %s does not match its hash", key)
	}
	s.tryAccept(now)
}

func (s *State) addPack(now time.Time, data []byte) {
	var pack bundle.Pack
	if err := json.Unmarshal(data, &pack); err != nil {
		s.alarm(now, "refused a pack: %v", err)
		return
	}
	for _, blob := range pack.Blobs {
		s.addBlob(blob)
	}
}

// ReadFailed tells that a read failed. A watch that ended without a change is
// no failure: timedOut is true then.
func (s *State) ReadFailed(now time.Time, key string, timedOut bool) {
	if key != bundle.ManifestKey {
		if s.next != nil {
			s.next.reading[key] = now.Add(s.jitter(s.opts.RequestTimeout))
		}
		return
	}
	s.service.busyUntil = time.Time{}
	if timedOut {
		s.service.backoff = 0
		return
	}
	s.service.backoff = min(max(2*s.service.backoff, firstBackoff), s.opts.MaxBackoff)
	s.service.notBefore = now.Add(s.jitter(s.service.backoff))
}

// readManifest returns the read or watch of the manifest that is due.
func (s *State) readManifest(now time.Time, watcher bool) []Read {
	r := &s.service
	if now.Before(r.busyUntil) || now.Before(r.notBefore) {
		return nil
	}
	const slack = time.Second // a call may end a little after its timeout
	switch {
	case watcher && r.version != 0:
		r.busyUntil = now.Add(s.opts.WatchTimeout + slack)
		return []Read{{Key: bundle.ManifestKey, Watch: true, After: r.version, Timeout: s.opts.WatchTimeout}}
	case watcher:
	case s.Silent(now):
		r.notBefore = now.Add(s.jitter(2 * s.opts.FallbackEvery))
	default:
		return nil
	}
	r.busyUntil = now.Add(s.opts.RequestTimeout + slack)
	return []Read{{Key: bundle.ManifestKey, Timeout: s.opts.RequestTimeout}}
}

// Silent reports whether no peer has been heard from for long.
func (s *State) Silent(now time.Time) bool {
	return now.Sub(s.heardAt) >= s.opts.SilentAfter
}

// readBlobs returns reads of what the candidate lacks.
func (s *State) readBlobs(now time.Time, missing []bundle.Need) []Read {
	var reads []Read
	for _, need := range missing {
		key := bundle.BlobKey(need.Hash)
		if need.Index && s.accepted.tree.Empty() {
			key = bundle.PackKey(need.Hash)
		}
		if now.Before(s.next.reading[key]) {
			continue
		}
		if !s.service.take(now, s.opts.ReadsPerSecond) {
			break
		}
		s.next.reading[key] = now.Add(s.opts.RequestTimeout)
		reads = append(reads, Read{Key: key, Timeout: s.opts.RequestTimeout})
	}
	return reads
}

// jitter draws a duration between half of d and d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
