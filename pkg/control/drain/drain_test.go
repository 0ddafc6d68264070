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

func at(after time.Duration) time.Time { return start.Add(after) }

var _ = Describe("Daemon", func() {
	options := drain.Options{AnnouncePeriod: 2 * time.Second, TicketWindow: 5 * time.Second, Limit: time.Minute}

	It("announces, refuses new work, waits for requests and tickets, then stops", func() {
		d := drain.NewDaemon(options)
		Expect(d.Step(at(0), 3)).To(Equal(drain.Serving))
		d.Signal(at(0))
		Expect(d.Step(at(time.Second), 0)).To(Equal(drain.Announced), "callers still hold an older entry answer")
		Expect(d.Step(at(2*time.Second), 0)).To(Equal(drain.Finishing), "tickets are outstanding")
		Expect(d.Step(at(6*time.Second), 1)).To(Equal(drain.Finishing), "a request is in flight")
		Expect(d.Step(at(7*time.Second), 0)).To(Equal(drain.Stopped))
		Expect(d.Cause()).To(Equal(drain.CauseFinished))
	})

	It("ends at the published limit, and at once on a second signal", func() {
		limited := drain.NewDaemon(options)
		limited.SetLimit(10 * time.Second)
		limited.Signal(at(0))
		Expect(limited.Step(at(10*time.Second), 1)).To(Equal(drain.Stopped))
		Expect(limited.Cause()).To(Equal(drain.CauseLimit))

		forced := drain.NewDaemon(options)
		forced.Signal(at(0))
		forced.Signal(at(time.Second))
		Expect(forced.Step(at(time.Second), 1)).To(Equal(drain.Stopped))
		Expect(forced.Cause()).To(Equal(drain.CauseForced))
	})

	It("begins when the VM list says so and is not ended by a list that takes it back", func() {
		d := drain.NewDaemon(options)
		d.UpdateListing(at(0), false)
		Expect(d.Phase()).To(Equal(drain.Serving))
		d.UpdateListing(at(0), true)
		d.UpdateListing(at(time.Second), true)
		d.UpdateListing(at(time.Second), false)
		Expect(d.Phase()).To(Equal(drain.Announced))
	})

	It("never goes back and never stops by itself with requests in flight before the limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := drain.NewDaemon(options)
			d.Signal(at(0))
			elapsed, phase := time.Duration(0), d.Phase()
			for range 30 {
				elapsed += time.Duration(rapid.IntRange(-500, 3000).Draw(t, "ms")) * time.Millisecond
				inFlight := rapid.IntRange(0, 2).Draw(t, "in flight")
				next := d.Step(at(elapsed), inFlight)
				if next < phase {
					t.Fatalf("went back from %s to %s", phase, next)
				}
				if next == drain.Stopped && phase != drain.Stopped && inFlight > 0 && elapsed < options.Limit {
					t.Fatalf("stopped with %d in flight after %s", inFlight, elapsed)
				}
				phase = next
			}
		})
	})
})
