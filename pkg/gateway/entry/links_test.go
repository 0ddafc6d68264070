package entry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/mixedconfig"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
)

// linkQueue is the link of one daemon: what comes waits for what is being sent.
type linkQueue struct {
	bytesPerSecond float64
	freeAt         time.Duration
}

// deliver returns when a number of bytes that come at a time have passed the link.
func (q *linkQueue) deliver(bytes float64, at time.Duration) time.Duration {
	q.freeAt = max(q.freeAt, at) + time.Duration(bytes/q.bytesPerSecond*float64(time.Second))
	return q.freeAt
}

var _ = Describe("A data centre whose daemons have links of different sizes", func() {
	const (
		large, small           = 200, 10 // megabits per second
		largeCount, smallCount = 2, 14
	)
	lookup := entry.Lookup{Host: fleetHost, Region: "north", DataCentre: "north-a"}
	// snapshot has the first daemon's view; the numbers of megabits are zero if links are
	// not told.
	snapshot := func(largeLink, smallLink int) *control.Snapshot {
		var daemons []members.Member
		for number := range largeCount + smallCount {
			daemon := servingMember(fmt.Sprintf("north-%d", number), "north", "north-a")
			if daemon.LinkMegabits = smallLink; number < largeCount {
				daemon.LinkMegabits = largeLink
			}
			daemons = append(daemons, daemon)
		}
		return &control.Snapshot{Self: daemons[0], Members: daemons[1:], View: &catalog.View{Config: mixedconfig.New()}}
	}
	addressesOf := func(snap *control.Snapshot) []string {
		return entry.Directory{Grace: stopGrace}.Answer(snap, lookup, nil, time.Now()).Addresses
	}

	// inTime plays 800 requests a second from callers that use the addresses of an answer at
	// random, one in ten a long prompt of 17 KB in the mean, for 20 s. It returns the share
	// that has passed the link of its daemon within 100 ms.
	inTime := func(addresses []string, links map[string]*linkQueue) float64 {
		const perSecond, seconds, within = 800, 20, 100 * time.Millisecond
		random := rand.New(rand.NewPCG(78, 1))
		passed := 0
		for request := range perSecond * seconds {
			at := time.Duration(request) * time.Second / perSecond
			bytes := 800.0
			if random.IntN(10) == 0 {
				bytes = 17_000 * random.ExpFloat64()
			}
			if links[addresses[random.IntN(len(addresses))]].deliver(bytes, at)-at <= within {
				passed++
			}
		}
		return float64(passed) / (perSecond * seconds)
	}

	It("serves a burst of long prompts by those with large links", func() {
		// Each byte passes the link four times: to the daemon, over a hop, to the engine.
		const passes = 4
		linksOf := func(snap *control.Snapshot) map[string]*linkQueue {
			links := make(map[string]*linkQueue)
			for number, member := range append([]members.Member{snap.Self}, snap.Members...) {
				megabits := small
				if number < largeCount {
					megabits = large
				}
				links[member.CallerAddress] = &linkQueue{bytesPerSecond: float64(megabits) * 1e6 / 8 / passes}
			}
			return links
		}
		told, untold := snapshot(large, small), snapshot(0, 0)
		Expect(inTime(addressesOf(untold), linksOf(untold))).To(BeNumerically("<", 0.9))
		Expect(inTime(addressesOf(told), linksOf(told))).To(BeNumerically(">", 0.999))
	})

	It("leads callers to all daemons once too few large ones are left", func() {
		snap := snapshot(large, small)
		Expect(addressesOf(snap)).To(HaveLen(largeCount))
		By("one leaves")
		snap.Members[0].State = members.Leaving
		Expect(addressesOf(snap)).To(HaveLen(1 + smallCount))
		By("one is lost")
		snap = snapshot(large, small)
		snap.Members = snap.Members[1:]
		Expect(addressesOf(snap)).To(HaveLen(1 + smallCount))
	})

	It("leads callers as before where the configuration has no short urgent work beside long work", func() {
		snap := snapshot(large, small)
		snap.View.Config = &catalog.Config{Version: 1}
		Expect(addressesOf(snap)).To(HaveLen(largeCount + smallCount))
	})

	It("leads callers as before where all links are equal or none is known", func() {
		Expect(addressesOf(snapshot(small, small))).To(HaveLen(largeCount + smallCount))
		Expect(addressesOf(snapshot(0, 0))).To(HaveLen(largeCount + smallCount))
	})
})
