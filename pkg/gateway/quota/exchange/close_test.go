package exchange_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// countingAsker counts questions, which nobody answers.
type countingAsker struct{ asked atomic.Int64 }

func (a *countingAsker) Ask(context.Context, types.VMID, exchange.Ask) (*exchange.Answer, error) {
	a.asked.Add(1)
	return nil, errCut
}

// Guards against work that begins in the background while or after the exchange closes: other
// daemons go on asking this one while it stops.
func TestNoRoundBeginsOnceClosed(t *testing.T) {
	synctest.Test(t, noRoundBeginsOnceClosed)
}

func noRoundBeginsOnceClosed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry := prometheus.NewRegistry()
	asker := &countingAsker{}
	e := exchange.New(exchange.Options{
		Bounds: catalog.QuotaBounds{Window: 8 * time.Second, Overshoot: 0.25},
		Asker:  asker, Metrics: exchange.NewMetrics(registry), Guard: guard.New(log, registry), Log: log, Now: time.Now,
		Rand: rand.NewPCG(1, 2),
	})
	limit := catalog.Quota{Rate: 10, Burst: 10}
	config := &catalog.Config{Organisations: []*catalog.Organisation{{Name: caller, Quota: &limit}}}
	self, other := quota.Daemon{VM: "a:1", Region: "north", DataCentre: "north-a"}, quota.Daemon{VM: "b:1", Region: "north", DataCentre: "north-a"}
	e.Update(config, quota.NeighboursOf(self, []quota.Daemon{other}), 2)
	ask := exchange.Ask{Organisation: caller, Units: 1000, Scope: quota.Fleet}

	e.Answer(t.Context(), ask)
	if asker.asked.Load() == 0 {
		t.Fatal("an open exchange asks others for a daemon of its data centre")
	}
	e.Close()
	time.Sleep(10 * time.Second) // a daemon that did not answer is asked again by then
	before := asker.asked.Load()
	e.Answer(t.Context(), ask)
	if after := asker.asked.Load(); after != before {
		t.Fatalf("%d questions after the exchange was closed", after-before)
	}
}
