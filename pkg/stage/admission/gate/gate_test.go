package gate_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/admission/gate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Gate", func() {
	var controller *admission.Controller
	var g *gate.Gate
	offer := admission.Offer{Rank: types.RankPatient, Org: "a", Deadline: start.Add(time.Hour)}

	BeforeEach(func() {
		controller = admission.New(admission.Options{}, rand.New(rand.NewPCG(1, 2)))
		g = gate.New(controller, func() time.Time { return start })
	})

	It("never runs more requests than the capacity and frees every slot", func() {
		const slots, callers = 3, 200
		g.SetCapacity(slots)
		var group conc.WaitGroup
		for range callers {
			group.Go(func() {
				pass, failure := g.Acquire(context.Background(), offer)
				Expect(failure).To(BeNil())
				g.WithLock(func() { Expect(controller.Running(types.RankPatient)).To(BeNumerically("<=", slots)) })
				pass.Release(true)
				pass.Release(true)
			})
		}
		group.Wait()
		Expect(controller.Running(types.RankPatient)).To(BeZero())
		Expect(controller.Queued(types.RankPatient)).To(BeZero())
	})

	It("withdraws a request whose caller stops waiting, with the verdict NotRun", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, failure := g.Acquire(ctx, offer)
		Expect(failure.Verdict).To(Equal(types.NotRun))
		Expect(failure.Code).To(Equal(types.CodeCallerGone))
		Expect(controller.Queued(types.RankPatient)).To(BeZero())
	})
})
