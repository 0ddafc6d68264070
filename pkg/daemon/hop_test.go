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

// remoteRouter routes every request to the other region. Unless always is set, a
// request that was already forwarded is left to the local router.
type remoteRouter struct {
	always bool
	local  *pipeline.Router
}

// Route returns the other region, or the decision of the local router for a
// forwarded request.
func (s *remoteRouter) Route(in route.Input) (route.Decision, *types.Failure) {
	if len(in.Request.Path) > 0 && !s.always {
		return s.local.Route(in)
	}
	other := farRegion
	if in.Snapshot.Self.Region == farRegion {
		other = homeRegion
	}
	return route.Decision{Region: other, Reason: "test"}, nil
}

var _ = Describe("a request that is forwarded to another region", func() {
	var f *fleet
	var router *remoteRouter
	BeforeEach(func() {
		f = newFleet()
		router = &remoteRouter{local: pipeline.New(pipeline.Options{})}
		f.router, f.endpointRegion = router, farRegion
	})
	chat := func(body string) response {
		return call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", body)
	}

	It("gets a complete response, unary or streamed, with its verdict", func() {
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, farRegion)
		unary := chat(unaryBody)
		Expect(unary.status).To(Equal(200), unary.body)
		Expect(unary.body).To(ContainSubstring(expectedText))
		Expect(unary.header.Get(types.HeaderVerdict)).To(Equal("ran"))
		Expect(unary.header.Get(types.HeaderServedBy)).To(Equal("e1"))
		streamed := chat(streamBody)
		Expect(streamed.readErr).NotTo(HaveOccurred())
		Expect(streamedText(streamed.body)).To(Equal(expectedText))
		Expect(streamed.body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("ends with an error when the stream breaks behind the forwarding hop", func() {
		f.addEngine(engine.Options{ID: "e1"}).SetFault(engine.FaultCut)
		f.start(homeRegion, farRegion)
		resp := chat(streamBody)
		Expect(resp.readErr).To(HaveOccurred())
		Expect(resp.body).To(ContainSubstring(`"verdict":"may-have-run"`))
		Expect(resp.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("gets the verdict not-run when the other region reports it", func() {
		f.start(homeRegion, farRegion)
		resp := chat(unaryBody)
		Expect(failureOf(resp).Code).To(Equal(types.CodeNoEndpoint))
		Expect(failureOf(resp).Verdict).To(Equal(types.NotRun))
	})

	It("gets the verdict not-run when no entry of the other region can be reached", func() {
		f.start(homeRegion, farRegion)
		f.entries[1].stop()
		Eventually(f.entries[1].ended, specTimeout).Should(Receive(BeNil()))
		Expect(failureOf(chat(unaryBody)).Verdict).To(Equal(types.NotRun))
	})

	It("makes only one hop, even if the receiver's router chooses another region", func() {
		eng := f.addEngine(engine.Options{ID: "e1"})
		router.always = true
		f.start(homeRegion, farRegion)
		resp := chat(unaryBody)
		Expect(failureOf(resp).Code).To(Equal(types.CodeLoop))
		Expect(failureOf(resp).Verdict).To(Equal(types.NotRun))
		Expect(eng.Served(types.RequestID(resp.header.Get(types.HeaderRequestID)))).To(BeZero())
	})

	It("is not sent to a region that the service may not use", func() {
		f.config.Services[model].Regions = []types.Region{homeRegion}
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, farRegion)
		resp := chat(unaryBody)
		Expect(failureOf(resp).Code).To(Equal(types.CodeResidency))
		Expect(failureOf(resp).Verdict).To(Equal(types.NotRun))
		Expect(f.entries[1].Load().Endpoints[model][0].Counters.Sent.Load()).To(BeZero())
	})
})
