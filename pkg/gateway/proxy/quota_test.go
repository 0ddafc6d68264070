package proxy_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// giver is another daemon that gives the units that it is asked for, after a while.
type giver struct {
	delay time.Duration
	given atomic.Int64
}

// Ask implements exchange.Asker.
func (g *giver) Ask(_ context.Context, _ types.VMID, ask exchange.Ask) (*exchange.Answer, error) {
	time.Sleep(g.delay)
	g.given.Add(int64(ask.Units))
	return &exchange.Answer{Gifts: []quota.Gift{{Units: ask.Units, Life: time.Second}}}, nil
}

// stoppedClock is a clock that stands still, so that nothing is minted.
type stoppedClock struct{ elapsed atomic.Int64 }

func (c *stoppedClock) now() time.Time { return longAgo.Add(time.Duration(c.elapsed.Load())) }

// newQuotas returns the quotas of a daemon alone, or with another one that may be asked.
// It has minted as much as it can keep: 2 units for a burst of 4.
func newQuotas(organisations []*catalog.Organisation, other *giver) *exchange.Exchange {
	log, registry, clock := logrus.New(), prometheus.NewRegistry(), &stoppedClock{}
	log.SetOutput(io.Discard)
	options := exchange.Options{
		Metrics: exchange.NewMetrics(registry), Guard: guard.New(log, registry), Log: log, Now: clock.now, Rand: rand.NewPCG(1, 2),
	}
	neighbours := quota.Neighbours{Self: "self", Holder: "self"}
	if other != nil {
		options.Asker, neighbours.DataCentre = other, []types.VMID{"other"}
	}
	quotas := exchange.New(options)
	DeferCleanup(quotas.Close)
	quotas.Update(&catalog.Config{Organisations: organisations}, neighbours, 1)
	clock.elapsed.Store(int64(time.Minute))
	return quotas
}

var _ = Describe("a request of an organisation with a quota", func() {
	const minted = 2
	var w *testProxy
	BeforeEach(func() {
		w = newTestProxy(catalog.Idempotent)
		limited := organisation("limited")
		limited.Quota = &catalog.Quota{Rate: 1, Burst: 4}
		w.organisations = []*catalog.Organisation{limited, organisation("free")}
	})
	ask := func(name string) callerResponse { return w.call("GET", "/r/", "", headerCredential, name) }

	It("is refused beyond the quota, without an attempt, and no other organisation's is", func() {
		w.quotas = newQuotas(w.organisations, nil)
		e := newEndpoint(respondOK)
		w.start(e)
		for range minted {
			Expect(ask("limited").status).To(Equal(200))
		}
		resp := ask("limited")
		Expect(resp.status).To(Equal(http.StatusTooManyRequests))
		Expect(resp.body).To(ContainSubstring(string(types.CodeOverQuota)))
		wait, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(BeNumerically(">", 0))
		Expect(ask("free").status).To(Equal(200))
		Expect(e.count()).To(Equal(minted + 1))
	})

	It("gets its units back if it was not run", func() {
		w.quotas = newQuotas(w.organisations, nil)
		w.start(newEndpoint(respondNotRun))
		for range 3 * minted {
			Expect(ask("limited").status).To(Equal(http.StatusServiceUnavailable))
		}
	})

	It("takes units for each attempt that may have run", func() {
		w.quotas = newQuotas(w.organisations, nil)
		w.route.MaxAttempts = 4
		first, second, third := newEndpoint(respondServerError), newEndpoint(respondServerError), newEndpoint(respondServerError)
		w.start(first, second, third)
		Expect(ask("limited").status).To(BeNumerically(">=", 500))
		Expect(first.count() + second.count() + third.count()).To(Equal(minted))
	})

	It("waits for units that another daemon gives", func() {
		other := &giver{delay: 20 * time.Millisecond}
		w.quotas = newQuotas(w.organisations, other)
		w.start(newEndpoint(respondOK))
		for range 2 * minted {
			Expect(ask("limited").status).To(Equal(200))
		}
		Expect(other.given.Load()).To(BeNumerically(">", 0))
	})

	It("is not charged by a daemon behind a hop", func() {
		w.quotas = newQuotas(w.organisations, nil)
		w.start(newEndpoint(respondOK))
		digest := string(catalog.DigestOf("limited"))
		envelope := `{"from":"127.0.0.1:9","service":"svc","left":5000000000,"credential":"` + digest + `","config_version":1,` +
			`"route":{"name":"r","host":"a.example","prefix":"/r/","kind":"idempotent"}}`
		for range 2 * minted {
			Expect(w.serveForwarded(envelope, "").Code).To(Equal(200))
		}
	})

	Describe("is explained", func() {
		explained := func() *explain.Answer {
			question := explain.Question{Method: "GET", Host: "a.example", Path: "/r/", Organisation: "limited"}
			answer, failure := w.handler.Explain(context.Background(), question)
			ExpectWithOffset(1, failure).To(BeNil())
			return answer
		}

		It("as refused once its credit is used up, and takes none", func() {
			w.quotas = newQuotas(w.organisations, nil)
			w.start(newEndpoint(respondOK))
			for range 3 * minted {
				answer := explained()
				Expect(answer.Outcome).To(Equal(explain.ToEndpoint))
				Expect(answer.QuotaCost).To(BeEquivalentTo(1))
				Expect(answer.QuotaCredit).To(BeEquivalentTo(minted))
			}
			for range minted {
				Expect(ask("limited").status).To(Equal(200))
			}
			answer := explained()
			Expect(answer.Outcome).To(Equal(explain.Refused))
			Expect(answer.Code).To(Equal(types.CodeOverQuota))
			Expect(answer.RetryAfterMs).To(BeNumerically(">", 0))
			Expect(answer.QuotaCredit).To(BeZero())
			Expect(ask("limited").status).To(Equal(http.StatusTooManyRequests))
		})

		It("as waiting where other daemons would be asked, and asks none", func() {
			other := &giver{delay: 20 * time.Millisecond}
			w.quotas = newQuotas(w.organisations, other)
			w.start(newEndpoint(respondOK))
			for range minted {
				Expect(ask("limited").status).To(Equal(200))
			}
			given := other.given.Load()
			answer := explained()
			Expect(answer.Outcome).To(Equal(explain.Waits))
			Expect(answer.Reason).To(ContainSubstring("credit"))
			Expect(answer.MaxWaitMs).To(BeNumerically(">", 0))
			Consistently(other.given.Load, "100ms").Should(Equal(given))
			Expect(ask("limited").status).To(Equal(200))
		})

		It("as refused for good beyond what all daemons may hold together", func() {
			w.organisations[0].Quota = &catalog.Quota{Rate: 0.1, Burst: 0.5}
			w.quotas = newQuotas(w.organisations, &giver{})
			w.start(newEndpoint(respondOK))
			answer := explained()
			Expect(answer.Code).To(Equal(types.CodeOverQuota))
			Expect(answer.RetryAfterMs).To(BeZero())
		})
	})

	It("passes as before if no organisation has a quota", func() {
		w.organisations = []*catalog.Organisation{organisation("limited")}
		w.quotas = newQuotas(w.organisations, nil)
		w.start(newEndpoint(respondOK))
		for range 2 * minted {
			Expect(ask("limited").status).To(Equal(200))
		}
	})
})
