package exchange_test

import (
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
)

// quotedExchange returns an exchange with one other daemon, which does not answer.
func quotedExchange() (*exchange.Exchange, *countingAsker) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry, asker := prometheus.NewRegistry(), &countingAsker{}
	e := exchange.New(exchange.Options{
		Bounds: catalog.QuotaBounds{Window: 8 * time.Second, Overshoot: 0.25},
		Asker:  asker, Metrics: exchange.NewMetrics(registry), Guard: guard.New(log, registry), Log: log, Now: time.Now,
		Rand: rand.NewPCG(1, 2),
	})
	limit := catalog.Quota{Rate: 10, Burst: 10}
	config := &catalog.Config{Organisations: []*catalog.Organisation{{Name: caller, Quota: &limit}}}
	self, other := quota.Daemon{VM: "a:1", Region: "north", DataCentre: "north-a"}, quota.Daemon{VM: "b:1", Region: "north", DataCentre: "north-a"}
	e.Update(config, quota.NeighboursOf(self, []quota.Daemon{other}), 2)
	return e, asker
}

// A daemon that lately did not answer is not asked, so nobody is to be told that it will be.
func TestQuoteCountsOnOnlyDaemonsThatAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, asker := quotedExchange()
		defer e.Close()
		const cost = 8.0
		if quote := e.Quote(caller, cost); !quote.Asks {
			t.Fatalf("the other daemon is not known to be silent, %+v", quote)
		}
		if _, refusal, _ := e.Acquire(t.Context(), caller, cost, false, 50*time.Millisecond); refusal == nil || asker.asked.Load() == 0 {
			t.Fatalf("refused after it has asked in vain: %+v, %d questions", refusal, asker.asked.Load())
		}
		time.Sleep(time.Second) // the next round may begin, and would ask nobody
		if quote := e.Quote(caller, cost); quote.Covered || quote.Asks || quote.RetryAfter <= 0 {
			t.Errorf("the only other daemon is silent, %+v", quote)
		}
		before := asker.asked.Load()
		if _, refusal, _ := e.Acquire(t.Context(), caller, cost, false, 50*time.Millisecond); refusal == nil || asker.asked.Load() != before {
			t.Errorf("refused without a question: %+v, %d questions", refusal, asker.asked.Load()-before)
		}
		time.Sleep(10 * time.Second)
		if quote := e.Quote(caller, 1e6); quote.Asks || quote.Covered || quote.RetryAfter != 0 {
			t.Errorf("more than all daemons may hold, %+v", quote)
		}
	})
}

// The daemon's quotas may learn of an organisation's limit after its configuration.
func TestQuoteOfAnOrganisationWithoutALimit(t *testing.T) {
	e, _ := quotedExchange()
	defer e.Close()
	if quote := e.Quote("other", 8); quote != (exchange.Quote{Covered: true}) {
		t.Errorf("nothing limits it, %+v", quote)
	}
}
