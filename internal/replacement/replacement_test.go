// Package replacement_test runs real daemons on loopback: what a planned stop
// and a crash do to callers that follow the documented rules.
package replacement_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestReplacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replacement")
}

// patience bounds how long a test waits; no check depends on it.
const patience = 2 * time.Minute

// drainTickets is short of a ticket's lifetime to keep the tests short; callers
// here use tickets at once.
const drainTickets = 2 * time.Second

// longDrain leaves time to ask a draining daemon.
const longDrain = 15 * time.Second

const (
	tokens   = 40
	question = `{"model":"liner-assistant","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hello"}]}`
)

func start(daemons ...int) (*deployment.Deployment, context.Context) {
	return startWith(drainTickets, daemons...)
}

func startWith(drainTickets time.Duration, daemons ...int) (*deployment.Deployment, context.Context) {
	names := []types.Region{"kathmandu", "pokhara", "biratnagar"}[:len(daemons)]
	plan := deployment.Plan{
		Config: deployment.Config(1, names...), Model: deployment.Model, Orders: deployment.Orders,
		DrainNotice: time.Second, DrainTickets: drainTickets, Engine: engine.Options{TokenInterval: 10 * time.Millisecond},
	}
	for i, name := range names {
		plan.Regions = append(plan.Regions, deployment.RegionPlan{Region: name, Daemons: daemons[i], Engines: 2, Workers: 1})
	}
	one, err := deployment.Start(plan)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(one.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	DeferCleanup(cancel)
	Expect(one.WaitReady(ctx)).To(Succeed())
	return one, ctx
}

func runsOf(one *deployment.Deployment, key string) int {
	runs := 0
	for _, worker := range one.Workers {
		runs += worker.Runs(key)
	}
	return runs
}

// tally collects what callers saw.
type tally struct {
	mu      sync.Mutex
	lost    []string
	streams int
	orders  []placed
}

func (t *tally) stream(got response, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams++
	whole := strings.Contains(got.body, engine.Tokens("hello", tokens)[tokens-1]) && strings.Contains(got.body, "[DONE]")
	if err != nil || got.status != http.StatusOK || !whole {
		t.lost = append(t.lost, fmt.Sprintf("stream: status %d, %s, error %v", got.status, got.verdict, err))
	}
}

func (t *tally) order(got placed, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, got)
	if err != nil || got.status != http.StatusOK {
		t.lost = append(t.lost, fmt.Sprintf("order: status %d, %s, error %v: %s", got.status, got.verdict, err, got.body))
	}
}

// load runs callers until stop is set.
func load(one *deployment.Deployment, stop *atomic.Bool, seen *tally) *conc.WaitGroup {
	var callers conc.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			c := newCaller(one.Entries())
			for !stop.Load() {
				seen.stream(c.ask(question))
			}
		})
		callers.Go(func() {
			c := newCaller(one.Entries())
			for n := 0; !stop.Load(); n++ {
				seen.order(c.order(fmt.Sprintf("order %d of caller %d", n, i)))
				time.Sleep(pauseTries)
			}
		})
	}
	return &callers
}

