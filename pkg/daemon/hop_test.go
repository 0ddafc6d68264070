package daemon_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// sendAway sends every request to the other region, also one that was
// forwarded already if always is set.
type sendAway struct {
	always bool
	local  *pipeline.Router
}

// Route sends away or, at the receiver, routes as usual.
func (s *sendAway) Route(in route.Input) (route.Decision, *types.Failure) {
	if len(in.Request.Path) > 0 && !s.always {
		return s.local.Route(in)
	}
	other := farRegion
	if in.Snapshot.Self.Region == farRegion {
		other = homeRegion
	}
	return route.Decision{Region: other, Reason: "test"}, nil
}

var _ = Describe("a request that another region runs", func() {
	var f *fleet
	var router *sendAway
	BeforeEach(func() {
		f = newFleet()
		router = &sendAway{local: pipeline.New(pipeline.Options{})}
		f.router, f.endpointRegion = router, farRegion
	})
	chat := func(body string) reply {
		return call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", body)
	}

	It("is answered whole and streamed, with its verdict", func() {
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, farRegion)
		whole := chat(wholeBody)
		Expect(whole.status).To(Equal(200), whole.body)
		Expect(whole.body).To(ContainSubstring(ownText))
		Expect(whole.header.Get(types.HeaderVerdict)).To(Equal("ran"))
		Expect(whole.header.Get(types.HeaderServedBy)).To(Equal("e1"))
		streamed := chat(streamBody)
		Expect(streamed.readErr).NotTo(HaveOccurred())
		Expect(streamedText(streamed.body)).To(Equal(ownText))
		Expect(streamed.body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("ends broken when the stream breaks beyond the hop", func() {
		f.addEngine(engine.Options{ID: "e1"}).SetFault(engine.FaultCut)
		f.start(homeRegion, farRegion)
		got := chat(streamBody)
		Expect(got.readErr).To(HaveOccurred())
		Expect(got.body).To(ContainSubstring(`"verdict":"may-have-run"`))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("has not run when the other region says so", func() {
		f.start(homeRegion, farRegion)
		got := chat(wholeBody)
		Expect(failureOf(got).Code).To(Equal(types.CodeNoEndpoint))
		Expect(failureOf(got).Verdict).To(Equal(types.NotRun))
	})

	It("has not run when no entry of the other region can be reached", func() {
		f.start(homeRegion, farRegion)
		f.entries[1].stop()
		Eventually(f.entries[1].ended, patience).Should(Receive(BeNil()))
		Expect(failureOf(chat(wholeBody)).Verdict).To(Equal(types.NotRun))
	})

	It("makes one hop only, whatever the receiver's router says", func() {
		one := f.addEngine(engine.Options{ID: "e1"})
		router.always = true
		f.start(homeRegion, farRegion)
		got := chat(wholeBody)
		Expect(failureOf(got).Code).To(Equal(types.CodeLoop))
		Expect(failureOf(got).Verdict).To(Equal(types.NotRun))
		Expect(one.Served(types.RequestID(got.header.Get(types.HeaderRequestID)))).To(BeZero())
	})

	It("is not sent to a region that the service may not use", func() {
		f.config.Services[model].Regions = []types.Region{homeRegion}
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, farRegion)
		got := chat(wholeBody)
		Expect(failureOf(got).Code).To(Equal(types.CodeResidency))
		Expect(failureOf(got).Verdict).To(Equal(types.NotRun))
		Expect(f.entries[1].Load().Endpoints[model][0].Counters.Sent.Load()).To(BeZero())
	})
})
