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

func guard(vm types.VMID, current peer.KeyID, ids ...peer.KeyID) *peer.Guard {
	all := map[peer.KeyID][]byte{"old": keyOld, "new": keyNew}
	keys := peer.Keys{Current: current, Accepted: map[peer.KeyID][]byte{}}
	for _, id := range append(ids, current) {
		keys.Accepted[id] = all[id]
	}
	return peer.NewGuard(vm, keys, start, 1)
}

func message() *peer.Message {
	return &peer.Message{From: types.Incarnation{VM: alice, Boot: "a1"}, To: bob, Revision: 4}
}

func seal(g *peer.Guard, at time.Time, msg *peer.Message) peer.Sealed {
	sealed, err := g.Seal(at, peer.Request, 0, msg)
	Expect(err).NotTo(HaveOccurred())
	return sealed
}

var _ = Describe("A guard", func() {
	var from, to *peer.Guard
	BeforeEach(func() { from, to = guard(alice, "old"), guard(bob, "old") })

	open := func(at time.Time, sealed peer.Sealed) error {
		_, err := to.Open(at, peer.Request, 0, sealed)
		return err
	}

	It("accepts a message once", func() {
		sealed := seal(from, start, message())
		Expect(open(start, sealed)).To(Succeed())
		Expect(open(start, sealed)).To(MatchError(peer.ErrReplayed))
	})

	It("refuses a replay at every later time, also by a restarted receiver", func() {
		sealed := seal(from, start, message())
		Expect(open(start, sealed)).To(Succeed())
		for later := time.Second; later < 5*time.Minute; later += time.Second {
			_ = open(start.Add(later), seal(from, start.Add(later), message()))
			Expect(open(start.Add(later), sealed)).NotTo(Succeed(), later.String())
		}
		restarted := peer.NewGuard(bob, peer.Keys{Current: "old", Accepted: map[peer.KeyID][]byte{"old": keyOld}}, start.Add(time.Second), 1)
		_, err := restarted.Open(start.Add(2*time.Second), peer.Request, 0, sealed)
		Expect(err).To(MatchError(peer.ErrTime))
	})

	It("refuses every single changed byte of a message", func() {
		sealed := seal(from, start, message())
		for i := range sealed.Body {
			changed := sealed
			changed.Body = append([]byte(nil), sealed.Body...)
			changed.Body[i] ^= 1
			Expect(open(start, changed)).To(MatchError(peer.ErrForged))
		}
	})

	It("refuses a message meant for another VM", func() {
		_, err := guard(carol, "old").Open(start, peer.Request, 0, seal(from, start, message()))
		Expect(err).To(MatchError(peer.ErrReceiver))
	})

	It("refuses an answer as a request, and the answer to another request", func() {
		reply, err := from.Seal(start, peer.Reply, 7, message())
		Expect(err).NotTo(HaveOccurred())
		Expect(open(start, reply)).To(MatchError(peer.ErrForged))
		_, err = to.Open(start, peer.Reply, 8, reply)
		Expect(err).To(MatchError(peer.ErrForged))
		_, err = to.Open(start, peer.Reply, 7, reply)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses messages from outside of the window", func() {
		Expect(open(start.Add(31*time.Second), seal(from, start, message()))).To(MatchError(peer.ErrTime))
		Expect(open(start, seal(from, start.Add(31*time.Second), message()))).To(MatchError(peer.ErrTime))
	})

	It("accepts messages at each step of a rotation of keys", func() {
		steps := [][2]*peer.Guard{
			{guard(alice, "old"), guard(bob, "old", "new")},
			{guard(alice, "old", "new"), guard(bob, "old", "new")},
			{guard(alice, "new", "old"), guard(bob, "old", "new")},
			{guard(alice, "old", "new"), guard(bob, "new", "old")},
			{guard(alice, "new", "old"), guard(bob, "new")},
		}
		for _, step := range steps {
			_, err := step[1].Open(start, peer.Request, 0, seal(step[0], start, message()))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := guard(bob, "new").Open(start, peer.Request, 0, seal(guard(alice, "old"), start, message()))
		Expect(err).To(MatchError(peer.ErrForged))
	})

	It("refuses short keys and a current key that is not accepted", func() {
		Expect(peer.Keys{Current: "a", Accepted: map[peer.KeyID][]byte{"a": []byte("short")}}.Validate()).NotTo(Succeed())
		Expect(peer.Keys{Current: "b", Accepted: map[peer.KeyID][]byte{"a": keyOld}}.Validate()).NotTo(Succeed())
	})
})

var _ = Describe("A message", func() {
	It("of a newer version is read, and its unknown fields are ignored", func() {
		var msg peer.Message
		Expect(json.Unmarshal([]byte(`{"from":{"vm":"v","boot":"b"},"rev":3,"added_later":{"x":[1]}}`), &msg)).To(Succeed())
		Expect(msg.Revision).To(Equal(types.Revision(3)))
	})
})
