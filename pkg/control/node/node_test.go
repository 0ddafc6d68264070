package node_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/fakenet"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// All durations are in the fake network's simulated time.
const (
	warmUp       = 30 * time.Second
	settling     = 5 * time.Second
	reactionTime = 15 * time.Second
)

func network(daemons int) *fakenet.Network {
	n := fakenet.New(fakenet.Options{
		Seed: 1, Layout: fakenet.StandardLayout(daemons), Jitter: 20 * time.Millisecond,
		ListLag: 5 * time.Second, Endpoints: 24,
	})
	n.Run(warmUp)
	Expect(n.Checker().Converged()).To(Succeed())
	return n
}

var _ = Describe("A fresh daemon", func() {
	var n *fakenet.Network
	BeforeEach(func() {
		n = network(8)
		n.Config.SetStale(true)
	})
	AfterEach(func() { Expect(n.Failure()).NotTo(HaveOccurred()) })

	// publishPastStale publishes a newer revision, waits until every daemon has it,
	// and then makes the configuration service return the older one again.
	publishPastStale := func() types.Revision {
		n.Config.SetStale(false)
		old := n.Config.Freeze()
		newest := n.Config.Publish()
		n.Run(reactionTime)
		Expect(n.Checker().Converged()).To(Succeed())
		n.Config.Thaw(old)
		return newest
	}

	It("adopts the newer revision of its peers when the configuration service is stale", func() {
		newest := publishPastStale()
		d := n.Daemons[0]
		d.Start()
		n.Run(reactionTime)
		Expect(d.InForce()).To(Equal(newest))
	})

	It("adopts the newer revision of other regions when the service is stale and its whole region restarts", func() {
		newest := publishPastStale()
		for _, d := range n.Daemons[:3] {
			d.Start()
		}
		n.Run(reactionTime)
		for _, d := range n.Daemons[:3] {
			Expect(d.InForce()).To(Equal(newest))
		}
	})

	It("adopts the configuration of its peers when the configuration service is down", func() {
		n.Config.Down = true
		d := n.Daemons[4]
		d.Start()
		n.Run(reactionTime)
		Expect(d.InForce()).To(Equal(n.Config.Latest()))
	})

	It("has no configuration in force before the settling time is over when no peer answers", func() {
		n.Config.SetStale(false)
		for _, d := range n.Daemons[1:] {
			d.Stop()
		}
		d := n.Daemons[0]
		d.Start()
		n.Run(settling - time.Second)
		Expect(d.InForce()).To(BeZero())
		n.Run(reactionTime)
		Expect(d.InForce()).To(Equal(n.Config.Latest()))
	})
})

var _ = Describe("An isolated region", func() {
	It("keeps serving, even after a restart of one of its daemons, and catches up after the cut", func() {
		n := network(8)
		region := n.Daemons[0].Region
		n.CutRegion(region, true)
		n.Config.Down = true
		n.Run(reactionTime)
		n.Daemons[0].Start()
		n.Run(reactionTime)
		for _, d := range n.Daemons[:3] {
			Expect(d.InForce()).To(Equal(n.Config.Latest()))
			Expect(fakenet.Names(d, d.VM)).To(BeTrue())
		}
		n.CutRegion(region, false)
		n.Config.Down = false
		n.Config.Publish()
		n.Run(2 * reactionTime)
		Expect(n.Checker().Converged()).To(Succeed())
		Expect(n.Failure()).NotTo(HaveOccurred())
	})
})

var _ = Describe("A revision that is published with two different contents", func() {
	It("is rejected with an alarm and changes nothing", func() {
		n := network(8)
		before := hashes(n)
		n.Config.PublishConflict()
		n.Run(reactionTime)
		Expect(hashes(n)).To(Equal(before))
		alarms := 0
		for _, d := range n.Daemons {
			alarms += d.Stats.Alarms
		}
		Expect(alarms).To(BeNumerically(">", 0))
		Expect(n.Failure()).NotTo(HaveOccurred())
	})
})

