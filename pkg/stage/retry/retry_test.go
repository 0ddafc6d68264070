package retry_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestRetry(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var start = time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC)

const share = 0.1

func newRequest(content byte) *request.Request {
	return &request.Request{
		Service: &published.Service{Name: "quotes"}, Org: &published.Organisation{Name: "bagmati"},
		Rank: types.RankUrgent, Repeatable: true, Deadline: start.Add(10 * time.Second),
		Fingerprint: request.Fingerprint{content},
	}
}

func newFailure(verdict types.Verdict, code types.Code) *types.Failure {
	return types.NewFailure(verdict, code, "test")
}

func input(req *request.Request, failure *types.Failure) retry.Input {
	return retry.Input{
		Request: req, Failure: failure, History: failure.Verdict, Attempts: 1,
		Now: start, Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

func policyWithBudget() *retry.Policy {
	policy := retry.New(retry.Options{})
	for range 100 {
		policy.RecordRequest(newRequest(0), share, start)
	}
	return policy
}

var _ = Describe("Decide", func() {
	DescribeTable("follows the merged verdict of all attempts",
		func(change func(*retry.Input), want bool) {
			in := input(newRequest(1), newFailure(types.MayHaveRun, types.CodeEndpointFailed))
			change(&in)
			Expect(policyWithBudget().Decide(in).ShouldRetry).To(Equal(want))
		},
		Entry("a repeatable request that may have run", func(*retry.Input) {}, true),
		Entry("a non-repeatable request that may have run", func(in *retry.Input) { in.Request.Repeatable = false }, false),
		Entry("a non-repeatable request that was not run", func(in *retry.Input) {
			in.Request.Repeatable = false
			in.History = types.NotRun
		}, true),
		Entry("a non-repeatable request whose earlier attempt may have run", func(in *retry.Input) {
			in.Request.Repeatable = false
			in.Failure = newFailure(types.NotRun, types.CodeOverloaded)
			in.History, in.Attempts = types.MayHaveRun, 2
		}, false),
		Entry("a caller that has received part of the response", func(in *retry.Input) { in.ResponseStarted = true }, false),
		Entry("a request that ran", func(in *retry.Input) { in.History = types.Ran }, false),
		Entry("a forwarded request", func(in *retry.Input) { in.Request.Path = []types.Incarnation{{VM: "a"}} }, false),
		Entry("a resend by the caller", func(in *retry.Input) { in.Resend = true }, false),
		Entry("a quarantined request", func(in *retry.Input) { in.Failure.Code = types.CodeQuarantined }, false),
		Entry("three attempts made", func(in *retry.Input) { in.Attempts = 3 }, false),
		Entry("too little time left", func(in *retry.Input) { in.Expected = 11 * time.Second }, false),
		Entry("a retry-after past the deadline", func(in *retry.Input) { in.Failure.RetryAfter = time.Minute }, false),
	)

	It("reroutes once, without budget, when a draining endpoint refuses", func() {
		policy := retry.New(retry.Options{})
		in := input(newRequest(1), newFailure(types.NotRun, types.CodeDraining))
		in.Request.Path = []types.Incarnation{{VM: "a"}}
		Expect(policy.Decide(in).ShouldRetry).To(BeTrue())
		in.Attempts = 2
		Expect(policy.Decide(in).ShouldRetry).To(BeFalse())
	})

	It("detects a resend by its content or by the client's retry-count header", func() {
		policy := retry.New(retry.Options{})
		req := newRequest(7)
		Expect(policy.RecordRequest(req, share, start)).To(BeFalse())
		policy.RecordFailure(req, start)
		Expect(policy.RecordRequest(req, share, start.Add(time.Second))).To(BeTrue())
		Expect(policy.RecordRequest(req, share, start.Add(time.Minute))).To(BeFalse())

		marked := newRequest(8)
		marked.Header = request.Header{types.HeaderRetryCount: {"1"}}
		Expect(policy.RecordRequest(marked, share, start)).To(BeTrue())
	})

	It("reroutes once, without budget, when an endpoint can't be reached", func() {
		in := input(newRequest(1), newFailure(types.NotRun, types.CodeUnreachable))
		policy := retry.New(retry.Options{})
		Expect(policy.Decide(in).ShouldRetry).To(BeTrue())
		in.Attempts = 2
		Expect(policy.Decide(in).ShouldRetry).To(BeFalse())
	})

	It("allows a daemon that has just started to retry its first request", func() {
		policy := retry.New(retry.Options{})
		req := newRequest(1)
		policy.RecordRequest(req, share, start)
		Expect(policy.Decide(input(req, newFailure(types.MayHaveRun, types.CodeEndpointFailed))).ShouldRetry).To(BeTrue())
	})

	It("never exceeds the budgeted share of offered requests, whatever fails", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			policy := retry.New(retry.Options{})
			latencies := retry.NewLatencies()
			for range 100 {
				latencies.Add(100 * time.Millisecond)
			}
			offered, extra := 0, 0
			steps := rapid.IntRange(1, 400).Draw(t, "steps")
			for i := range steps {
				req := newRequest(byte(rapid.IntRange(0, 255).Draw(t, "content")))
				req.Repeatable = rapid.Bool().Draw(t, "repeatable")
				now := start.Add(time.Duration(i) * time.Millisecond)
				resend := policy.RecordRequest(req, share, now)
				if !resend {
					offered++
				}
				if _, hedge := policy.HedgeDelay(req, resend, latencies, now); hedge && policy.AllowHedge(req.Service.Name) {
					extra++
				}
				in := input(req, newFailure(types.NotRun, types.CodeEndpointFailed))
				in.Resend, in.Now = resend, now
				for policy.Decide(in).ShouldRetry {
					extra++
					in.Attempts++
				}
				policy.RecordFailure(req, now)
			}
			if float64(extra) > share*float64(offered+retry.StartCredit) {
				t.Fatalf("%d extra attempts over %d offered", extra, offered)
			}
		})
	})
})

