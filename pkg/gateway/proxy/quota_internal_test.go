package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("The units of an admitted handover", func() {
	// minted is what a daemon alone has minted of a rate of 1 and a burst of 6.
	const minted = 4
	var (
		r      *run
		quotas *exchange.Exchange
	)
	// left takes what is left, and returns it.
	left := func() (units int) {
		for {
			if _, ok := quotas.TryCharge("limited", 1); !ok {
				return units
			}
			units++
		}
	}
	ginkgo.BeforeEach(func() {
		log, registry := logrus.New(), prometheus.NewRegistry()
		log.SetOutput(io.Discard)
		now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
		quotas = exchange.New(exchange.Options{
			Metrics: exchange.NewMetrics(registry), Guard: guard.New(log, registry), Log: log, Now: func() time.Time { return now }, Rand: rand.NewPCG(1, 2),
		})
		ginkgo.DeferCleanup(quotas.Close)
		limited := &catalog.Organisation{Name: "limited", Quota: &catalog.Quota{Rate: 1, Burst: 6}}
		quotas.Update(&catalog.Config{Organisations: []*catalog.Organisation{limited}}, quota.Neighbours{Self: "self", Holder: "self"}, 1)
		now = now.Add(time.Minute)
		r = &run{ctx: context.Background(), h: &Handler{opts: Options{Quotas: quotas}}, req: &Request{Organisation: limited, Route: &catalog.Route{}}}

		// The attempt before it has run.
		Expect(r.chargeQuota()).To(BeNil())
		Expect(r.reserveQuota()).To(BeTrue())
		r.reached = true
		r.settleQuota(types.NewFailure(types.MayHaveRun, types.CodeEndpointFailed, ""))
	})
	admitted := func() *handover {
		plan := &handover{done: make(chan struct{})}
		plan.conn.cancel = func() {}
		close(plan.done)
		return plan
	}

	ginkgo.It("are not given back if the request ends before the next attempt, since it may run", func() {
		r.dropHandover(admitted())
		r.refundQuotas()
		Expect(left()).To(Equal(minted - 2))
	})

	ginkgo.It("are not given back if the next attempt is refused here, since it may run", func() {
		Expect(r.chargeQuota()).To(BeNil())
		r.dropHandover(admitted())
		r.refundQuotas()
		Expect(left()).To(Equal(minted - 2))
	})

	ginkgo.It("are given back once if they are reserved again", func() {
		Expect(r.reserveQuota()).To(BeTrue())
		r.refundQuotas()
		Expect(left()).To(Equal(minted - 1))
	})

	ginkgo.It("are given back if no handover was admitted", func() {
		r.refundQuotas()
		Expect(left()).To(Equal(minted - 1))
	})
})

var _ = ginkgo.Describe("An organisation whose credential can't be confirmed before an admitted handover", func() {
	ginkgo.It("binds the attempts after that by its quota and its regions", func() {
		limited := &catalog.Organisation{
			Name: "limited", Credentials: []catalog.CredentialDigest{catalog.DigestOf("key")}, AllowedRegions: []types.Region{"north"},
			Quota: &catalog.Quota{Rate: 1, Burst: 4},
		}
		route := &catalog.Route{Name: "r", Host: "a.example", Prefix: "/"}
		config := &catalog.Config{Version: 1, Routes: []*catalog.Route{route}, Organisations: []*catalog.Organisation{limited}}
		config.Prepare()
		now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
		snapshot := &control.Snapshot{View: &catalog.View{Config: config}, ConfirmedAt: now}
		h := &Handler{opts: Options{
			Now: func() time.Time { return now }, Snapshot: func() *control.Snapshot { return snapshot },
			RevocationLimit: time.Second, Quotas: exchange.New(exchange.Options{}),
		}}
		ginkgo.DeferCleanup(h.opts.Quotas.Close)
		r := &run{ctx: context.Background(), h: h, req: &Request{RequestInfo: RequestInfo{Credential: catalog.DigestOf("key")}, Route: route}}
		expectBound := func() {
			ginkgo.GinkgoHelper()
			_, charged := r.quotaCost()
			Expect(charged).To(BeTrue())
			Expect(r.req.allows("south")).To(BeFalse())
		}
		Expect(r.identifyAgain()).To(BeNil())
		expectBound()

		now = now.Add(time.Second)
		Expect(r.identifyAgain()).NotTo(BeNil())
		expectBound()
	})
})
