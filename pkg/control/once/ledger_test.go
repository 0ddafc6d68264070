package once_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

var (
	start      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self       = types.Incarnation{VM: "10.0.0.1:7000", Boot: "b1"}
	peer       = types.Incarnation{VM: "10.0.0.2:7000", Boot: "b2"}
	remotePeer = types.Incarnation{VM: "10.0.0.3:7000", Boot: "b3"}
	service    = &published.Service{Name: "orders", Kind: published.KindPlain, Regions: []types.Region{"kathmandu"}}
	view       = &snapshot.Snapshot{
		Self: snapshot.Self{Incarnation: self, Region: "kathmandu", DataCentre: "k1"},
		Members: []snapshot.Member{
			{Incarnation: peer, Region: "kathmandu", DataCentre: "k1", State: snapshot.MemberAlive},
			{Incarnation: remotePeer, Region: "pokhara", DataCentre: "p1", State: snapshot.MemberAlive},
		},
	}
)

func testKeyring() *ticket.Keyring {
	ring, err := ticket.NewKeyring(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), ticket.MinSecretBytes)})
	Expect(err).NotTo(HaveOccurred())
	return ring
}

// requestWith returns a request whose ticket names the owner and may be started
// until startBy.
func requestWith(number byte, owner types.Incarnation, startBy time.Time) once.RequestInfo {
	claims := ticket.Claims{ID: ticket.ID{number}, Org: "coop", Owner: owner, Issuer: peer, StartBy: startBy}
	text, err := testKeyring().Sign(claims)
	Expect(err).NotTo(HaveOccurred())
	return once.RequestInfo{Org: "coop", Service: service, Key: text}
}

