package configsync

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// State is the configuration as one daemon holds it.
type State struct {
	opts     Options
	rng      *rand.Rand
	started  time.Time
	accepted accepted
	next     *candidate
	// floor is the highest revision that an authenticated message named.
	floor types.Revision
	// heardReady is true once a peer that is ready for traffic has answered.
	heardReady bool
	heardAt    time.Time // when a peer was last heard from
	settled    bool
	changed    bool
	holders    []Holder
	service    serviceReader
	nextAsk    time.Time
	alarms     []Alarm
	// fromService, refused and confirmed make the origin.
	fromService bool
	refused     string
	confirmed   *atomic.Int64
	// conflictAt is when peers' disagreement was last reported.
	conflictAt time.Time
}

// accepted is the newest accepted revision.
type accepted struct {
	config *published.Configuration
	signed []byte
	tree   *bundle.Tree
	// before is the revision that this one followed here, and added holds the
	// blobs that it added, so that peers at that revision get them at once.
	before types.Revision
	added  [][]byte
}

// candidate is a newer revision whose blobs are still being fetched.
type candidate struct {
	manifest    bundle.Manifest
	hash        bundle.Hash
	signed      []byte
	have        map[bundle.Hash][]byte
	since       time.Time
	fromService bool
	// asked is the peer whose answer is awaited, until askedUntil.
	asked      types.VMID
	askedUntil time.Time
	failedAsks int
	// reading holds keys that are being read from the service, with the time
	// at which each read is given up.
	reading map[string]time.Time
}

// Holder is a peer that has accepted at least the revision of the candidate.
type Holder struct {
	VM         types.VMID
	Region     types.Region
	DataCentre types.DataCentre
	Revision   types.Revision
}

// Alarm is something that operators must hear of.
type Alarm struct {
	At   time.Time
	Text string
}

// New returns a state that has accepted nothing.
func New(opts Options, rng *rand.Rand, now time.Time) *State {
	s := &State{confirmed: &atomic.Int64{}, opts: opts.withDefaults(), rng: rng, started: now, heardAt: now}
	s.accepted.tree = &bundle.Tree{}
	s.service.init(now, s.opts)
	return s
}

// Revision returns the accepted revision; zero when there is none.
func (s *State) Revision() types.Revision {
	if s.accepted.config == nil {
		return 0
	}
	return s.accepted.config.Revision
}

// Hash returns the hash of the accepted manifest; empty when there is none.
func (s *State) Hash() string {
	if s.accepted.config == nil {
		return ""
	}
	return s.accepted.config.Hash
}

// shortHashLength is how many hex digits of a hash daemons tell each other.
const shortHashLength = 16

// ShortHash returns the beginning of Hash, for messages.
func (s *State) ShortHash() string {
	hash := s.Hash()
	return hash[:min(len(hash), shortHashLength)]
}

// InForce returns the accepted configuration once the daemon has settled; nil
// before.
func (s *State) InForce() *published.Configuration {
	if !s.settled {
		return nil
	}
	return s.accepted.config
}

// Floor returns the highest revision that this daemon knows to exist.
func (s *State) Floor() types.Revision {
	return max(s.floor, s.Revision())
}

// TakeChanged reports whether InForce changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// TakeAlarms returns the alarms since the last call.
func (s *State) TakeAlarms() []Alarm {
	alarms := s.alarms
	s.alarms = nil
	return alarms
}

// Newer returns the accepted manifest with its signatures for a peer that has
// accepted an older revision, and the blobs that it lacks where they are few.
// Both are nil when the peer is not behind.
func (s *State) Newer(than types.Revision) (signed []byte, blobs [][]byte) {
	if than >= s.Revision() {
		return nil, nil
	}
	if than != 0 && than == s.accepted.before {
		blobs = s.accepted.added
	}
	return s.accepted.signed, blobs
}

// Blob returns a blob of the accepted configuration.
func (s *State) Blob(hash bundle.Hash) ([]byte, bool) {
	return s.accepted.tree.Blob(hash)
}

// SetFloor raises the floor. It must come from an authenticated message.
func (s *State) SetFloor(revision types.Revision) {
	s.floor = max(s.floor, revision)
}

// HeardPeer takes what an authenticated message says of its sender. Hash is a
// ShortHash. Ready is
// true when the sender is in service.
func (s *State) HeardPeer(now time.Time, peer Holder, hash string, ready bool) {
	s.heardAt = now
	s.SetFloor(peer.Revision)
	if ready {
		s.heardReady = true
	}
	if peer.Revision != 0 && peer.Revision == s.Revision() && hash == s.ShortHash() {
		s.confirm(now)
	}
	if peer.Revision != 0 && peer.Revision == s.Revision() && hash != s.ShortHash() && now.Sub(s.conflictAt) > conflictEvery {
		s.conflictAt = now
		s.alarm(now, "peer %s holds revision %s with hash %s..., this daemon with %s", peer.VM, peer.Revision, hash, s.Hash())
	}
	if peer.Revision > s.Revision() {
		s.addHolder(peer)
	}
}

