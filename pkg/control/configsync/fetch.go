package configsync

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// View is what the fetching needs to know about the members.
type View struct {
	// DataCentre lists the live members of the own data centre, with self.
	DataCentre []types.VMID
	// Ask lists peers to ask while fresh, the nearest first.
	Ask []types.VMID
}

// Question asks a peer for the manifest or for blobs.
type Question struct {
	To       types.VMID
	Manifest bool
	Blobs    []string
}

// Plan is what the daemon has to do now.
type Plan struct {
	Reads     []Read
	Questions []Question
}

// Tick plans reads and questions. View is called at most once.
func (s *State) Tick(now time.Time, view func() View) Plan {
	s.tryAccept(now)
	s.settle(now)
	v := view()
	watchRank := s.watchRank(v.DataCentre)
	watcher := watchRank < s.opts.Watchers
	plan := Plan{Reads: s.readManifest(now, watcher)}
	plan.Questions = s.ask(now, v.Ask)
	if s.next == nil {
		s.askHolder(now, &plan)
		return plan
	}
	s.fetch(now, watchRank, &plan)
	return plan
}

// watchRank is this daemon's place among the watchers of its data centre.
func (s *State) watchRank(members []types.VMID) int {
	self := s.opts.Self.Incarnation.VM
	top := rendezvous.Top(string(s.opts.Self.DataCentre), members, s.opts.Watchers)
	if rank := slices.Index(top, self); rank >= 0 {
		return rank
	}
	return s.opts.Watchers
}

// ask asks peers for their manifest while this daemon is not settled.
func (s *State) ask(now time.Time, peers []types.VMID) []Question {
	if s.settled || now.Before(s.nextAsk) {
		return nil
	}
	s.nextAsk = now.Add(s.opts.AskEvery)
	var questions []Question
	for _, vm := range peers {
		questions = append(questions, Question{To: vm, Manifest: true})
	}
	return questions
}

// askHolder asks a peer for the manifest of a newer revision that it named.
func (s *State) askHolder(now time.Time, plan *Plan) {
	if len(s.holders) == 0 || now.Before(s.nextAsk) {
		return
	}
	s.nextAsk = now.Add(s.opts.AskEvery)
	plan.Questions = append(plan.Questions, Question{To: s.nearestHolder(0), Manifest: true})
}

// fetch gets what the candidate lacks. The first watcher reads what the service
// told it; everyone else asks a peer that has it, and reads the service when
// that fails or when there is none.
func (s *State) fetch(now time.Time, watchRank int, plan *Plan) {
	c := s.next
	missing, err := s.accepted.tree.Missing(c.manifest, c.have)
	if err != nil {
		s.refuse(now, c, err)
		return
	}
	if len(missing) == 0 {
		return
	}
	source := s.nearestHolder(c.manifest.Revision)
	mayRead := s.mayRead(now, watchRank)
	// A daemon that lacks everything gets it faster from a peer.
	direct := c.fromService && watchRank == 0 && (source == "" || !s.accepted.tree.Empty())
	if mayRead && (direct || source == "" || c.failedAsks >= maxFailedAsks) {
		plan.Reads = append(plan.Reads, s.readBlobs(now, missing)...)
	}
	if direct || source == "" || now.Before(c.askedUntil) {
		return
	}
	if c.asked != "" {
		s.AskFailed(c.asked)
		if source = s.nearestHolder(c.manifest.Revision); source == "" {
			return
		}
	}
	c.asked, c.askedUntil = source, now.Add(s.opts.RequestTimeout)
	plan.Questions = append(plan.Questions, Question{To: source, Blobs: s.wanted(missing)})
}

// maxFailedAsks is how many questions may fail before the service is read.
const maxFailedAsks = 2

// secondWatcherDelay is how long the second watcher waits for a peer.
const secondWatcherDelay = time.Second

// mayRead reports whether this daemon may read blobs from the service now.
func (s *State) mayRead(now time.Time, watchRank int) bool {
	age := now.Sub(s.next.since)
	switch {
	case watchRank == 0:
		return true
	case watchRank < s.opts.Watchers:
		return age >= secondWatcherDelay
	default:
		return age >= s.opts.SilentAfter || (s.Silent(now) && s.next.fromService)
	}
}

func (s *State) wanted(missing []bundle.Need) []string {
	var hashes []string
	for _, need := range missing[:min(len(missing), s.opts.MaxBlobs)] {
		hashes = append(hashes, string(need.Hash))
	}
	return hashes
}

// nearestHolder returns a peer that holds at least the revision: of the own
// data centre, else of the own region, else any. Empty when there is none.
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

// AskFailed tells that a question to a peer got no answer. The peer is no
// source any more until it is heard from again.
func (s *State) AskFailed(vm types.VMID) {
	s.holders = slices.DeleteFunc(s.holders, func(h Holder) bool { return h.VM == vm })
	if s.next != nil && s.next.asked == vm {
		s.next.asked, s.next.askedUntil = "", time.Time{}
		s.next.failedAsks++
	}
}

// Answered takes the manifest and blobs of a peer's message.
func (s *State) Answered(now time.Time, from types.VMID, manifest []byte, blobs [][]byte) {
	if s.next != nil && s.next.asked == from && len(blobs) > 0 {
		s.next.asked, s.next.askedUntil = "", time.Time{}
	}
	if len(manifest) > 0 {
		s.offer(now, manifest, false)
	}
	for _, data := range blobs {
		s.addBlob(data)
	}
	s.tryAccept(now)
}
