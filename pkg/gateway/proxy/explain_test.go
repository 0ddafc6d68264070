package proxy_test

import (
	"context"
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("The explanation of a route", func() {
	question := explain.Question{Method: "POST", Host: "a.example", Path: "/r/x"}
	ask := func(w *testProxy, q explain.Question) *explain.Answer {
		answer, failure := w.handler.Explain(context.Background(), q)
		ExpectWithOffset(1, failure).To(BeNil())
		return answer
	}

	It("names the endpoint that the next request gets, and sends nothing", func() {
		e0, e1 := newEndpoint(respondOK), newEndpoint(respondOK)
		w := newTestProxy(catalog.Idempotent)
		w.start(e0, e1)
		answer := ask(w, question)
		Expect(answer.Outcome).To(Equal(explain.ToEndpoint))
		Expect(answer.Endpoints).To(HaveLen(2))
		Expect(answer.Route).To(Equal("r"))
		Expect(answer.Service).To(Equal(service))
		Expect(answer.ConfigVersion).To(BeEquivalentTo(1))
		Expect(e0.count() + e1.count()).To(BeZero())
		Expect(w.gate.Loads()).To(BeEmpty())
	})

	It("tells that no route matches, and that a daemon without configuration is starting", func() {
		w := newTestProxy(catalog.Idempotent)
		w.start(newEndpoint(respondOK))
		unknown := question
		unknown.Host = "b.example"
		answer := ask(w, unknown)
		Expect(answer.Outcome).To(Equal(explain.Refused))
		Expect(answer.Code).To(Equal(types.CodeUnknownService))

		elsewhere := question
		elsewhere.Region = "south"
		_, failure := w.handler.Explain(context.Background(), elsewhere)
		Expect(failure.Message).To(ContainSubstring("region north"))

		starting := *w.snap
		starting.View = &catalog.View{}
		w.published.Store(&starting)
		_, failure = w.handler.Explain(context.Background(), question)
		Expect(failure.Code).To(Equal(types.CodeNotReady))
	})

	It("tells that a request is refused where no endpoint may run it, or goes to another region", func() {
		w := newTestProxy(catalog.Idempotent)
		w.start()
		answer := ask(w, question)
		Expect(answer.Outcome).To(Equal(explain.Refused))
		Expect(answer.Code).To(Equal(types.CodeNoEndpoint))
		Expect(answer.RetryAfterMs).To(BeNumerically(">", 0))

		w = newTestProxy(catalog.Idempotent)
		w.endpointRegion = "south"
		w.members = []members.Member{{VM: "10.0.0.9:1", Region: "south", State: members.Serving}}
		w.start(newEndpoint(respondOK))
		answer = ask(w, question)
		Expect(answer.Outcome).To(Equal(explain.ToRegion))
		Expect(answer.Regions).To(ContainElement(SatisfyAll(HaveField("Region", types.Region("south")), HaveField("Candidate", true))))

		w.route.AllowedRegions = []types.Region{"north"}
		answer = ask(w, question)
		Expect(answer.Outcome).To(Equal(explain.Refused))
		Expect(answer.Regions).To(ContainElement(HaveField("Dropped", ContainSubstring("route's data"))))
	})

	It("names the home of a large prefix", func() {
		w := newTestProxy(catalog.Idempotent)
		w.modelEngine = true
		w.start(newEndpoint(respondOK), newEndpoint(respondOK))
		large := question
		large.Parts = []explain.Part{{ID: "7", Tokens: 13_300}, {ID: "8", Tokens: 100}}
		answer := ask(w, large)
		Expect(answer.Home).NotTo(BeEmpty())
		Expect(answer.Endpoint).To(Equal(answer.Home))
	})

	It("takes the organisation by name, and shows no credential", func() {
		w := newTestProxy(catalog.Idempotent)
		w.start(newEndpoint(respondOK))
		digest := catalog.DigestOf("secret")
		config := *w.snap.View.Config
		config.Organisations = []*catalog.Organisation{{Name: "ferry", Credentials: []catalog.CredentialDigest{digest}, AllowedRegions: []types.Region{"south"}}}
		config.Prepare()
		view, snap := *w.snap.View, *w.snap
		view.Config, snap.View = &config, &view
		w.published.Store(&snap)

		Expect(ask(w, question).Code).To(Equal(types.CodeUnauthenticated))
		named := question
		named.Organisation = "ferry"
		answer := ask(w, named)
		Expect(answer.Organisation).To(Equal(types.OrgName("ferry")))
		Expect(answer.Regions).To(ContainElement(HaveField("Dropped", ContainSubstring("organisation's data"))))
		Expect(strings.Contains(encode(answer), string(digest))).To(BeFalse())
	})

	It("tells that a request with a withheld part is refused, and begins no trial", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		w.withhold(inAnHour(), deadlyPart)
		deadly := question
		deadly.Parts = []explain.Part{{ID: "deadly", Tokens: 10}, {ID: "x", Tokens: 10}}
		answer := ask(w, deadly)
		Expect(answer.Outcome).To(Equal(explain.Refused))
		Expect(answer.Code).To(Equal(types.CodeQuarantined))
		Expect(ask(w, question).Outcome).To(Equal(explain.ToEndpoint))
		Expect(e.count()).To(BeZero())
	})
})

func encode(answer *explain.Answer) string {
	text, err := json.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}
