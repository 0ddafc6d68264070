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
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self    = types.Incarnation{VM: "10.0.0.1:7000", Boot: "b1"}
	peer    = types.Incarnation{VM: "10.0.0.2:7000", Boot: "b2"}
	abroad  = types.Incarnation{VM: "10.0.0.3:7000", Boot: "b3"}
	service = &published.Service{Name: "orders", Kind: published.KindPlain, Regions: []types.Region{"kathmandu"}}
	view    = &snapshot.Snapshot{
		Self: snapshot.Self{Incarnation: self, Region: "kathmandu", DataCentre: "k1"},
		Members: []snapshot.Member{
			{Incarnation: peer, Region: "kathmandu", DataCentre: "k1", State: snapshot.MemberAlive},
			{Incarnation: abroad, Region: "pokhara", DataCentre: "p1", State: snapshot.MemberAlive},
		},
	}
)

func testKeyring() *ticket.Keyring {
	ring, err := ticket.NewKeyring(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), ticket.MinSecretBytes)})
	Expect(err).NotTo(HaveOccurred())
	return ring
}

// order returns an order whose ticket names the owner and ends at startBy.
func order(number byte, owner types.Incarnation, startBy time.Time) once.RequestInfo {
	claims := ticket.Claims{ID: ticket.ID{number}, Org: "coop", Owner: owner, Issuer: peer, StartBy: startBy}
	text, err := testKeyring().Sign(claims)
	Expect(err).NotTo(HaveOccurred())
	return once.RequestInfo{Org: "coop", Service: service, Key: text}
}

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func ranWith(body string) once.Outcome {
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
	begin := func(seconds int, o once.RequestInfo) once.Decision { return ledger.Begin(at(seconds), o, view) }

	It("runs a ticket once, lets duplicates wait and replays the answer", func() {
		o := order(1, self, at(30))
		first := begin(0, o)
		Expect(first.Action).To(Equal(once.ActionRun))
		Expect(begin(1, o).Action).To(Equal(once.ActionWait))
		ledger.Finish(at(2), first.ID, ranWith("done"))
		again := begin(80, o)
		Expect(again.Action).To(Equal(once.ActionReplay))
		Expect(again.Response.Body).To(BeEquivalentTo("done"))
		expectFailure(begin(90, o), types.MayHaveRun, types.CodeTicketExpired)
	})

	It("accepts the ticket in either header, and not two different keys", func() {
		o := order(1, self, at(30))
		swapped := o
		swapped.Key, swapped.Ticket = "", o.Key
		Expect(begin(0, swapped).Action).To(Equal(once.ActionRun))
		Expect(begin(0, o).Action).To(Equal(once.ActionWait))
		both := o
		both.Key, both.Ticket = "order-17", o.Key
		expectFailure(begin(0, both), types.MayHaveRun, types.CodeBadRequest)
	})

	It("never runs a key without a ticket", func() {
		for _, key := range []string{"", "order-17"} {
			expectFailure(begin(0, once.RequestInfo{Org: "coop", Key: key}), types.NotRun, types.CodeTicketRequired)
		}
		expectFailure(begin(0, once.RequestInfo{Org: "coop", Key: "fm1.x"}), types.NotRun, types.CodeBadRequest)
		stolen := order(1, self, at(30))
		stolen.Org = "other"
		expectFailure(begin(0, stolen), types.NotRun, types.CodeForbidden)
		Expect(ledger.Len()).To(BeZero())
	})

	It("keeps not-run final: the ticket does not run later", func() {
		o := order(1, self, at(30))
		refused := types.NewFailure(types.NotRun, types.CodeNoEndpoint, "none")
		ledger.Finish(at(1), begin(0, o).ID, once.Outcome{Verdict: types.NotRun, Failure: refused})
		expectFailure(begin(2, o), types.NotRun, types.CodeNoEndpoint)
		expectFailure(begin(31, o), types.NotRun, types.CodeTicketExpired)
	})

	It("takes an outcome without verdict or answer as one that may have run", func() {
		o := order(1, self, at(30))
		ledger.Finish(at(1), begin(0, o).ID, once.Outcome{})
		expectFailure(begin(2, o), types.MayHaveRun, types.CodeInternal)
	})

	It("refuses a key that was used with another request", func() {
		o := order(1, self, at(30))
		id := begin(0, o).ID
		o.Content[0]++
		expectFailure(begin(1, o), types.MayHaveRun, types.CodeKeyReused)
		ledger.Finish(at(2), id, ranWith("done"))
		expectFailure(begin(3, o), types.Ran, types.CodeKeyReused)
	})

	It("refuses new keys when full, for good, and never runs a remembered one again", func() {
		ids := []ticket.ID{begin(0, order(1, self, at(30))).ID, begin(0, order(2, self, at(31))).ID}
		late := order(3, self, at(32))
		expectFailure(begin(0, late), types.NotRun, types.CodeOverloaded)
		for _, id := range ids {
			ledger.Finish(at(1), id, ranWith("done"))
		}
		Expect(ledger.Len()).To(Equal(2))
		Expect(begin(1, order(1, self, at(30))).Action).To(Equal(once.ActionReplay))
		ledger.Finish(at(95), ids[0], once.Outcome{})
		expectFailure(begin(20, late), types.NotRun, types.CodeTicketExpired)
		Expect(ledger.Len()).To(BeZero(), "the clock of the ledger does not go back")
	})

	It("refuses an organisation over its share and leaves the tickets of others alone", func() {
		ledger = once.NewLedger(self, testKeyring(), once.Options{MaxRecords: 8})
		other := order(9, self, at(30))
		other.Org = "other"
		claims, err := testKeyring().Verify(other.Key)
		Expect(err).NotTo(HaveOccurred())
		claims.Org = "other"
		other.Key, err = testKeyring().Sign(claims)
		Expect(err).NotTo(HaveOccurred())
		for number := range byte(2) {
			Expect(begin(0, order(number, self, at(30))).Action).To(Equal(once.ActionRun))
		}
		expectFailure(begin(0, order(3, self, at(40))), types.NotRun, types.CodeOverloaded)
		expectFailure(begin(0, order(4, self, at(35))), types.NotRun, types.CodeTicketExpired)
		Expect(begin(0, other).Action).To(Equal(once.ActionRun))
	})

	It("drops the oldest answers over the bound but not the knowledge that they ran", func() {
		for number := range byte(2) {
			id := begin(0, order(number, self, at(30))).ID
			ledger.Finish(at(1), id, ranWith(string(bytes.Repeat([]byte("x"), 100))))
		}
		Expect(ledger.ResponseBytes()).To(BeNumerically("<=", 300))
		expectFailure(begin(2, order(0, self, at(30))), types.Ran, types.CodeAnswerForgotten)
		Expect(begin(2, order(1, self, at(30))).Action).To(Equal(once.ActionReplay))
	})

	It("refuses a ticket from too far ahead without a claim about the future", func() {
		expectFailure(begin(0, order(1, self, at(3600))), types.MayHaveRun, types.CodeTicketExpired)
	})

	It("starts nothing while draining but answers resends", func() {
		o := order(1, self, at(30))
		ledger.Finish(at(1), begin(0, o).ID, ranWith("done"))
		leaving := *view
		leaving.Draining = true
		fresh := order(2, self, at(30))
		expectFailure(ledger.Begin(at(2), fresh, &leaving), types.NotRun, types.CodeDraining)
		expectFailure(ledger.Begin(at(3), fresh, view), types.NotRun, types.CodeDraining)
		Expect(ledger.Begin(at(2), o, &leaving).Action).To(Equal(once.ActionReplay))
	})
})

