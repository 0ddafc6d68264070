package outcome_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestOutcome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outcome")
}

func drawEvidence(t *rapid.T) outcome.Evidence {
	return outcome.Evidence{
		Progress:           outcome.Progress(rapid.IntRange(0, int(outcome.ResponseComplete)).Draw(t, "progress")),
		Status:             rapid.SampledFrom([]int{200, 204, 400, 409, 429, 500, 502, 503}).Draw(t, "status"),
		Echoed:             rapid.Bool().Draw(t, "echoed"),
		Leaving:            rapid.Bool().Draw(t, "leaving"),
		RefusalMeansNotRun: rapid.Bool().Draw(t, "promise"),
		Peer:               rapid.Bool().Draw(t, "peer"),
		PeerStated:         rapid.Bool().Draw(t, "stated"),
		PeerVerdict:        types.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
	}
}

var _ = Describe("Judge", func() {
	DescribeTable("derives the verdict from the progress of the attempt",
		func(e outcome.Evidence, want types.Verdict) {
			Expect(outcome.Judge(e)).To(Equal(want))
		},
		Entry("no connection", outcome.Evidence{}, types.NotRun),
		Entry("bytes may be written", outcome.Evidence{Progress: outcome.Connected}, types.MayHaveRun),
		Entry("response headers received", outcome.Evidence{Progress: outcome.HeadersReceived, Status: 200, Echoed: true}, types.MayHaveRun),
		Entry("complete response", outcome.Evidence{Progress: outcome.ResponseComplete, Status: 200, Echoed: true}, types.Ran),
		Entry("response to another attempt", outcome.Evidence{Progress: outcome.ResponseComplete, Status: 200}, types.MayHaveRun),
		Entry("plain 503", outcome.Evidence{Progress: outcome.ResponseComplete, Status: 503, Echoed: true}, types.MayHaveRun),
		Entry("503 where a refusal means not run", outcome.Evidence{Progress: outcome.HeadersReceived, Status: 503, Echoed: true, RefusalMeansNotRun: true}, types.NotRun),
		Entry("503 of a leaving endpoint to another attempt", outcome.Evidence{Progress: outcome.HeadersReceived, Status: 503, Leaving: true}, types.MayHaveRun),
		Entry("server error", outcome.Evidence{Progress: outcome.ResponseComplete, Status: 500, Echoed: true}, types.MayHaveRun),
	)

	It("returns NotRun only without a connection or for an echoed refusal", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := drawEvidence(t)
			if outcome.Judge(e) != types.NotRun || e.Progress == outcome.NotConnected {
				return
			}
			refused := e.Status == 503 && (e.Leaving || e.RefusalMeansNotRun)
			stated := e.Peer && e.PeerStated && e.PeerVerdict == types.NotRun
			if !e.Echoed || e.Progress < outcome.HeadersReceived || (!refused && !stated) {
				t.Fatalf("not run without evidence: %+v", e)
			}
		})
	})

	It("returns Ran only for a complete echoed response", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := drawEvidence(t)
			if outcome.Judge(e) == types.Ran && (!e.Echoed || e.Progress != outcome.ResponseComplete) {
				t.Fatalf("ran without a complete response: %+v", e)
			}
		})
	})

	It("allows a request that may have run to be repeated only if it is repeatable", func() {
		for _, history := range []types.Verdict{types.NotRun, types.MayHaveRun, types.Ran} {
			Expect(outcome.MayRepeat(false, history)).To(Equal(history == types.NotRun))
			Expect(outcome.MayRepeat(true, history)).To(Equal(history != types.Ran))
		}
	})
})