// conflictEvery is the shortest time between two alarms of this kind.
const conflictEvery = time.Minute

// maxHolders bounds the peers remembered as sources of a newer revision.
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

// offer takes a signed manifest from the service or from a peer.
func (s *State) offer(now time.Time, data []byte, fromService bool) {
	signed, manifest, hash, err := bundle.VerifySigned(data, s.opts.Keys)
	if err != nil {
		s.alarm(now, "refused a manifest: %v", err)
		return
	}
	switch {
	case manifest.Revision == s.Revision() && string(hash) != s.Hash():
		s.alarm(now, "refused revision %s with hash %s: already accepted with %s", manifest.Revision, hash, s.Hash())
	case manifest.Revision == s.Revision():
		s.confirm(now)
	case manifest.Revision < s.Revision():
	case manifest.Revision < s.floor:
		// The service is stale: a peer has a newer revision.
	case s.next != nil && manifest.Revision == s.next.manifest.Revision && hash != s.next.hash:
		s.alarm(now, "refused revision %s with hash %s: already fetching %s", manifest.Revision, hash, s.next.hash)
	case s.next != nil && manifest.Revision <= s.next.manifest.Revision:
	default:
		text, _ := json.Marshal(signed)
		s.setCandidate(now, &candidate{manifest: manifest, hash: hash, signed: text, fromService: fromService, since: now})
	}
}

// maxKeptBlobs bounds the blobs that one candidate inherits from another one
// that was never complete.
const maxKeptBlobs = 2 * bundle.Leaves

func (s *State) setCandidate(now time.Time, c *candidate) {
	c.have, c.reading = map[bundle.Hash][]byte{}, map[string]time.Time{}
	if s.next != nil && len(s.next.have) < maxKeptBlobs {
		c.have = s.next.have
	}
	s.next = c
	s.tryAccept(now)
}

// addBlob keeps a blob for the candidate. Blobs are content-addressed, so that
// it does not matter who sent them.
func (s *State) addBlob(data []byte) {
	if s.next != nil {
		s.next.have[bundle.HashOf(data)] = data
	}
}

// tryAccept accepts the candidate when every blob is there.
func (s *State) tryAccept(now time.Time) {
	if s.next == nil {
		return
	}
	c := s.next
	missing, err := s.accepted.tree.Missing(c.manifest, c.have)
	if err != nil {
		s.refuse(now, c, err)
		return
	}
	if len(missing) > 0 {
		return
	}
	config, tree, err := s.accepted.tree.Open(c.manifest, c.hash, c.have)
	if err != nil {
		s.refuse(now, c, err)
		return
	}
	s.accepted = accepted{
		config: config, signed: c.signed, tree: tree,
		before: s.Revision(), added: tree.Added(c.have),
	}
	s.next, s.holders = nil, nil
	s.fromService = c.fromService
	s.changed = true
	s.confirm(now)
	s.settle(now)
}

// confirm notes that somebody named the revision in force as the newest.
func (s *State) confirm(now time.Time) {
	s.confirmed.Store(now.UnixMilli())
}

// Origin tells where the accepted configuration came from; nil when there is
// none.
func (s *State) Origin() *snapshot.ConfigOrigin {
	if s.accepted.config == nil {
		return nil
	}
	return &snapshot.ConfigOrigin{FromService: s.fromService, Refused: s.refused, Confirmed: s.confirmed}
}

func (s *State) refuse(now time.Time, c *candidate, err error) {
	s.alarm(now, "refused revision %s whole: %v", c.manifest.Revision, err)
	s.next = nil
}

// settle makes a fresh daemon ready: it has a configuration that is not below
// any that peers named, and it has either heard from a ready peer or asked for
// long enough.
func (s *State) settle(now time.Time) {
	if s.settled || s.accepted.config == nil {
		return
	}
	if s.Revision() < s.floor {
		return
	}
	if s.heardReady || now.Sub(s.started) >= s.opts.SettlingTime {
		s.settled, s.changed = true, true
	}
}

// maxAlarms bounds the alarms kept between two calls of TakeAlarms.
const maxAlarms = 16

func (s *State) alarm(now time.Time, format string, args ...any) {
	s.refused = now.UTC().Format(time.RFC3339) + " " + fmt.Sprintf(format, args...)
	s.changed = true
	if len(s.alarms) < maxAlarms {
		s.alarms = append(s.alarms, Alarm{At: now, Text: fmt.Sprintf(format, args...)})
	}
}
