package peer_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const (
	alice types.VMID = "10.0.0.1:7000"
	bob   types.VMID = "10.0.0.2:7000"
	carol types.VMID = "10.0.0.3:7000"
)

var (
	start  = time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC)
	keyOld = []byte("0123456789abcdef0123456789abcdef")
	keyNew = []byte("fedcba9876543210fedcba9876543210")
)

func newGuard(vm types.VMID, current peer.KeyID, ids ...peer.KeyID) *peer.Guard {
	keysByID := map[peer.KeyID][]byte{"old": keyOld, "new": keyNew}
	keys := peer.Keys{Current: current, Accepted: map[peer.KeyID][]byte{}}
	for _, id := range append(ids, current) {
		keys.Accepted[id] = keysByID[id]
	}
	return peer.NewGuard(vm, keys, start, 1)
}

func newMessage() *peer.Message {
	return &peer.Message{From: types.Incarnation{VM: alice, Boot: "a1"}, To: bob, Revision: 4}
}

func seal(g *peer.Guard, now time.Time, msg *peer.Message) peer.Sealed {
	sealed, err := g.Seal(now, peer.Request, 0, msg)
	Expect(err).NotTo(HaveOccurred())
	return sealed
}

var _ = Describe("A guard", func() {
	var sender, receiver *peer.Guard
	BeforeEach(func() { sender, receiver = newGuard(alice, "old"), newGuard(bob, "old") })

	open := func(now time.Time, sealed peer.Sealed) error {
		_, err := receiver.Open(now, peer.Request, 0, sealed)
		return err
	}

	It("accepts a message once", func() {
		sealed := seal(sender, start, newMessage())
		Expect(open(start, sealed)).To(Succeed())
		Expect(open(start, sealed)).To(MatchError(peer.ErrReplayed))
	})

	It("refuses a replay at any later time and after a restart of the receiver", func() {
		sealed := seal(sender, start, newMessage())
		Expect(open(start, sealed)).To(Succeed())
		for elapsed := time.Second; elapsed < 5*time.Minute; elapsed += time.Second {
			_ = open(start.Add(elapsed), seal(sender, start.Add(elapsed), newMessage()))
			Expect(open(start.Add(elapsed), sealed)).NotTo(Succeed(), elapsed.String())
		}
		restarted := peer.NewGuard(bob, peer.Keys{Current: "old", Accepted: map[peer.KeyID][]byte{"old": keyOld}}, start.Add(time.Second), 1)
		_, err := restarted.Open(start.Add(2*time.Second), peer.Request, 0, sealed)
		Expect(err).To(MatchError(peer.ErrTime))
	})

	It("refuses a message with any single byte changed", func() {
		sealed := seal(sender, start, newMessage())
		for i := range sealed.Body {
			changed := sealed
			changed.Body = append([]byte(nil), sealed.Body...)
			changed.Body[i] ^= 1
			Expect(open(start, changed)).To(MatchError(peer.ErrForged))
		}
	})

	It("refuses a message addressed to another VM", func() {
		_, err := newGuard(carol, "old").Open(start, peer.Request, 0, seal(sender, start, newMessage()))
		Expect(err).To(MatchError(peer.ErrReceiver))
	})

	It("refuses a reply sent as a request and a reply to another request", func() {
		reply, err := sender.Seal(start, peer.Reply, 7, newMessage())
		Expect(err).NotTo(HaveOccurred())
		Expect(open(start, reply)).To(MatchError(peer.ErrForged))
		_, err = receiver.Open(start, peer.Reply, 8, reply)
		Expect(err).To(MatchError(peer.ErrForged))
		_, err = receiver.Open(start, peer.Reply, 7, reply)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses messages outside the time window", func() {
		Expect(open(start.Add(31*time.Second), seal(sender, start, newMessage()))).To(MatchError(peer.ErrTime))
		Expect(open(start, seal(sender, start.Add(31*time.Second), newMessage()))).To(MatchError(peer.ErrTime))
	})

	It("accepts messages at each step of a key rotation", func() {
		steps := [][2]*peer.Guard{
			{newGuard(alice, "old"), newGuard(bob, "old", "new")},
			{newGuard(alice, "old", "new"), newGuard(bob, "old", "new")},
			{newGuard(alice, "new", "old"), newGuard(bob, "old", "new")},
			{newGuard(alice, "old", "new"), newGuard(bob, "new", "old")},
			{newGuard(alice, "new", "old"), newGuard(bob, "new")},
		}
		for _, step := range steps {
			_, err := step[1].Open(start, peer.Request, 0, seal(step[0], start, newMessage()))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := newGuard(bob, "new").Open(start, peer.Request, 0, seal(newGuard(alice, "old"), start, newMessage()))
		Expect(err).To(MatchError(peer.ErrForged))
	})

	It("refuses short keys and a current key that is not accepted", func() {
		Expect(peer.Keys{Current: "a", Accepted: map[peer.KeyID][]byte{"a": []byte("short")}}.Validate()).NotTo(Succeed())
		Expect(peer.Keys{Current: "b", Accepted: map[peer.KeyID][]byte{"a": keyOld}}.Validate()).NotTo(Succeed())
	})
})

var _ = Describe("A message", func() {
	It("of a newer version is decoded and its unknown fields are ignored", func() {
		var msg peer.Message
		Expect(json.Unmarshal([]byte(`{"from":{"vm":"v","boot":"b"},"rev":3,"added_later":{"x":[1]}}`), &msg)).To(Succeed())
		Expect(msg.Revision).To(Equal(types.Revision(3)))
	})
})
