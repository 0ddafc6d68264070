package admission_test

import (
	"flag"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/naive"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// The limits of the controller under test.
const (
	maxQueued = 6
	maxBytes  = 100
	floor     = 0.25
)

// ledger follows what an admitter decides and names the promises it breaks.
type ledger struct {
	capacity int
	now      time.Time
	offers   map[admission.ID]admission.Offer
	waiting  map[admission.ID]bool
	running  map[admission.ID]bool
	broken   map[string]int
}

func newLedger() *ledger {
	return &ledger{
		now: start, offers: map[admission.ID]admission.Offer{}, waiting: map[admission.ID]bool{},
		running: map[admission.ID]bool{}, broken: map[string]int{},
	}
}

func (l *ledger) breaks(promise string, is bool) {
	if is {
		l.broken[promise]++
	}
}

func (l *ledger) take(decisions []admission.Decision) {
	for _, d := range decisions {
		offer, known := l.offers[d.ID]
		l.breaks("a decision on a known request", !known || l.running[d.ID])
		switch d.Outcome {
		case admission.Queued:
			l.waiting[d.ID] = true
		case admission.Started:
			l.breaks("start before the deadline", !offer.Deadline.After(l.now))
			delete(l.waiting, d.ID)
			l.running[d.ID] = true
		case admission.Refused:
			l.breaks("refusals are not run", d.Failure == nil || d.Failure.Verdict != types.NotRun)
			delete(l.waiting, d.ID)
			delete(l.offers, d.ID)
		}
	}
	l.check()
}

// check looks at the state between two events.
func (l *ledger) check() {
	var waiting, running [types.RankCount]int
	bytes := int64(0)
	for id := range l.waiting {
		waiting[l.offers[id].Rank]++
		if l.offers[id].Rank == types.RankPatient {
			bytes += l.offers[id].Bytes
		}
	}
	for id := range l.running {
		running[l.offers[id].Rank]++
	}
	kept := int(floor * float64(l.capacity))
	l.breaks("bounded queue", waiting[types.RankPatient] > maxQueued || waiting[types.RankUrgent] > maxQueued || bytes > maxBytes)
	l.breaks("patient floor", waiting[types.RankPatient] > 0 && running[types.RankPatient] < kept)
	l.breaks("no idle slots", waiting[types.RankUrgent] > 0 && running[types.RankUrgent] < l.capacity-kept-1)
}

// event drives one random event into the admitter and the ledger.
func (l *ledger) event(t *rapid.T, a admission.Admitter, id admission.ID) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		l.capacity = rapid.IntRange(0, 9).Draw(t, "capacity")
		l.take(a.SetCapacity(l.capacity, l.now))
	case 1:
		l.take(a.Tick(l.now))
	case 2, 3:
		if known := l.any(t, l.running); known != 0 {
			l.forget(known)
			l.take(a.Done(admission.Completion{ID: known, Representative: true}, l.now))
		}
	case 4:
		if known := l.any(t, l.waiting); known != 0 {
			l.forget(known)
			l.take(a.Cancel(known, l.now))
		}
	default:
		offer := admission.Offer{
			ID: id, Rank: rapid.SampledFrom([]types.Rank{types.RankUrgent, types.RankPatient}).Draw(t, "rank"),
			Org:      types.OrgName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")),
			Share:    float64(rapid.IntRange(0, 3).Draw(t, "share")),
			Bytes:    int64(rapid.IntRange(0, 60).Draw(t, "bytes")),
			Deadline: l.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "deadline")) * time.Second),
		}
		l.offers[id] = offer
		l.take(a.Offer(offer, l.now))
		l.breaks("an answer to every offer", l.offers[id].ID == id && !l.waiting[id] && !l.running[id])
	}
}

// any draws one of the IDs; 0 when there is none.
func (l *ledger) any(t *rapid.T, ids map[admission.ID]bool) admission.ID {
	if len(ids) == 0 {
		return 0
	}
	lowest := admission.ID(1 << 62)
	from := admission.ID(rapid.IntRange(0, 60).Draw(t, "which"))
	fallback := lowest
	for id := range ids {
		fallback = min(fallback, id)
		if id >= from {
			lowest = min(lowest, id)
		}
	}
	if ids[lowest] {
		return lowest
	}
	return fallback
}

func (l *ledger) forget(id admission.ID) {
	delete(l.waiting, id)
	delete(l.running, id)
	delete(l.offers, id)
}

var _ = Describe("Admission in random histories", func() {
	BeforeEach(func() { Expect(flag.Set("rapid.seed", "1")).To(Succeed()) })

	It("keeps the floor, bounds and answers, where the naive version breaks them", func() {
		naiveBroken := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			controller := admission.New(admission.Options{
				MaxQueued: [2]int{maxQueued, maxQueued}, MaxBytes: [2]int64{0, maxBytes}, PatientFloor: floor,
			}, rand.New(rand.NewPCG(1, 2)))
			plain := naive.Admitter{}
			ours, theirs := newLedger(), newLedger()
			for id := range admission.ID(rapid.IntRange(1, 80).Draw(t, "events")) {
				ours.event(t, controller, id+1)
				if len(ours.broken) > 0 {
					t.Fatalf("event %d breaks %v", id, ours.broken)
				}
				theirs.event(t, plain, id+1)
			}
			for promise := range theirs.broken {
				naiveBroken[promise]++
			}
		})
		Expect(naiveBroken).To(HaveKey("start before the deadline"))
	})
})