var _ = Describe("HedgeDelay", func() {
	sampledLatencies := func() *retry.Latencies {
		latencies := retry.NewLatencies()
		for i := range 100 {
			latencies.Add(time.Duration(i+1) * 10 * time.Millisecond)
		}
		return latencies
	}

	It("waits for the 95th percentile", func() {
		delay, ok := retry.New(retry.Options{}).HedgeDelay(newRequest(1), false, sampledLatencies(), start)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 950*time.Millisecond, 10*time.Millisecond))
	})

	DescribeTable("does not hedge",
		func(change func(*request.Request), resend bool, latencies func() *retry.Latencies) {
			req := newRequest(1)
			change(req)
			_, ok := retry.New(retry.Options{}).HedgeDelay(req, resend, latencies(), start)
			Expect(ok).To(BeFalse())
		},
		Entry("non-repeatable requests", func(r *request.Request) { r.Repeatable = false }, false, sampledLatencies),
		Entry("patient requests", func(r *request.Request) { r.Rank = types.RankPatient }, false, sampledLatencies),
		Entry("forwarded requests", func(r *request.Request) { r.Path = []types.Incarnation{{VM: "a"}} }, false, sampledLatencies),
		Entry("resends", func(*request.Request) {}, true, sampledLatencies),
		Entry("requests with little time left", func(r *request.Request) { r.Deadline = start.Add(time.Second) }, false, sampledLatencies),
		Entry("with too few latency samples", func(*request.Request) {}, false, retry.NewLatencies),
	)
})

func BenchmarkDecide(b *testing.B) {
	policy := retry.New(retry.Options{})
	req := newRequest(1)
	in := input(req, newFailure(types.NotRun, types.CodeEndpointFailed))
	for b.Loop() {
		policy.RecordRequest(req, 1, start)
		policy.Decide(in)
	}
}
