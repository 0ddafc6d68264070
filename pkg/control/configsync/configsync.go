package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// State is one daemon's view of the configuration: the accepted revision, a
// newer one being fetched, and what peers report. It is not safe for concurrent
// use.
type State struct {
	opts     Options
	rng      *rand.Rand
	started  time.Time
	accepted accepted
	pending  *candidate
	// floor is the highest revision reported in an authenticated message.
	floor types.Revision
	// readyPeerSeen is true once a peer that is ready for traffic has sent a
	// message.
	readyPeerSeen     bool
	lastPeerMessageAt time.Time // when the last message from a peer arrived
	settled           bool
	changed           bool
	holders           []Holder
	service           serviceReader
	nextRequestAt     time.Time
	alarms            []Alarm
	// fromService, lastAlarm and confirmedAtMS are the values Origin returns;
	// confirmedAtMS is in Unix milliseconds.
	fromService   bool
	lastAlarm     string
	confirmedAtMS *atomic.Int64
	// lastConflictAlarmAt is when a hash conflict with a peer last raised an alarm.
	lastConflictAlarmAt time.Time
}

// accepted is the newest accepted revision with its manifest and blobs.
type accepted struct {
	config *published.Configuration
	signed []byte
	tree   *bundle.Tree
	// previous is the revision that this daemon had accepted before. addedBlobs
	// holds the blobs fetched since, which are sent along with the manifest to
	// peers still at that revision.
	previous   types.Revision
	addedBlobs [][]byte
}

// candidate is a newer revision whose blobs are still being fetched.
type candidate struct {
	manifest    bundle.Manifest
	hash        bundle.Hash
	signed      []byte
	blobs       map[bundle.Hash][]byte
	receivedAt  time.Time
	fromService bool
	// requestedFrom is the peer whose response is awaited until requestDeadline.
	requestedFrom   types.VMID
	requestDeadline time.Time
	failedRequests  int
	// nextReadAt maps each key that is being read from the service, or whose read
	// failed, to the earliest time at which it may be read again.
	nextReadAt map[string]time.Time
}

// Holder is a peer with its location and the revision it has accepted.
type Holder struct {
	VM         types.VMID
	Region     types.Region
	DataCentre types.DataCentre
	Revision   types.Revision
}

// Alarm is a condition that is reported to operators.
type Alarm struct {
	At   time.Time
	Text string
}

// New returns a state without an accepted configuration.
func New(opts Options, rng *rand.Rand, now time.Time) *State {
	s := &State{confirmedAtMS: &atomic.Int64{}, opts: opts.withDefaults(), rng: rng, started: now, lastPeerMessageAt: now}
	s.accepted.tree = &bundle.Tree{}
	s.service.init(now)
	return s
}

// Revision returns the accepted revision, or zero when there is none.
func (s *State) Revision() types.Revision {
	if s.accepted.config == nil {
		return 0
	}
	return s.accepted.config.Revision
}

// Hash returns the hash of the accepted manifest, or an empty string when there
// is none.
func (s *State) Hash() string {
	if s.accepted.config == nil {
		return ""
	}
	return s.accepted.config.Hash
}

// shortHashLength is the number of hex digits of a hash in messages between
// daemons.
const shortHashLength = 16

// ShortHash returns the first 16 hex digits of Hash, for messages to peers.
func (s *State) ShortHash() string {
	hash := s.Hash()
	return hash[:min(len(hash), shortHashLength)]
}

// InForce returns the accepted configuration once the daemon has settled, and
// nil before.
func (s *State) InForce() *published.Configuration {
	if !s.settled {
		return nil
	}
	return s.accepted.config
}

// Floor returns the highest revision that this daemon has accepted or that an
// authenticated message has reported.
func (s *State) Floor() types.Revision {
	return max(s.floor, s.Revision())
}

// TakeChanged reports whether InForce or Origin may have changed since the last
// call, and resets the flag.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// TakeAlarms returns and clears the alarms raised since the last call, at most
// 16.
func (s *State) TakeAlarms() []Alarm {
	alarms := s.alarms
	s.alarms = nil
	return alarms
}

// Newer returns the signed accepted manifest for a peer whose accepted revision,
// than, is older. For a peer at the revision that this daemon accepted just
// before, it also returns the blobs fetched since. Both are nil when the peer
// is not behind.
func (s *State) Newer(than types.Revision) (signed []byte, blobs [][]byte) {
	if than >= s.Revision() {
		return nil, nil
	}
	if than != 0 && than == s.accepted.previous {
		blobs = s.accepted.addedBlobs
	}
	return s.accepted.signed, blobs
}

// Blob returns the blob with the given hash if the accepted configuration has
// it.
func (s *State) Blob(hash bundle.Hash) ([]byte, bool) {
	return s.accepted.tree.Blob(hash)
}

// SetFloor raises the floor to revision, which must come from an authenticated
// message. A lower revision has no effect.
func (s *State) SetFloor(revision types.Revision) {
	s.floor = max(s.floor, revision)
}

// RecordPeer records what an authenticated message reports about its sender: its
// location and revision, the ShortHash of its configuration, and whether it is
// ready for traffic.
func (s *State) RecordPeer(now time.Time, peer Holder, hash string, ready bool) {
	s.lastPeerMessageAt = now
	s.SetFloor(peer.Revision)
	if ready {
		s.readyPeerSeen = true
	}
	if peer.Revision != 0 && peer.Revision == s.Revision() && hash == s.ShortHash() {
		s.recordConfirmation(now)
	}
	if peer.Revision != 0 && peer.Revision == s.Revision() && hash != s.ShortHash() && now.Sub(s.lastConflictAlarmAt) > conflictAlarmInterval {
		s.lastConflictAlarmAt = now
		s.raiseAlarm(now, "peer %s holds revision %s with hash %s..., this daemon with %s", peer.VM, peer.Revision, hash, s.Hash())
	}
	if peer.Revision > s.Revision() {
		s.addHolder(peer)
	}
}

