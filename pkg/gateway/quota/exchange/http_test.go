package exchange_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// testClock is a clock that stands still between settings.
type testClock struct{ now time.Time }

// newDaemon returns an exchange that has minted for a minute as one of two daemons.
func newDaemon(t testing.TB, neighbours quota.Neighbours) *exchange.Exchange {
	t.Helper()
	log, registry := logrus.New(), prometheus.NewRegistry()
	log.SetOutput(io.Discard)
	clock := &testClock{now: time.Unix(0, 0)}
	e := exchange.New(exchange.Options{
		Asker:   exchange.NewHTTPAsker(http.DefaultTransport),
		Metrics: exchange.NewMetrics(registry), Guard: guard.New(log, registry), Log: log,
		Now: func() time.Time { return clock.now }, Rand: rand.NewPCG(1, 2),
	})
	t.Cleanup(e.Close)
	config := &catalog.Config{Organisations: []*catalog.Organisation{
		{Name: caller, Quota: &catalog.Quota{Rate: 100, Burst: 400}}, {Name: "free"},
	}}
	e.Update(config, neighbours, 2)
	clock.now = clock.now.Add(time.Minute)
	return e
}

func TestAskOverHTTP(t *testing.T) {
	g := NewWithT(t)
	giver := newDaemon(t, quota.Neighbours{Self: "giver", Holder: "giver"})
	server := httptest.NewServer(http.HandlerFunc(giver.ServeAsk))
	defer server.Close()
	vm := types.VMID(server.Listener.Addr().String())
	asking := newDaemon(t, quota.Neighbours{Self: "asking", Holder: vm, DataCentre: []types.VMID{vm}})

	const own = 100.0
	_, refusal, err := asking.Acquire(context.Background(), caller, 1.5*own, false, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refusal).To(BeNil())
	_, ok := giver.TryCharge(caller, own)
	g.Expect(ok).To(BeFalse(), "it has deducted what it gave")

	_, refusal, err = asking.Acquire(context.Background(), caller, 1.5*own, false, 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	_, refusal, _ = asking.Acquire(context.Background(), caller, 1000*own, false, 10*time.Second)
	g.Expect(refusal.RetryAfter).To(BeZero(), "the quota never allows as much")
}

func TestQuestionsThatCannotBeRead(t *testing.T) {
	e := newDaemon(t, quota.Neighbours{Self: "self", Holder: "self"})
	for body, status := range map[string]int{
		``:  http.StatusBadRequest,
		`[`: http.StatusBadRequest,
		`{"org":"org","units":-1,"scope":"spare"}`:            http.StatusBadRequest,
		`{"org":"org","units":1e999,"scope":"spare"}`:         http.StatusBadRequest,
		`{"org":"org","units":1,"scope":"all"}`:               http.StatusBadRequest,
		`{"org":"org","units":1,"scope":"spare","later":"x"}`: http.StatusOK,
		`{"org":"unknown","units":1,"scope":"fleet"}`:         http.StatusOK,
		`{"org":"free","units":1,"scope":"dc"}`:               http.StatusOK,
	} {
		recorder := httptest.NewRecorder()
		e.ServeAsk(recorder, httptest.NewRequest(http.MethodPost, exchange.AskPath, strings.NewReader(body)))
		NewWithT(t).Expect(recorder.Code).To(Equal(status), body)
	}
}

func BenchmarkCharge(b *testing.B) {
	e := newDaemon(b, quota.Neighbours{Self: "self", Holder: "self"})
	for b.Loop() {
		charge, ok := e.TryCharge(caller, 1)
		if !ok {
			b.Fatal("no credit")
		}
		e.Refund(charge, 1)
	}
}