func hashes(n *fakenet.Network) []string {
	var out []string
	for _, d := range n.Daemons {
		out = append(out, d.Snapshot().Config.Hash)
	}
	return out
}

var _ = Describe("A paused daemon", func() {
	It("is marked as paused from its first event after the pause until it is up to date", func() {
		n := network(8)
		d := n.Daemons[2]
		d.Pause(20 * time.Second)
		n.Run(10 * time.Second)
		newest := n.Config.Publish()
		end := n.Now().Add(10 * time.Second)
		n.Run(10*time.Second - time.Millisecond)
		for !n.Now().After(end) || n.Now().Sub(end) < time.Millisecond {
			Expect(n.Step()).To(BeTrue())
		}
		Expect(d.Snapshot().Paused).To(BeTrue())
		n.Run(reactionTime)
		Expect(d.Snapshot().Paused).To(BeFalse())
		Expect(d.InForce()).To(Equal(newest))
	})

	It("serves again after a bounded time when no other daemon runs", func() {
		n := network(8)
		for _, other := range n.Daemons[1:] {
			other.Stop()
		}
		d := n.Daemons[0]
		d.Pause(10 * time.Second)
		n.Run(10*time.Second + settling + reactionTime)
		Expect(d.Snapshot().Paused).To(BeFalse())
	})
})

var _ = Describe("An endpoint that announces that it is leaving", func() {
	It("is marked as leaving within 3 s by every daemon in the region of the one that learned of it", func() {
		n := network(24)
		observer := n.Daemons[0]
		ep := observer.Snapshot().Endpoints["model-0"][0]
		observer.Submit(event.AttemptFinished{At: n.Now(), Endpoint: ep.ID, Service: ep.Service, Leaving: true, Connected: true})
		Expect(stateOn(observer, ep)).To(Equal(snapshot.EndpointLeaving), "immediately on the daemon that received the announcement")
		n.Run(3 * time.Second)
		for _, d := range n.Daemons {
			if d.Region == observer.Region {
				Expect(stateOn(d, ep)).To(Equal(snapshot.EndpointLeaving), string(d.VM))
			}
		}
	})
})

func stateOn(d *fakenet.Daemon, ep *snapshot.Endpoint) snapshot.EndpointState {
	for _, other := range d.Snapshot().Endpoints[ep.Service] {
		if other.ID == ep.ID {
			return other.State
		}
	}
	return snapshot.EndpointGone
}

var _ = Describe("A daemon that one peer cannot reach but that can reach the others", func() {
	It("does not flap in and out of the list of entries", func() {
		n := network(8)
		d, other := n.Daemons[0], n.Daemons[1]
		n.Cut(other.VM, d.VM, true)
		changes, last := 0, true
		for range 600 {
			n.Run(100 * time.Millisecond)
			if now := fakenet.Names(other, d.VM); now != last {
				changes, last = changes+1, now
			}
		}
		Expect(changes).To(BeNumerically("<=", 6), "at most one suspicion and its refutation in 20 s")
	})
})

var _ = Describe("Reads of the configuration service", func() {
	reads := func(daemons int, disturb func(*fakenet.Network)) float64 {
		n := network(daemons)
		disturb(n)
		const seconds = 60
		before := n.Config.Reads
		n.Run(seconds * time.Second)
		return float64(n.Config.Reads-before) / seconds
	}

	It("scale with the number of data centres, not of daemons", func() {
		undisturbed := func(*fakenet.Network) {}
		Expect(reads(24, undisturbed)).To(BeNumerically("<=", reads(8, undisturbed)*1.2))
	})

	It("stay bounded when every daemon is cut off from all others", func() {
		perDaemon := reads(24, func(n *fakenet.Network) {
			n.SetLoss(1)
		}) / 24
		Expect(perDaemon).To(BeNumerically(">", 0), "each daemon falls back to its own reads")
		// 360 daemons must stay below 200 reads per second.
		Expect(perDaemon).To(BeNumerically("<", 200.0/360))
	})
})
