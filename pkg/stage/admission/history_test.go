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

// historyChecker tracks the decisions of an admitter and counts the invariants
// that they violate.
type historyChecker struct {
	capacity   int
	now        time.Time
	offers     map[admission.ID]admission.Offer
	waiting    map[admission.ID]bool
	running    map[admission.ID]bool
	violations map[string]int
}

func newHistoryChecker() *historyChecker {
	return &historyChecker{
		now: start, offers: map[admission.ID]admission.Offer{}, waiting: map[admission.ID]bool{},
		running: map[admission.ID]bool{}, violations: map[string]int{},
	}
}

func (l *historyChecker) recordViolation(invariant string, violated bool) {
	if violated {
		l.violations[invariant]++
	}
}

func (l *historyChecker) apply(decisions []admission.Decision) {
	for _, d := range decisions {
		offer, known := l.offers[d.ID]
		l.recordViolation("a decision on a known request", !known || l.running[d.ID])
		switch d.Outcome {
		case admission.Queued:
			l.waiting[d.ID] = true
		case admission.Started:
			l.recordViolation("start before the deadline", !offer.Deadline.After(l.now))
			delete(l.waiting, d.ID)
			l.running[d.ID] = true
		case admission.Refused:
			l.recordViolation("refusals are not run", d.Failure == nil || d.Failure.Verdict != types.NotRun)
			delete(l.waiting, d.ID)
			delete(l.offers, d.ID)
		}
	}
	l.check()
}

// check verifies the invariants between two events.
func (l *historyChecker) check() {
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
	patientSlots := int(floor * float64(l.capacity))
	l.recordViolation("bounded queue", waiting[types.RankPatient] > maxQueued || waiting[types.RankUrgent] > maxQueued || bytes > maxBytes)
	l.recordViolation("patient floor", waiting[types.RankPatient] > 0 && running[types.RankPatient] < patientSlots)
	l.recordViolation("no idle slots", waiting[types.RankUrgent] > 0 && running[types.RankUrgent] < l.capacity-patientSlots-1)
}

// event draws a random event and applies it to the admitter and the checker.
func (l *historyChecker) event(t *rapid.T, a admission.Admitter, id admission.ID) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		l.capacity = rapid.IntRange(0, 9).Draw(t, "capacity")
		l.apply(a.SetCapacity(l.capacity, l.now))
	case 1:
		l.apply(a.Tick(l.now))
	case 2, 3:
		if target := l.drawID(t, l.running); target != 0 {
			l.forget(target)
			l.apply(a.Done(admission.Completion{ID: target, Representative: true}, l.now))
		}
	case 4:
		if target := l.drawID(t, l.waiting); target != 0 {
			l.forget(target)
			l.apply(a.Cancel(target, l.now))
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
		l.apply(a.Offer(offer, l.now))
		l.recordViolation("an answer to every offer", l.offers[id].ID == id && !l.waiting[id] && !l.running[id])
	}
}

// drawID draws one of the IDs; 0 when there is none.
func (l *historyChecker) drawID(t *rapid.T, ids map[admission.ID]bool) admission.ID {
	if len(ids) == 0 {
		return 0
	}
	lowest := admission.ID(1 << 62)
	threshold := admission.ID(rapid.IntRange(0, 60).Draw(t, "which"))
	fallback := lowest
	for id := range ids {
		fallback = min(fallback, id)
		if id >= threshold {
			lowest = min(lowest, id)
		}
	}
	if ids[lowest] {
		return lowest
	}
	return fallback
}

func (l *historyChecker) forget(id admission.ID) {
	delete(l.waiting, id)
	delete(l.running, id)
	delete(l.offers, id)
}

var _ = Describe("Admission under random events", func() {
	BeforeEach(func() { Expect(flag.Set("rapid.seed", "1")).To(Succeed()) })

	It("keeps the patient floor and the queue limits and decides on every offer, unlike the naive version", func() {
		naiveViolations := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			controller := admission.New(admission.Options{
				MaxQueued: [2]int{maxQueued, maxQueued}, MaxBytes: [2]int64{0, maxBytes}, PatientFloor: floor,
			}, rand.New(rand.NewPCG(1, 2)))
			naiveAdmitter := naive.Admitter{}
			checker, naiveChecker := newHistoryChecker(), newHistoryChecker()
			for id := range admission.ID(rapid.IntRange(1, 80).Draw(t, "events")) {
				checker.event(t, controller, id+1)
				if len(checker.violations) > 0 {
					t.Fatalf("event %d violates %v", id, checker.violations)
				}
				naiveChecker.event(t, naiveAdmitter, id+1)
			}
			for invariant := range naiveChecker.violations {
				naiveViolations[invariant]++
			}
		})
		Expect(naiveViolations).To(HaveKey("start before the deadline"))
	})
})
