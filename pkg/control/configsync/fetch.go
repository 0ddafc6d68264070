package configsync

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// View is the membership information that Tick needs.
type View struct {
	// DataCentre lists the live members of the local data centre, including
	// this daemon.
	DataCentre []types.VMID
	// QueryTargets lists the peers to ask for their manifest before this daemon has
	// settled, nearest first.
	QueryTargets []types.VMID
}

// PeerRequest is a request to a peer for its manifest or for the blobs with the
// given hashes.
type PeerRequest struct {
	To       types.VMID
	Manifest bool
	Blobs    []string
}

// Plan lists the service reads and peer requests that are due.
type Plan struct {
	Reads    []Read
	Requests []PeerRequest
}

// Tick accepts the candidate if it is complete and returns the reads and peer
// requests that are due. View is called at most once.
func (s *State) Tick(now time.Time, view func() View) Plan {
	s.tryAccept(now)
	s.settle(now)
	v := view()
	watchRank := s.watchRank(v.DataCentre)
	watcher := watchRank < s.opts.Watchers
	plan := Plan{Reads: s.readManifest(now, watcher)}
	plan.Requests = s.requestManifests(now, v.QueryTargets)
	if s.pending == nil {
		s.requestFromHolder(now, &plan)
		return plan
	}
	s.fetch(now, watchRank, &plan)
	return plan
}

// watchRank returns this daemon's rank among the watchers of its data centre,
// from 0. It returns Options.Watchers when the daemon is not a watcher.
func (s *State) watchRank(members []types.VMID) int {
	self := s.opts.Self.Incarnation.VM
	top := rendezvous.Top(string(s.opts.Self.DataCentre), members, s.opts.Watchers)
	if rank := slices.Index(top, self); rank >= 0 {
		return rank
	}
	return s.opts.Watchers
}

// requestManifests returns requests to peers for their manifest while this
// daemon has not settled.
func (s *State) requestManifests(now time.Time, peers []types.VMID) []PeerRequest {
	if s.settled || now.Before(s.nextRequestAt) {
		return nil
	}
	s.nextRequestAt = now.Add(s.opts.RequestInterval)
	var questions []PeerRequest
	for _, vm := range peers {
		questions = append(questions, PeerRequest{To: vm, Manifest: true})
	}
	return questions
}

// requestFromHolder requests the manifest from a peer that has reported a newer
// revision.
func (s *State) requestFromHolder(now time.Time, plan *Plan) {
	if len(s.holders) == 0 || now.Before(s.nextRequestAt) {
		return
	}
	s.nextRequestAt = now.Add(s.opts.RequestInterval)
	plan.Requests = append(plan.Requests, PeerRequest{To: s.nearestHolder(0), Manifest: true})
}

// fetch plans the reads and requests for the candidate's missing blobs. The
// first watcher reads them from the service if the manifest came from there.
// Other daemons request them from a peer that holds the revision, and read from
// the service, once mayRead allows it, when no peer does or requests to peers
// fail.
func (s *State) fetch(now time.Time, watchRank int, plan *Plan) {
	c := s.pending
	missing, err := s.accepted.tree.Missing(c.manifest, c.blobs)
	if err != nil {
		s.rejectCandidate(now, c, err)
		return
	}
	if len(missing) == 0 {
		return
	}
	source := s.nearestHolder(c.manifest.Revision)
	mayRead := s.mayRead(now, watchRank)
	// A daemon with no accepted configuration fetches it faster from a peer.
	preferService := c.fromService && watchRank == 0 && (source == "" || !s.accepted.tree.Empty())
	if mayRead && (preferService || source == "" || c.failedRequests >= maxFailedRequests) {
		plan.Reads = append(plan.Reads, s.readBlobs(now, missing)...)
	}
	if preferService || source == "" || now.Before(c.requestDeadline) {
		return
	}
	if c.requestedFrom != "" {
		s.RequestFailed(c.requestedFrom)
		if source = s.nearestHolder(c.manifest.Revision); source == "" {
			return
		}
	}
	c.requestedFrom, c.requestDeadline = source, now.Add(s.opts.RequestTimeout)
	plan.Requests = append(plan.Requests, PeerRequest{To: source, Blobs: s.missingHashes(missing)})
}

// maxFailedRequests is the number of failed requests to peers after which
// blobs are read from the service.
const maxFailedRequests = 2

// secondWatcherDelay is how long watchers other than the first try peers before
// they may read blobs from the service.
const secondWatcherDelay = time.Second

// mayRead reports whether this daemon may read blobs from the service now.
func (s *State) mayRead(now time.Time, watchRank int) bool {
	age := now.Sub(s.pending.receivedAt)
	switch {
	case watchRank == 0:
		return true
	case watchRank < s.opts.Watchers:
		return age >= secondWatcherDelay
	default:
		return age >= s.opts.SilentAfter || (s.Silent(now) && s.pending.fromService)
	}
}

func (s *State) missingHashes(missing []bundle.MissingBlob) []string {
	var hashes []string
	for _, need := range missing[:min(len(missing), s.opts.MaxBlobs)] {
		hashes = append(hashes, string(need.Hash))
	}
	return hashes
}

// nearestHolder returns a peer that holds at least the given revision,
// preferring the local data centre, then the local region. It is empty when
// there is none.
func (s *State) nearestHolder(revision types.Revision) types.VMID {
	var best types.VMID
	bestDistance := 3
	for _, h := range s.holders {
		distance := 2
		if h.Region == s.opts.Self.Region {
			distance = 1
		}
		if h.DataCentre == s.opts.Self.DataCentre {
			distance = 0
		}
		if h.Revision >= revision && distance < bestDistance {
			best, bestDistance = h.VM, distance
		}
	}
	return best
}

// RequestFailed records that a request to a peer failed. The peer is not used as a
// source again until it sends another message.
func (s *State) RequestFailed(vm types.VMID) {
	s.holders = slices.DeleteFunc(s.holders, func(h Holder) bool { return h.VM == vm })
	if s.pending != nil && s.pending.requestedFrom == vm {
		s.pending.requestedFrom, s.pending.requestDeadline = "", time.Time{}
		s.pending.failedRequests++
	}
}

// HandleResponse processes the manifest and blobs in a peer's message.
func (s *State) HandleResponse(now time.Time, from types.VMID, manifest []byte, blobs [][]byte) {
	if s.pending != nil && s.pending.requestedFrom == from && len(blobs) > 0 {
		s.pending.requestedFrom, s.pending.requestDeadline = "", time.Time{}
	}
	if len(manifest) > 0 {
		s.handleManifest(now, manifest, false)
	}
	for _, data := range blobs {
		s.addBlob(data)
	}
	s.tryAccept(now)
}
