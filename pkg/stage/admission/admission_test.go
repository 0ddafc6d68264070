package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newController(o admission.Options, slots int) *admission.Controller {
	c := admission.New(o, rand.New(rand.NewPCG(1, 2)))
	c.SetCapacity(slots, start)
	return c
}

func offer(id int, rank types.Rank, org string) admission.Offer {
	return admission.Offer{ID: admission.ID(id), Rank: rank, Org: types.OrgName(org), Deadline: start.Add(time.Hour)}
}

func outcomes(decisions []admission.Decision) map[admission.ID]admission.Outcome {
	found := map[admission.ID]admission.Outcome{}
	for _, d := range decisions {
		found[d.ID] = d.Outcome
	}
	return found
}

var _ = Describe("Controller", func() {
	It("starts urgent requests before patient ones, by deadline", func() {
		c := newController(admission.Options{PatientFloor: -1}, 1)
		c.Offer(offer(1, types.RankUrgent, "a"), start)
		c.Offer(offer(2, types.RankPatient, "a"), start)
		late, soon := offer(3, types.RankUrgent, "a"), offer(4, types.RankUrgent, "a")
		soon.Deadline = start.Add(time.Minute)
		c.Offer(late, start)
		c.Offer(soon, start)
		for i, want := range []admission.ID{4, 3, 2} {
			previous := []admission.ID{1, 4, 3}[i]
			got := c.Done(admission.Completion{ID: previous}, start)
			Expect(got).To(HaveLen(1))
			Expect(got[0].ID).To(Equal(want))
		}
	})

	It("refuses early with the verdict NotRun and a Retry-After that spreads the retries", func() {
		c := newController(admission.Options{MaxQueued: [2]int{0, 2}}, 1)
		seen := map[time.Duration]bool{}
		for i := range 20 {
			for _, d := range c.Offer(offer(i, types.RankPatient, "a"), start) {
				if d.Outcome != admission.Refused {
					continue
				}
				Expect(d.Failure.Verdict).To(Equal(types.NotRun))
				Expect(d.Failure.Code).To(Equal(types.CodeOverloaded))
				Expect(d.Failure.RetryAfter).To(BeNumerically(">=", time.Second))
				seen[d.Failure.RetryAfter] = true
			}
		}
		Expect(c.Queued(types.RankPatient)).To(Equal(2))
		Expect(seen).To(HaveLen(17))
	})

	It("evicts from the organisation with the longest queue when the queue is full", func() {
		c := newController(admission.Options{MaxQueued: [2]int{0, 4}}, 1)
		for i := range 5 {
			c.Offer(offer(i, types.RankPatient, "flood"), start)
		}
		got := outcomes(c.Offer(offer(10, types.RankPatient, "small"), start))
		Expect(got).To(HaveKeyWithValue(admission.ID(10), admission.Queued))
		Expect(got).To(HaveKeyWithValue(admission.ID(4), admission.Refused))
	})

	It("shares slots between organisations by weight, whatever the lengths of their queues", func() {
		c := newController(admission.Options{UrgentReserve: -1}, 1)
		c.Offer(offer(0, types.RankPatient, "first"), start)
		for i := range 300 {
			c.Offer(offer(1000+i, types.RankPatient, "flood"), start)
		}
		for i := range 40 {
			heavy := offer(2000+i, types.RankPatient, "heavy")
			heavy.Share = 2
			c.Offer(heavy, start)
		}
		started := map[string]int{}
		current := admission.ID(0)
		for range 60 {
			got := c.Done(admission.Completion{ID: current}, start)
			Expect(got).To(HaveLen(1))
			current = got[0].ID
			started[fmt.Sprint(current/1000)]++
		}
		Expect(started).To(Equal(map[string]int{"1": 20, "2": 40}))
	})

	It("holds state only for organisations with waiting or running requests", func() {
		c := newController(admission.Options{}, 4)
		for i := range 39_000 {
			c.Offer(offer(i, types.RankUrgent, fmt.Sprint(i)), start)
			c.Done(admission.Completion{ID: admission.ID(i)}, start)
		}
		Expect(c.ActiveOrgs()).To(BeZero())
	})

	It("frees the slot of a cancelled running request and removes a cancelled waiting one", func() {
		c := newController(admission.Options{}, 1)
		c.Offer(offer(1, types.RankUrgent, "a"), start)
		c.Offer(offer(2, types.RankUrgent, "a"), start)
		c.Offer(offer(3, types.RankUrgent, "a"), start)
		Expect(c.Cancel(2, start)).To(BeEmpty())
		Expect(outcomes(c.Cancel(1, start))).To(Equal(map[admission.ID]admission.Outcome{3: admission.Started}))
	})

	It("refuses requests that can't start before their deadline", func() {
		c := newController(admission.Options{}, 1)
		c.Offer(offer(1, types.RankUrgent, "a"), start)
		short := offer(2, types.RankUrgent, "a")
		short.Deadline = start.Add(time.Second)
		c.Offer(short, start)
		got := c.Tick(start.Add(2 * time.Second))
		Expect(outcomes(got)).To(Equal(map[admission.ID]admission.Outcome{2: admission.Refused}))
	})
})

// BenchmarkOffer measures one offer and one completion while one request of each
// organisation waits.
func BenchmarkOffer(b *testing.B) {
	for _, orgs := range []int{100, 4_000, 39_000} {
		b.Run(fmt.Sprintf("waiting_orgs=%d", orgs), func(b *testing.B) {
			c := newController(admission.Options{MaxQueued: [2]int{0, 2 * orgs}}, 1)
			names := make([]string, orgs)
			for i := range names {
				names[i] = fmt.Sprint(i)
				c.Offer(offer(i, types.RankPatient, names[i]), start)
			}
			running := admission.ID(0)
			next := orgs
			b.ReportAllocs()
			for b.Loop() {
				c.Offer(offer(next, types.RankPatient, names[next%orgs]), start)
				next++
				running = c.Done(admission.Completion{ID: running}, start)[0].ID
			}
		})
	}
}
