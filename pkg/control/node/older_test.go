package node_test

import (
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

var _ = It("replies to a daemon of an older version, whose messages lack all optional fields, and lists it as alive", func() {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	self := snapshot.Self{Incarnation: types.Incarnation{VM: "10.0.0.1:7", Boot: "a"}, Region: "pokhara", DataCentre: "p1"}
	n := node.New(node.Options{Self: self, Rand: rand.New(rand.NewPCG(1, 2))}, start)
	listing := platform.VMListing{Version: 1, VMs: []platform.VM{
		{Role: platform.RoleEntry, Region: "pokhara", DataCentre: "p1", Peer: "10.0.0.1:7", Address: "10.0.0.1:8"},
		{Role: platform.RoleEntry, Region: "pokhara", DataCentre: "p1", Peer: "10.0.0.2:7", Address: "10.0.0.2:8"},
	}}
	n.Handle(event.ListRead{At: start, StartedAt: start, Listing: listing})
	old := types.Incarnation{VM: "10.0.0.2:7", Boot: "old"}
	out := n.Handle(event.PeerMessage{At: start, Message: &peer.Message{
		From: old, Region: "pokhara", DataCentre: "p1", To: self.Incarnation.VM, SentAt: start.UnixMilli(), Beat: 1,
	}})
	Expect(out.Reply).NotTo(BeNil())
	Expect(out.Reply.To).To(Equal(old.VM))
	members := n.Snapshot().Members
	Expect(members).To(HaveLen(1))
	Expect(members[0].Incarnation).To(Equal(old))
	Expect(members[0].State).To(Equal(snapshot.MemberAlive))
})