var _ = Describe("A ticket of another incarnation", func() {
	begin := func(o once.RequestInfo, v *snapshot.Snapshot) once.Decision {
		return once.NewLedger(self, testKeyring(), once.Options{}).Begin(at(0), o, v)
	}

	It("is forwarded once, to an owner in an allowed region", func() {
		o := order(1, peer, at(30))
		decision := begin(o, view)
		Expect(decision.Action).To(Equal(once.ActionForward))
		Expect(decision.Owner).To(Equal(peer))
		o.Path = []types.Incarnation{abroad}
		expectFailure(begin(o, view), types.MayHaveRun, types.CodeLoop)
		expectFailure(begin(order(1, abroad, at(30)), view), types.MayHaveRun, types.CodeResidency)
	})

	It("may have run when the owner restarted or is unknown", func() {
		for _, owner := range []types.Incarnation{
			{VM: self.VM, Boot: "b0"}, {VM: peer.VM, Boot: "b0"}, {VM: "10.0.0.9:7000", Boot: "b9"},
		} {
			expectFailure(begin(order(1, owner, at(30)), view), types.MayHaveRun, types.CodeOwnerGone)
		}
	})

	It("is issued to this daemon, and to a near live one while draining", func() {
		owner, ok := once.OwnerFor(ticket.ID{1}, service, view)
		Expect(ok).To(BeTrue())
		Expect(owner).To(Equal(self))
		leaving := *view
		leaving.Draining = true
		owner, ok = once.OwnerFor(ticket.ID{1}, service, &leaving)
		Expect(ok).To(BeTrue())
		Expect(owner).To(Equal(peer))
		leaving.Members = nil
		_, ok = once.OwnerFor(ticket.ID{1}, service, &leaving)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("OwnerFor", func() {
	It("leaves a region without a ready endpoint for one that has some", func() {
		wide := &published.Service{Name: "orders", Regions: []types.Region{"kathmandu", "pokhara", "biratnagar"}}
		near := &snapshot.Endpoint{Region: "kathmandu", State: snapshot.EndpointReady}
		far := &snapshot.Endpoint{Region: "pokhara", State: snapshot.EndpointReady}
		known := *view
		known.Endpoints = map[types.ServiceName][]*snapshot.Endpoint{"orders": {near, far}}
		ownerFor := func(service *published.Service) types.Incarnation {
			owner, ok := once.OwnerFor(ticket.ID{}, service, &known)
			Expect(ok).To(BeTrue())
			return owner
		}
		Expect(ownerFor(wide)).To(Equal(self))
		near.State = snapshot.EndpointLeaving
		Expect(ownerFor(wide)).To(Equal(abroad))
		Expect(ownerFor(service)).To(Equal(self), "the data may not go abroad")
	})
})

var _ = Describe("BeforeLedger", func() {
	It("takes back not-run from a refusal that did not ask the owner", func() {
		refusal := types.NewFailure(types.NotRun, types.CodeOverloaded, "full")
		o := order(1, self, at(30))
		Expect(once.DowngradeNotRun(o.Key, "", refusal).Verdict).To(Equal(types.MayHaveRun))
		Expect(once.DowngradeNotRun("", o.Key, refusal).Verdict).To(Equal(types.MayHaveRun))
		Expect(once.DowngradeNotRun("order-17", "", refusal)).To(BeIdenticalTo(refusal))
		Expect(refusal.Verdict).To(Equal(types.NotRun))
	})
})

var _ = Describe("ContentOf", func() {
	It("tells apart requests whose parts only run together", func() {
		a := &request.Request{Service: service, Method: "POST", URLPath: "/a", Query: "b"}
		b := &request.Request{Service: service, Method: "POST", URLPath: "/ab"}
		Expect(once.ContentOf(a)).NotTo(Equal(once.ContentOf(b)))
	})
})