var _ = Describe("Real daemons on loopback", func() {
	It("replace all eight entries under load, cut nothing, lose nothing and run each order once", func() {
		one, ctx := start(3, 3, 2)
		var stop atomic.Bool
		seen := &tally{}
		callers := load(one, &stop, seen)
		DeferCleanup(func() {
			stop.Store(true)
			callers.Wait()
		})
		for _, old := range one.Entries() {
			fresh, err := one.StartEntry(old.Load().Self.Region)
			Expect(err).NotTo(HaveOccurred())
			Expect(one.Wait(ctx, func(e *deployment.Entry) bool { return e != fresh || e.Ready(1) })).To(Succeed())
			Expect(old.Stop()).To(Succeed())
			one.RemoveEntry(old)
		}
		stop.Store(true)
		callers.Wait()
		GinkgoWriter.Printf("%d streams, %d orders\n", seen.streams, len(seen.orders))
		Expect(seen.lost).To(BeEmpty())
		Expect(seen.streams).To(BeNumerically(">", 0))
		for _, order := range seen.orders {
			Expect(runsOf(one, order.key)).To(Equal(1))
		}
	})

	It("answer a resend at any entry from the owner's memory, and may-have-run once the owner crashed", func() {
		one, _ := start(2)
		c := newCaller(one.Entries())
		first, err := c.order("10 liners")
		Expect(err).NotTo(HaveOccurred())
		var owner *deployment.Entry
		for _, entry := range one.Entries() {
			again, err := c.call(http.MethodPost, entry.Self().CallerAddress, "/v1/services/liner-orders/orders", first.key, "10 liners")
			Expect(err).NotTo(HaveOccurred())
			Expect(again.body).To(Equal(first.body), "status %d", again.status)
			Expect(again.verdict).To(Equal(types.Ran.String()))
		}
		answer, err := c.entries()
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range one.Entries() {
			if entry.Self().CallerAddress == answer.TicketEntry {
				owner = entry
			}
		}
		owner.Abort()
		for _, entry := range one.Entries() {
			if entry == owner {
				continue
			}
			lost, err := c.call(http.MethodPost, entry.Self().CallerAddress, "/v1/services/liner-orders/orders", first.key, "10 liners")
			Expect(err).NotTo(HaveOccurred())
			Expect(lost.verdict).To(Equal(types.MayHaveRun.String()))
		}
		Expect(runsOf(one, first.key)).To(Equal(1))
	})

	It("answer for their orders through other entries while draining, until their tickets have expired", func() {
		one, ctx := startWith(longDrain, 2)
		c := newCaller(one.Entries())
		first, err := c.order("10 liners")
		Expect(err).NotTo(HaveOccurred())
		answer, err := c.entries()
		Expect(err).NotTo(HaveOccurred())
		var owner, other *deployment.Entry
		for _, entry := range one.Entries() {
			if entry.Self().CallerAddress == answer.TicketEntry {
				owner = entry
				continue
			}
			other = entry
		}
		ended := make(chan error, 1)
		go func() { ended <- owner.Stop() }()
		Eventually(ctx, func() error {
			_, err := c.call(http.MethodGet, owner.Self().CallerAddress, "/v1/entries", "", "")
			return err
		}).Should(HaveOccurred(), "callers' connections are refused after the notice")
		Consistently(ended, 0).ShouldNot(Receive())

		again, err := c.call(http.MethodPost, other.Self().CallerAddress, "/v1/services/liner-orders/orders", first.key, "10 liners")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.body).To(Equal(first.body))
		unused, err := c.call(http.MethodPost, other.Self().CallerAddress, "/v1/services/liner-orders/orders", answer.Ticket, "5 liners")
		Expect(err).NotTo(HaveOccurred())
		Expect(unused.verdict).To(Equal(types.NotRun.String()), unused.body)
		placed, err := c.call(http.MethodPost, other.Self().CallerAddress, "/v1/services/liner-orders/orders", unused.ticket, "5 liners")
		Expect(err).NotTo(HaveOccurred())
		Expect(placed.status).To(Equal(http.StatusOK), placed.body)
		Expect(<-ended).To(Succeed())
	})

	It("never say not-run of a resend that is refused before the ledger is asked", func() {
		one, _ := start(1)
		c := newCaller(one.Entries())
		first, err := c.order("10 liners")
		Expect(err).NotTo(HaveOccurred())
		address := one.Entries()[0].Self().CallerAddress
		header := http.Header{types.HeaderRank: {"no such rank"}}
		got, err := c.callWith(header, http.MethodPost, address, "/v1/services/liner-orders/orders", first.key, "10 liners")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadRequest))
		Expect(got.verdict).To(Equal(types.MayHaveRun.String()))
	})

	It("refuse a bare key as not-run, and run the order under the ticket of the refusal", func() {
		one, _ := start(1)
		c := newCaller(one.Entries())
		address := one.Entries()[0].Self().CallerAddress
		bare, err := c.call(http.MethodPost, address, "/v1/services/liner-orders/orders", "order-17", "10 liners")
		Expect(err).NotTo(HaveOccurred())
		Expect(bare.status).To(Equal(http.StatusPreconditionRequired))
		Expect(bare.verdict).To(Equal(types.NotRun.String()))
		got, err := c.call(http.MethodPost, address, "/v1/services/liner-orders/orders", bare.ticket, "10 liners")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(runsOf(one, bare.ticket)).To(Equal(1))
		Expect(runsOf(one, "order-17")).To(BeZero())
	})
})
