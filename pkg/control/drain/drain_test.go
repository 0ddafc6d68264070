package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/control/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func afterStart(after time.Duration) time.Time { return start.Add(after) }

var _ = Describe("Daemon", func() {
	options := drain.Options{AnnouncePeriod: 2 * time.Second, TicketWindow: 5 * time.Second, Limit: time.Minute}

	It("announces, refuses new work, waits for requests and tickets, then stops", func() {
		d := drain.NewDaemon(options)
		Expect(d.Step(afterStart(0), 3)).To(Equal(drain.Serving))
		d.Signal(afterStart(0))
		Expect(d.Step(afterStart(time.Second), 0)).To(Equal(drain.Announced), "callers still hold an older entry response")
		Expect(d.Step(afterStart(2*time.Second), 0)).To(Equal(drain.Finishing), "tickets are outstanding")
		Expect(d.Step(afterStart(6*time.Second), 1)).To(Equal(drain.Finishing), "a request is in flight")
		Expect(d.Step(afterStart(7*time.Second), 0)).To(Equal(drain.Stopped))
		Expect(d.Cause()).To(Equal(drain.CauseFinished))
	})

	// Guards against requests that are taken until the limit and cut off by it, when an
	// operator publishes a limit below the notice.
	It("bounds the notice by the limit", func() {
		d := drain.NewDaemon(options)
		d.SetLimit(2 * time.Second)
		d.Signal(afterStart(0))
		Expect(d.Step(afterStart(600*time.Millisecond), 1)).To(Equal(drain.Announced))
		Expect(d.Step(afterStart(800*time.Millisecond), 1)).To(Equal(drain.Finishing))
	})

	It("ends at the published limit, and at once on a second signal", func() {
		limited := drain.NewDaemon(options)
		limited.SetLimit(10 * time.Second)
		limited.Signal(afterStart(0))
		Expect(limited.Step(afterStart(10*time.Second), 1)).To(Equal(drain.Stopped))
		Expect(limited.Cause()).To(Equal(drain.CauseLimit))

		forced := drain.NewDaemon(options)
		forced.Signal(afterStart(0))
		forced.Signal(afterStart(time.Second))
		Expect(forced.Step(afterStart(time.Second), 1)).To(Equal(drain.Stopped))
		Expect(forced.Cause()).To(Equal(drain.CauseForced))
	})

	It("never returns to an earlier phase and never stops on its own with requests in flight before the limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := drain.NewDaemon(options)
			d.Signal(afterStart(0))
			elapsed, phase := time.Duration(0), d.Phase()
			for range 30 {
				elapsed += time.Duration(rapid.IntRange(-500, 3000).Draw(t, "ms")) * time.Millisecond
				inFlight := rapid.IntRange(0, 2).Draw(t, "in flight")
				next := d.Step(afterStart(elapsed), inFlight)
				if next < phase {
					t.Fatalf("phase went back from %s to %s", phase, next)
				}
				if next == drain.Stopped && phase != drain.Stopped && inFlight > 0 && elapsed < options.Limit {
					t.Fatalf("stopped with %d requests in flight after %s", inFlight, elapsed)
				}
				phase = next
			}
		})
	})
})
