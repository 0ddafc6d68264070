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

// All times are of the fake network's clock.
const (
	warmUp   = 30 * time.Second
	settling = 5 * time.Second
	toReact  = 15 * time.Second
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

	// publishPastStale brings a newer revision to every daemon, and then makes
	// the service show the older one again.
	publishPastStale := func() types.Revision {
		n.Config.SetStale(false)
		old := n.Config.Freeze()
		newest := n.Config.Publish()
		n.Run(toReact)
		Expect(n.Checker().Converged()).To(Succeed())
		n.Config.Thaw(old)
		return newest
	}

	It("before a stale service takes the newer revision of its peers", func() {
		newest := publishPastStale()
		d := n.Daemons[0]
		d.Start()
		n.Run(toReact)
		Expect(d.InForce()).To(Equal(newest))
	})

	It("before a stale service takes it from other regions when its own restarts as a whole", func() {
		newest := publishPastStale()
		for _, d := range n.Daemons[:3] {
			d.Start()
		}
		n.Run(toReact)
		for _, d := range n.Daemons[:3] {
			Expect(d.InForce()).To(Equal(newest))
		}
	})

	It("before a dead service takes the configuration of its peers", func() {
		n.Config.Down = true
		d := n.Daemons[4]
		d.Start()
		n.Run(toReact)
		Expect(d.InForce()).To(Equal(n.Config.Latest()))
	})

	It("is not ready before the settling time is over when nobody answers", func() {
		n.Config.SetStale(false)
		for _, d := range n.Daemons[1:] {
			d.Stop()
		}
		d := n.Daemons[0]
		d.Start()
		n.Run(settling - time.Second)
		Expect(d.InForce()).To(BeZero())
		n.Run(toReact)
		Expect(d.InForce()).To(Equal(n.Config.Latest()))
	})
})

var _ = Describe("An isolated region", func() {
	It("keeps serving, also after one of its daemons has restarted, and catches up", func() {
		n := network(8)
		region := n.Daemons[0].Region
		n.CutRegion(region, true)
		n.Config.Down = true
		n.Run(toReact)
		n.Daemons[0].Start()
		n.Run(toReact)
		for _, d := range n.Daemons[:3] {
			Expect(d.InForce()).To(Equal(n.Config.Latest()))
			Expect(fakenet.Names(d, d.VM)).To(BeTrue())
		}
		n.CutRegion(region, false)
		n.Config.Down = false
		n.Config.Publish()
		n.Run(2 * toReact)
		Expect(n.Checker().Converged()).To(Succeed())
		Expect(n.Failure()).NotTo(HaveOccurred())
	})
})

var _ = Describe("One revision with two contents", func() {
	It("is refused loudly and changes nothing", func() {
		n := network(8)
		before := hashes(n)
		n.Config.PublishConflict()
		n.Run(toReact)
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
	It("counts as paused from its first event after the pause until it is up to date", func() {
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
		n.Run(toReact)
		Expect(d.Snapshot().Paused).To(BeFalse())
		Expect(d.InForce()).To(Equal(newest))
	})

	It("serves again after a bounded time when it is alone", func() {
		n := network(8)
		for _, other := range n.Daemons[1:] {
			other.Stop()
		}
		d := n.Daemons[0]
		d.Pause(10 * time.Second)
		n.Run(10*time.Second + settling + toReact)
		Expect(d.Snapshot().Paused).To(BeFalse())
	})
})

var _ = Describe("An endpoint that says that it leaves", func() {
	It("is leaving within 3 s for every daemon of the region that was told", func() {
		n := network(24)
		told := n.Daemons[0]
		e := told.Snapshot().Endpoints["model-0"][0]
		told.Submit(event.AttemptFinished{At: n.Now(), Endpoint: e.ID, Service: e.Service, Leaving: true, Connected: true})
		Expect(stateAt(told, e)).To(Equal(snapshot.EndpointLeaving), "at once where it was seen")
		n.Run(3 * time.Second)
		for _, d := range n.Daemons {
			if d.Region == told.Region {
				Expect(stateAt(d, e)).To(Equal(snapshot.EndpointLeaving), string(d.VM))
			}
		}
	})
})

func stateAt(d *fakenet.Daemon, e *snapshot.Endpoint) snapshot.EndpointState {
	for _, other := range d.Snapshot().Endpoints[e.Service] {
		if other.ID == e.ID {
			return other.State
		}
	}
	return snapshot.EndpointGone
}

var _ = Describe("A daemon that nobody else can reach, but that reaches others", func() {
	It("does not flap in and out of the answers", func() {
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
	reads := func(daemons int, act func(*fakenet.Network)) float64 {
		n := network(daemons)
		act(n)
		const length = 60
		before := n.Config.Reads
		n.Run(length * time.Second)
		return float64(n.Config.Reads-before) / length
	}

	It("grow with the data centres, not with the daemons", func() {
		quiet := func(*fakenet.Network) {}
		Expect(reads(24, quiet)).To(BeNumerically("<=", reads(8, quiet)*1.2))
	})

	It("stay bounded when every daemon is cut off from every other", func() {
		perDaemon := reads(24, func(n *fakenet.Network) {
			n.SetLoss(1)
		}) / 24
		Expect(perDaemon).To(BeNumerically(">", 0), "everyone falls back to reading")
		// 360 daemons must stay under 200 reads a second.
		Expect(perDaemon).To(BeNumerically("<", 200.0/360))
	})
})