// conflictAlarmInterval is the minimum time between two alarms about peers that
// hold the same revision with a different hash.
const conflictAlarmInterval = time.Minute

// maxHolders is the maximum number of peers kept as sources of a newer revision.
const maxHolders = 8

func (s *State) addHolder(peer Holder) {
	for i := range s.holders {
		if s.holders[i].VM == peer.VM {
			s.holders[i] = peer
			return
		}
	}
	if len(s.holders) < maxHolders {
		s.holders = append(s.holders, peer)
	}
}

// handleManifest verifies a signed manifest from the service or a peer. A newer
// revision becomes the candidate; an alarm reports an invalid or conflicting
// manifest.
func (s *State) handleManifest(now time.Time, data []byte, fromService bool) {
	manifest, hash, err := bundle.VerifySigned(data, s.opts.Keys)
	if err != nil {
		s.raiseAlarm(now, "refused a manifest: %v", err)
		return
	}
	switch {
	case manifest.Revision == s.Revision() && string(hash) != s.Hash():
		s.raiseAlarm(now, "refused revision %s with hash %s: already accepted with %s", manifest.Revision, hash, s.Hash())
	case manifest.Revision == s.Revision():
		s.recordConfirmation(now)
	case manifest.Revision < s.Revision():
	case manifest.Revision < s.floor:
		// The source is stale: a peer has reported a newer revision.
	case s.pending != nil && manifest.Revision == s.pending.manifest.Revision && hash != s.pending.hash:
		s.raiseAlarm(now, "refused revision %s with hash %s: already fetching %s", manifest.Revision, hash, s.pending.hash)
	case s.pending != nil && manifest.Revision <= s.pending.manifest.Revision:
	default:
		s.setCandidate(now, &candidate{manifest: manifest, hash: hash, signed: slices.Clone(data), fromService: fromService, receivedAt: now})
	}
}

// maxInheritedBlobs limits inheritance: a new candidate takes over the blobs of the
// incomplete one that it replaces only while they are fewer than this.
const maxInheritedBlobs = 2 * bundle.Leaves

func (s *State) setCandidate(now time.Time, c *candidate) {
	c.blobs, c.nextReadAt = map[bundle.Hash][]byte{}, map[string]time.Time{}
	if s.pending != nil && len(s.pending.blobs) < maxInheritedBlobs {
		c.blobs = s.pending.blobs
	}
	s.pending = c
	s.tryAccept(now)
}

// addBlob stores a blob for the candidate. Blobs are content-addressed, so
// their source does not matter.
func (s *State) addBlob(data []byte) {
	if s.pending != nil {
		s.pending.blobs[bundle.HashOf(data)] = data
	}
}

// tryAccept accepts the candidate once all its blobs have been fetched, and
// rejects it if they are inconsistent.
func (s *State) tryAccept(now time.Time) {
	if s.pending == nil {
		return
	}
	c := s.pending
	missing, err := s.accepted.tree.Missing(c.manifest, c.blobs)
	if err != nil {
		s.rejectCandidate(now, c, err)
		return
	}
	if len(missing) > 0 {
		return
	}
	config, tree, err := s.accepted.tree.Open(c.manifest, c.hash, c.blobs)
	if err != nil {
		s.rejectCandidate(now, c, err)
		return
	}
	s.accepted = accepted{
		config: config, signed: c.signed, tree: tree,
		previous: s.Revision(), addedBlobs: tree.RetainedBlobs(c.blobs),
	}
	s.pending, s.holders = nil, nil
	s.fromService = c.fromService
	s.changed = true
	s.recordConfirmation(now)
	s.settle(now)
}

// recordConfirmation records the time at which the accepted revision was accepted
// or last reported as current by a peer or the service.
func (s *State) recordConfirmation(now time.Time) {
	s.confirmedAtMS.Store(now.UnixMilli())
}

// Origin returns where the accepted configuration came from, the last alarm and
// the last confirmation. It is nil when there is no accepted configuration.
func (s *State) Origin() *snapshot.ConfigOrigin {
	if s.accepted.config == nil {
		return nil
	}
	return &snapshot.ConfigOrigin{FromService: s.fromService, Refused: s.lastAlarm, Confirmed: s.confirmedAtMS}
}

func (s *State) rejectCandidate(now time.Time, c *candidate, err error) {
	s.raiseAlarm(now, "refused revision %s whole: %v", c.manifest.Revision, err)
	s.pending = nil
}

// settle marks a starting daemon as settled once its accepted revision is not
// below the floor and either a ready peer has sent a message or SettlingTime
// has passed since the start.
func (s *State) settle(now time.Time) {
	if s.settled || s.accepted.config == nil {
		return
	}
	if s.Revision() < s.floor {
		return
	}
	if s.readyPeerSeen || now.Sub(s.started) >= s.opts.SettlingTime {
		s.settled, s.changed = true, true
	}
}

// maxAlarms is the maximum number of alarms kept between two calls of
// TakeAlarms.
const maxAlarms = 16

func (s *State) raiseAlarm(now time.Time, format string, args ...any) {
	s.lastAlarm = now.UTC().Format(time.RFC3339) + " " + fmt.Sprintf(format, args...)
	s.changed = true
	if len(s.alarms) < maxAlarms {
		s.alarms = append(s.alarms, Alarm{At: now, Text: fmt.Sprintf(format, args...)})
	}
}
