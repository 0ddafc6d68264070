package node_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("A daemon that is suspected before it has a VM list", func() {
	It("tells the others that it is alive once it has one", func() {
		start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		self := snapshot.Self{Incarnation: types.Incarnation{VM: "10.0.0.1:7", Boot: "a"}, Region: "pokhara", DataCentre: "p1"}
		var listing platform.VMListing
		listing.Version = 1
		for _, vm := range []types.VMID{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"} {
			listing.VMs = append(listing.VMs, platform.VM{Role: platform.RoleEntry, Region: "pokhara", DataCentre: "p1", Peer: vm, Address: string(vm) + "0"})
		}
		n := node.New(node.Options{Self: self, Rand: rand.New(rand.NewPCG(1, 2))}, start)
		n.Handle(event.PeerMessage{At: start, Reply: true, Message: &peer.Message{
			From: types.Incarnation{VM: "10.0.0.2:7", Boot: "b"}, Region: "pokhara", DataCentre: "p1", To: self.Incarnation.VM, Beat: 1,
			Members: []peer.MemberUpdate{{Incarnation: self.Incarnation, State: snapshot.MemberSuspect, Beat: 1}},
		}})
		n.Handle(event.ListRead{At: start, StartedAt: start, Listing: listing})
		told := 0
		for tick := range 20 {
			now := start.Add(time.Duration(tick+1) * node.TickInterval)
			for _, message := range n.Handle(event.Tick{Now: now, Wall: now}).Sends {
				for _, update := range message.Members {
					if update.Incarnation == self.Incarnation && update.State == snapshot.MemberAlive {
						told++
					}
				}
			}
		}
		Expect(told).To(BeNumerically(">=", 3))
	})
})

var _ = Describe("A daemon that is cut off from all others", func() {
	It("reads the VM list a quarter as often as a primary reader", func() {
		const daemons, interval = 5, 2 * time.Second
		start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		listing := platform.VMListing{Version: 1}
		for number := range daemons {
			vm := types.VMID(fmt.Sprintf("10.0.0.%d:7", number))
			listing.VMs = append(listing.VMs, platform.VM{Role: platform.RoleEntry, Region: "pokhara", DataCentre: "p1", Peer: vm, Address: string(vm) + "0"})
		}
		for _, vm := range listing.VMs {
			self := snapshot.Self{Incarnation: types.Incarnation{VM: vm.Peer, Boot: "a"}, Region: "pokhara", DataCentre: "p1"}
			n := node.New(node.Options{Self: self, Rand: rand.New(rand.NewPCG(1, 2)), ListInterval: interval}, start)
			n.Handle(event.ListRead{At: start, StartedAt: start, Listing: listing})
			const settled, observed = 30 * time.Second, 90 * time.Second
			reads := 0
			for now := start; now.Before(start.Add(settled + observed)); now = now.Add(node.TickInterval) {
				out := n.Handle(event.Tick{Now: now, Wall: now})
				for _, message := range out.Sends {
					n.Handle(event.PeerFailed{At: now, To: message.To})
				}
				if !out.ReadList {
					continue
				}
				n.Handle(event.ListFailed{At: now})
				if now.After(start.Add(settled)) {
					reads++
				}
			}
			// An interval is up to a quarter shorter than documented.
			Expect(reads).To(BeNumerically("<=", int(observed/(3*interval))), string(vm.Peer))
			Expect(reads).To(BeNumerically(">=", int(observed/(4*interval))-1), string(vm.Peer))
		}
	})
})
