package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// blockedPeers answers no message before ctx ends, and counts those without a table.
type blockedPeers struct {
	requests atomic.Int64
}

// Send implements control.Peers.
func (p *blockedPeers) Send(ctx context.Context, _ types.VMID, message *control.Message) (*control.Message, error) {
	if len(message.Members) == 0 {
		p.requests.Add(1)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a configuration that every daemon which has it sends to each one that lacks it
// (issue 69, HOME).
var _ = Describe("A daemon that lacks a configuration", func() {
	var store *fakeStore
	var f *fleet
	BeforeEach(func() {
		store = newFakeStore()
		store.put(configRecord(3))
		f = newFleet(store, func(types.VMID) control.Store { return store }, "a:1")
		DeferCleanup(func() { f.stop() })
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{3}))
	})
	behind := func() *control.Message { return message("c:1", catalog.Position{}, 2) }
	receive := func(m *control.Message) *control.Message {
		reply := f.daemons[0].Receive(context.Background(), m)
		Expect(reply).NotTo(BeNil())
		return reply
	}

	It("gets it on request", func() {
		Expect(receive(behind()).Delta.HoldsConfig()).To(BeTrue())
	})

	It("gets it when it joins", func() {
		joining := behind()
		joining.Joining, joining.Members = true, []members.Member{{VM: "c:1", Region: "north"}}
		Expect(receive(joining).Delta.HoldsConfig()).To(BeTrue())
	})

	It("gets it neither for a heartbeat nor for news, and learns that it is behind", func() {
		heartbeat, news := behind(), behind()
		heartbeat.Members = []members.Member{{VM: "c:1", Region: "north"}}
		news.Delta = &catalog.Delta{}
		for _, m := range []*control.Message{heartbeat, news} {
			reply := receive(m)
			Expect(reply.Delta).To(BeNil())
			Expect(reply.ConfigVersion).To(BeEquivalentTo(3))
			Expect(reply.AppliedRevision).To(BeNumerically(">", 0))
		}
	})

	It("gets other changes for a heartbeat", func() {
		known := f.daemons[0].Load().View.Position()
		store.put(endpointRecord("e"))
		Eventually(func() catalog.Position { return f.daemons[0].Load().View.Position() }, waitLimit).ShouldNot(Equal(known))
		heartbeat := message("c:1", known, 3)
		heartbeat.Members = []members.Member{{VM: "c:1", Region: "north"}}
		Expect(receive(heartbeat).Delta.Records).To(HaveLen(1))
	})

	// ahead returns a message of a daemon that has what the fleet's one lacks.
	ahead := func(from types.VMID, version uint64) *control.Message {
		return message(from, catalog.Position{Revision: 1000}, version)
	}
	newBlocked := func() (*control.Control, *blockedPeers) {
		peers := &blockedPeers{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		options := f.options(store, log, "b:1")
		options.Peers = peers
		daemon := control.New(options)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(runUntil(cancel, func() { daemon.Run(ctx) }))
		Eventually(func() *catalog.Config { return daemon.Load().View.Config }, waitLimit).ShouldNot(BeNil())
		return daemon, peers
	}

	It("requests it of two others at a time at most, however many have it", func() {
		daemon, peers := newBlocked()
		for range 20 {
			for _, other := range []types.VMID{"c:1", "d:1", "e:1", "f:1"} {
				Expect(daemon.Receive(context.Background(), ahead(other, 3))).NotTo(BeNil())
			}
		}
		Eventually(peers.requests.Load, waitLimit).Should(BeEquivalentTo(2))
		Consistently(peers.requests.Load, 200*time.Millisecond).Should(BeEquivalentTo(2))
	})

	It("requests it only after a while, as it is probably on its way", func() {
		daemon, peers := newBlocked()
		told := time.Now()
		Eventually(func() int64 {
			Expect(daemon.Receive(context.Background(), ahead("c:1", 4))).NotTo(BeNil())
			return peers.requests.Load()
		}, waitLimit).Should(BeNumerically(">", 0))
		Expect(time.Since(told)).To(BeNumerically(">=", time.Second))
	})

	DescribeTable("gets it in the form that it reads", func(unpacks, packed bool) {
		server := httptest.NewServer(http.HandlerFunc(f.daemons[0].ServeMessage))
		DeferCleanup(server.Close)
		request := behind()
		request.Unpacks = unpacks
		body, err := json.Marshal(request)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Post(server.URL, "application/json", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var reply control.Message
		Expect(json.NewDecoder(response.Body).Decode(&reply)).To(Succeed())
		Expect(reply.PackedDelta != nil).To(Equal(packed))
		Expect(reply.Delta != nil).To(Equal(!packed))
	},
		Entry("packed", true, true),
		Entry("as it is, of an earlier release", false, false),
	)

	// Guards against messages of a few bytes that unpack to more than the process may hold.
	It("takes none that needs more memory than messages may have", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		options := f.options(store, log, "b:1")
		options.Bodies = bodies.NewPool(bodies.Options{Bytes: 1 << 20})
		server := httptest.NewServer(http.HandlerFunc(control.New(options).ServeMessage))
		DeferCleanup(server.Close)
		packed, _, err := (&catalog.Delta{Records: []catalog.Record{{Config: grownConfig(9, manyRoutes)}}}).Pack()
		Expect(err).NotTo(HaveOccurred())
		body, err := json.Marshal(&control.Message{From: "c:1", PackedDelta: packed})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", 1<<18))
		response, err := http.Post(server.URL, "application/json", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(options.Bodies.Usage().Bytes).To(BeZero())
	})
})