func atSecond(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func ranOutcome(body string) once.Outcome {
	return once.Outcome{Verdict: types.Ran, Response: &once.Response{Status: 200, Body: []byte(body)}}
}

func expectFailure(decision once.Decision, verdict types.Verdict, code types.Code) {
	GinkgoHelper()
	Expect(decision.Action).To(Equal(once.ActionRefuse))
	Expect(decision.Failure.Code).To(Equal(code))
	Expect(decision.Failure.Verdict).To(Equal(verdict))
	Expect(decision.Reissue).To(Equal(verdict == types.NotRun && code != types.CodeBadRequest && code != types.CodeForbidden))
}

var _ = Describe("Ledger", func() {
	var ledger *once.Ledger
	BeforeEach(func() {
		ledger = once.NewLedger(self, testKeyring(), once.Options{Retention: time.Minute, MaxRecords: 2, MaxOrgRecords: 2, MaxResponseBytes: 300})
	})
	begin := func(seconds int, req once.RequestInfo) once.Decision {
		return ledger.Begin(atSecond(seconds), req, view)
	}

	It("runs a ticket once, lets duplicates wait and replays the response", func() {
		req := requestWith(1, self, atSecond(30))
		first := begin(0, req)
		Expect(first.Action).To(Equal(once.ActionRun))
		Expect(begin(1, req).Action).To(Equal(once.ActionWait))
		ledger.Finish(atSecond(2), first.ID, ranOutcome("done"))
		replay := begin(80, req)
		Expect(replay.Action).To(Equal(once.ActionReplay))
		Expect(replay.Response.Body).To(BeEquivalentTo("done"))
		expectFailure(begin(90, req), types.MayHaveRun, types.CodeTicketExpired)
	})

	It("accepts the ticket in either header and refuses two different keys", func() {
		req := requestWith(1, self, atSecond(30))
		inTicketHeader := req
		inTicketHeader.Key, inTicketHeader.Ticket = "", req.Key
		Expect(begin(0, inTicketHeader).Action).To(Equal(once.ActionRun))
		Expect(begin(0, req).Action).To(Equal(once.ActionWait))
		conflicting := req
		conflicting.Key, conflicting.Ticket = "order-17", req.Key
		expectFailure(begin(0, conflicting), types.MayHaveRun, types.CodeBadRequest)
	})

	It("never runs a key without a ticket", func() {
		for _, key := range []string{"", "order-17"} {
			expectFailure(begin(0, once.RequestInfo{Org: "coop", Key: key}), types.NotRun, types.CodeTicketRequired)
		}
		expectFailure(begin(0, once.RequestInfo{Org: "coop", Key: "fm1.x"}), types.NotRun, types.CodeBadRequest)
		wrongOrg := requestWith(1, self, atSecond(30))
		wrongOrg.Org = "other"
		expectFailure(begin(0, wrongOrg), types.NotRun, types.CodeForbidden)
		Expect(ledger.Len()).To(BeZero())
	})

	It("never runs a ticket after the verdict not-run", func() {
		req := requestWith(1, self, atSecond(30))
		failure := types.NewFailure(types.NotRun, types.CodeNoEndpoint, "none")
		ledger.Finish(atSecond(1), begin(0, req).ID, once.Outcome{Verdict: types.NotRun, Failure: failure})
		expectFailure(begin(2, req), types.NotRun, types.CodeNoEndpoint)
		expectFailure(begin(31, req), types.NotRun, types.CodeTicketExpired)
	})

	It("treats an outcome without a verdict or a response as one that may have run", func() {
		req := requestWith(1, self, atSecond(30))
		ledger.Finish(atSecond(1), begin(0, req).ID, once.Outcome{})
		expectFailure(begin(2, req), types.MayHaveRun, types.CodeInternal)
	})

	It("refuses a key that was used with different request content", func() {
		req := requestWith(1, self, atSecond(30))
		id := begin(0, req).ID
		req.Content[0]++
		expectFailure(begin(1, req), types.MayHaveRun, types.CodeKeyReused)
		ledger.Finish(atSecond(2), id, ranOutcome("done"))
		expectFailure(begin(3, req), types.Ran, types.CodeKeyReused)
	})

	It("refuses new tickets permanently when full and never runs a recorded one again", func() {
		ids := []ticket.ID{begin(0, requestWith(1, self, atSecond(30))).ID, begin(0, requestWith(2, self, atSecond(31))).ID}
		overflowing := requestWith(3, self, atSecond(32))
		expectFailure(begin(0, overflowing), types.NotRun, types.CodeOverloaded)
		for _, id := range ids {
			ledger.Finish(atSecond(1), id, ranOutcome("done"))
		}
		Expect(ledger.Len()).To(Equal(2))
		Expect(begin(1, requestWith(1, self, atSecond(30))).Action).To(Equal(once.ActionReplay))
		ledger.Finish(atSecond(95), ids[0], once.Outcome{})
		expectFailure(begin(20, overflowing), types.NotRun, types.CodeTicketExpired)
		Expect(ledger.Len()).To(BeZero(), "the ledger's time does not go back")
	})

	It("refuses an organisation above its limit and still accepts the tickets of others", func() {
		ledger = once.NewLedger(self, testKeyring(), once.Options{MaxRecords: 8})
		otherOrg := requestWith(9, self, atSecond(30))
		otherOrg.Org = "other"
		claims, err := testKeyring().Verify(otherOrg.Key)
		Expect(err).NotTo(HaveOccurred())
		claims.Org = "other"
		otherOrg.Key, err = testKeyring().Sign(claims)
		Expect(err).NotTo(HaveOccurred())
		for number := range byte(2) {
			Expect(begin(0, requestWith(number, self, atSecond(30))).Action).To(Equal(once.ActionRun))
		}
		expectFailure(begin(0, requestWith(3, self, atSecond(40))), types.NotRun, types.CodeOverloaded)
		expectFailure(begin(0, requestWith(4, self, atSecond(35))), types.NotRun, types.CodeTicketExpired)
		Expect(begin(0, otherOrg).Action).To(Equal(once.ActionRun))
	})

	It("evicts the oldest responses above the limit and keeps the records that they ran", func() {
		for number := range byte(2) {
			id := begin(0, requestWith(number, self, atSecond(30))).ID
			ledger.Finish(atSecond(1), id, ranOutcome(string(bytes.Repeat([]byte("x"), 100))))
		}
		Expect(ledger.ResponseBytes()).To(BeNumerically("<=", 300))
		expectFailure(begin(2, requestWith(0, self, atSecond(30))), types.Ran, types.CodeAnswerForgotten)
		Expect(begin(2, requestWith(1, self, atSecond(30))).Action).To(Equal(once.ActionReplay))
	})

	It("refuses a ticket whose StartBy is too far ahead with may-have-run, since it may start later", func() {
		expectFailure(begin(0, requestWith(1, self, atSecond(3600))), types.MayHaveRun, types.CodeTicketExpired)
	})

	It("starts no request while draining but replays responses to resends", func() {
		req := requestWith(1, self, atSecond(30))
		ledger.Finish(atSecond(1), begin(0, req).ID, ranOutcome("done"))
		drainingView := *view
		drainingView.Draining = true
		unseen := requestWith(2, self, atSecond(30))
		expectFailure(ledger.Begin(atSecond(2), unseen, &drainingView), types.NotRun, types.CodeDraining)
		expectFailure(ledger.Begin(atSecond(3), unseen, view), types.NotRun, types.CodeDraining)
		Expect(ledger.Begin(atSecond(2), req, &drainingView).Action).To(Equal(once.ActionReplay))
	})
})

var _ = Describe("A ticket of another incarnation", func() {
	begin := func(req once.RequestInfo, v *snapshot.Snapshot) once.Decision {
		return once.NewLedger(self, testKeyring(), once.Options{}).Begin(atSecond(0), req, v)
	}

	It("is forwarded at most once, and only to an owner in an allowed region", func() {
		req := requestWith(1, peer, atSecond(30))
		decision := begin(req, view)
		Expect(decision.Action).To(Equal(once.ActionForward))
		Expect(decision.Owner).To(Equal(peer))
		req.Path = []types.Incarnation{remotePeer}
		expectFailure(begin(req, view), types.MayHaveRun, types.CodeLoop)
		expectFailure(begin(requestWith(1, remotePeer, atSecond(30)), view), types.MayHaveRun, types.CodeResidency)
	})

	It("is refused with may-have-run when its owner restarted or is unknown", func() {
		for _, owner := range []types.Incarnation{
			{VM: self.VM, Boot: "b0"}, {VM: peer.VM, Boot: "b0"}, {VM: "10.0.0.9:7000", Boot: "b9"},
		} {
			expectFailure(begin(requestWith(1, owner, atSecond(30)), view), types.MayHaveRun, types.CodeOwnerGone)
		}
	})

	It("names this daemon as owner, or a nearby live one while this one is draining", func() {
		owner, ok := once.OwnerFor(ticket.ID{1}, service, view)
		Expect(ok).To(BeTrue())
		Expect(owner).To(Equal(self))
		drainingView := *view
		drainingView.Draining = true
		owner, ok = once.OwnerFor(ticket.ID{1}, service, &drainingView)
		Expect(ok).To(BeTrue())
		Expect(owner).To(Equal(peer))
		drainingView.Members = nil
		_, ok = once.OwnerFor(ticket.ID{1}, service, &drainingView)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("OwnerFor", func() {
	It("prefers a region with a ready endpoint to the local region without one", func() {
		wideService := &published.Service{Name: "orders", Regions: []types.Region{"kathmandu", "pokhara", "biratnagar"}}
		nearEndpoint := &snapshot.Endpoint{Region: "kathmandu", State: snapshot.EndpointReady}
		farEndpoint := &snapshot.Endpoint{Region: "pokhara", State: snapshot.EndpointReady}
		withEndpoints := *view
		withEndpoints.Endpoints = map[types.ServiceName][]*snapshot.Endpoint{"orders": {nearEndpoint, farEndpoint}}
		ownerFor := func(service *published.Service) types.Incarnation {
			owner, ok := once.OwnerFor(ticket.ID{}, service, &withEndpoints)
			Expect(ok).To(BeTrue())
			return owner
		}
		Expect(ownerFor(wideService)).To(Equal(self))
		nearEndpoint.State = snapshot.EndpointLeaving
		Expect(ownerFor(wideService)).To(Equal(remotePeer))
		Expect(ownerFor(service)).To(Equal(self), "the service may not use another region")
	})
})

var _ = Describe("DowngradeNotRun", func() {
	It("replaces not-run by may-have-run in a refusal made without asking the owner", func() {
		refusal := types.NewFailure(types.NotRun, types.CodeOverloaded, "full")
		req := requestWith(1, self, atSecond(30))
		Expect(once.DowngradeNotRun(req.Key, "", refusal).Verdict).To(Equal(types.MayHaveRun))
		Expect(once.DowngradeNotRun("", req.Key, refusal).Verdict).To(Equal(types.MayHaveRun))
		Expect(once.DowngradeNotRun("order-17", "", refusal)).To(BeIdenticalTo(refusal))
		Expect(refusal.Verdict).To(Equal(types.NotRun))
	})
})

var _ = Describe("ContentOf", func() {
	It("differs for requests whose concatenated path and query are equal", func() {
		a := &request.Request{Service: service, Method: "POST", URLPath: "/a", Query: "b"}
		b := &request.Request{Service: service, Method: "POST", URLPath: "/ab"}
		Expect(once.ContentOf(a)).NotTo(Equal(once.ContentOf(b)))
	})
})
