package onceguard_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/onceguard"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestGuard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "onceguard")
}

var (
	self = types.Incarnation{VM: "10.0.0.1:7000", Boot: "b1"}
	view = &snapshot.Snapshot{Self: snapshot.Self{Incarnation: self, Region: "kathmandu"}}
)

func newGuard() *onceguard.Guard {
	ring, err := ticket.NewKeyring(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), ticket.MinSecretBytes)})
	Expect(err).NotTo(HaveOccurred())
	return onceguard.New(onceguard.Options{Self: self, Keyring: ring})
}

func orderWith(key string) *request.Request {
	return &request.Request{
		Service: &published.Service{Name: "orders", Regions: []types.Region{"kathmandu"}},
		Org:     &published.Organisation{Name: "coop"}, Key: key, Method: "POST", Body: []byte("10 liners"),
	}
}

func answered(body string) once.Outcome {
	return once.Outcome{Verdict: types.Ran, Response: &once.Response{Status: 201, Body: []byte(body)}}
}

var _ = Describe("Guard", func() {
	var guard *onceguard.Guard
	var order *request.Request
	BeforeEach(func() {
		guard = newGuard()
		key, err := guard.Ticket("coop", self, 3)
		Expect(err).NotTo(HaveOccurred())
		order = orderWith(key)
	})

	It("runs once for many callers at a time and gives all of them the answer", func() {
		var runs, replays atomic.Int32
		run := func(_ context.Context, floor types.Revision) once.Outcome {
			runs.Add(1)
			Expect(floor).To(BeEquivalentTo(3))
			return answered("order 17")
		}
		var callers conc.WaitGroup
		for range 50 {
			callers.Go(func() {
				result := guard.Do(context.Background(), order, view, run)
				if string(result.Response.Body) == "order 17" && result.Replayed {
					replays.Add(1)
				}
			})
		}
		callers.Wait()
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(replays.Load()).To(BeEquivalentTo(49))
	})

	It("finishes the run after its caller has gone, and answers the resend", func() {
		ctx, leave := context.WithCancel(context.Background())
		release := make(chan struct{})
		result := guard.Do(ctx, order, view, func(runCtx context.Context, _ types.Revision) once.Outcome {
			leave()
			<-release
			if runCtx.Err() != nil {
				return once.Outcome{}
			}
			return answered("order 17")
		})
		Expect(result.Failure.Code).To(Equal(types.CodeInProgress))
		Expect(result.Failure.Verdict).To(Equal(types.MayHaveRun))
		close(release)
		guard.Wait()
		Expect(guard.InFlight()).To(BeZero())
		resend := guard.Do(context.Background(), order, view, nil)
		Expect(resend.Response.Body).To(BeEquivalentTo("order 17"))
		Expect(resend.Replayed).To(BeTrue())
	})

	It("takes a panic as may-have-run and does not run again", func() {
		run := func(context.Context, types.Revision) once.Outcome { panic("boom") }
		first := guard.Do(context.Background(), order, view, run)
		Expect(first.Failure.Verdict).To(Equal(types.MayHaveRun))
		second := guard.Do(context.Background(), order, view, nil)
		Expect(second.Failure.Verdict).To(Equal(types.MayHaveRun))
	})

	It("hands out a ticket that works with the refusal of a key without one", func() {
		refused := guard.Do(context.Background(), orderWith("order-17"), view, nil).Failure
		Expect(refused.Code).To(Equal(types.CodeTicketRequired))
		Expect(refused.Verdict).To(Equal(types.NotRun))
		Expect(refused.Entries).To(Equal([]types.VMID{self.VM}))
		result := guard.Do(context.Background(), orderWith(refused.Ticket), view,
			func(context.Context, types.Revision) once.Outcome { return answered("order 17") })
		Expect(result.Response.Body).To(BeEquivalentTo("order 17"))
	})

	It("gives the first caller an answer that is too large to remember", func() {
		large := string(bytes.Repeat([]byte("x"), once.DefaultMaxResponseBytes))
		run := func(context.Context, types.Revision) once.Outcome { return answered(large) }
		Expect(guard.Do(context.Background(), order, view, run).Response.Body).To(HaveLen(len(large)))
		Expect(guard.Do(context.Background(), order, view, nil).Failure.Code).To(Equal(types.CodeAnswerForgotten))
	})

	It("ends a run at the request's deadline", func() {
		order.Deadline = time.Now().Add(-time.Second)
		result := guard.Do(context.Background(), order, view, func(ctx context.Context, _ types.Revision) once.Outcome {
			<-ctx.Done()
			failure := types.NewFailure(types.MayHaveRun, types.CodeDeadline, "too late")
			return once.Outcome{Verdict: types.MayHaveRun, Failure: failure}
		})
		Expect(result.Failure.Code).To(Equal(types.CodeDeadline))
	})
})
