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
	keyring, err := ticket.NewKeyring(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), ticket.MinSecretBytes)})
	Expect(err).NotTo(HaveOccurred())
	return onceguard.New(onceguard.Options{Self: self, Keyring: keyring})
}

func requestWithKey(key string) *request.Request {
	return &request.Request{
		Service: &published.Service{Name: "orders", Regions: []types.Region{"kathmandu"}},
		Org:     &published.Organisation{Name: "coop"}, Key: key, Method: "POST", Body: []byte("10 liners"),
	}
}

func ranOutcome(body string) once.Outcome {
	return once.Outcome{Verdict: types.Ran, Response: &once.Response{Status: 201, Body: []byte(body)}}
}

var _ = Describe("Guard", func() {
	var guard *onceguard.Guard
	var req *request.Request
	BeforeEach(func() {
		guard = newGuard()
		key, err := guard.Ticket("coop", self, 3)
		Expect(err).NotTo(HaveOccurred())
		req = requestWithKey(key)
	})

	It("runs once for many concurrent callers and gives all of them the response", func() {
		var runs, replays atomic.Int32
		run := func(_ context.Context, floor types.Revision) once.Outcome {
			runs.Add(1)
			Expect(floor).To(BeEquivalentTo(3))
			return ranOutcome("order 17")
		}
		var callers conc.WaitGroup
		for range 50 {
			callers.Go(func() {
				result := guard.Do(context.Background(), req, view, run)
				if string(result.Response.Body) == "order 17" && result.Replayed {
					replays.Add(1)
				}
			})
		}
		callers.Wait()
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(replays.Load()).To(BeEquivalentTo(49))
	})

	It("finishes the run after its caller has disconnected, and replays the response to the resend", func() {
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		result := guard.Do(ctx, req, view, func(runCtx context.Context, _ types.Revision) once.Outcome {
			cancel()
			<-release
			if runCtx.Err() != nil {
				return once.Outcome{}
			}
			return ranOutcome("order 17")
		})
		Expect(result.Failure.Code).To(Equal(types.CodeInProgress))
		Expect(result.Failure.Verdict).To(Equal(types.MayHaveRun))
		close(release)
		guard.Wait()
		Expect(guard.InFlight()).To(BeZero())
		resend := guard.Do(context.Background(), req, view, nil)
		Expect(resend.Response.Body).To(BeEquivalentTo("order 17"))
		Expect(resend.Replayed).To(BeTrue())
	})

	// Guards against a process that exceeds its memory by callers that leave: the run goes on.
	It("holds the memory of the body until the run has ended, also after its caller has disconnected", func() {
		var held atomic.Int32
		req.HoldBody = func() func() {
			held.Add(1)
			return func() { held.Add(-1) }
		}
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		guard.Do(ctx, req, view, func(context.Context, types.Revision) once.Outcome {
			cancel()
			<-release
			return ranOutcome("order 17")
		})
		Expect(held.Load()).To(BeEquivalentTo(1))
		close(release)
		guard.Wait()
		Expect(held.Load()).To(BeZero())
		guard.Do(context.Background(), req, view, nil)
		Expect(held.Load()).To(BeZero(), "a replay runs nothing")
	})

	It("records a panic as may-have-run and does not run again", func() {
		run := func(context.Context, types.Revision) once.Outcome { panic("boom") }
		first := guard.Do(context.Background(), req, view, run)
		Expect(first.Failure.Verdict).To(Equal(types.MayHaveRun))
		second := guard.Do(context.Background(), req, view, nil)
		Expect(second.Failure.Verdict).To(Equal(types.MayHaveRun))
	})

	It("refuses a key that is not a ticket and returns a usable ticket", func() {
		refused := guard.Do(context.Background(), requestWithKey("order-17"), view, nil).Failure
		Expect(refused.Code).To(Equal(types.CodeTicketRequired))
		Expect(refused.Verdict).To(Equal(types.NotRun))
		Expect(refused.Entries).To(Equal([]types.VMID{self.VM}))
		result := guard.Do(context.Background(), requestWithKey(refused.Ticket), view,
			func(context.Context, types.Revision) once.Outcome { return ranOutcome("order 17") })
		Expect(result.Response.Body).To(BeEquivalentTo("order 17"))
	})

	It("returns a response that is too large to store to the first caller only", func() {
		large := string(bytes.Repeat([]byte("x"), once.DefaultMaxResponseBytes))
		run := func(context.Context, types.Revision) once.Outcome { return ranOutcome(large) }
		Expect(guard.Do(context.Background(), req, view, run).Response.Body).To(HaveLen(len(large)))
		Expect(guard.Do(context.Background(), req, view, nil).Failure.Code).To(Equal(types.CodeAnswerForgotten))
	})

	It("ends a run at the request's deadline", func() {
		req.Deadline = time.Now().Add(-time.Second)
		result := guard.Do(context.Background(), req, view, func(ctx context.Context, _ types.Revision) once.Outcome {
			<-ctx.Done()
			failure := types.NewFailure(types.MayHaveRun, types.CodeDeadline, "too late")
			return once.Outcome{Verdict: types.MayHaveRun, Failure: failure}
		})
		Expect(result.Failure.Code).To(Equal(types.CodeDeadline))
	})
})
