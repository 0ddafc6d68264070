package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Guards against answers that a daemon of another region cuts off in its own stop, of
// which the daemon that forwarded the request knew nothing yet.
var _ = Describe("a forwarded request whose receiver is leaving", func() {
	const prefix = "7"
	var south *testProxy
	// norths are daemons of the other region; each has endpoints of its own.
	var norths []*testProxy
	var endpoints [][]*endpoint

	// startWith starts some daemons in the north and one in the south, which may spend
	// nothing on retries if the kind is NonIdempotent.
	startWith := func(daemons int, kind catalog.Kind, respond http.HandlerFunc) {
		norths, endpoints = nil, nil
		for range daemons {
			es := []*endpoint{newEndpoint(respond), newEndpoint(respond)}
			north := newTestProxy(kind)
			north.route.Resumable = kind == catalog.Streaming
			north.start(es...)
			norths, endpoints = append(norths, north), append(endpoints, es)
		}
		south = newTestProxy(kind)
		south.route.AllowedRegions, south.route.Resumable = []types.Region{"north"}, kind == catalog.Streaming
		if kind == catalog.NonIdempotent {
			south.retryRatio, south.retryFixed, south.route.MaxAttempts = 0, 0, 1
		}
		south.moveSouth()
		for _, north := range norths {
			south.members = append(south.members, north.asMember())
		}
		south.start(endpoints[0]...)
	}
	start := func(kind catalog.Kind, respond http.HandlerFunc) { startWith(2, kind, respond) }
	// owner returns the index of the daemon that gets the large prompts of the prefix.
	owner := func() int {
		home, _ := balance.PrefixHome(south.snap.View.Endpoints[service], 7, func(catalog.ActiveEndpoint) bool { return true })
		vm, _ := balance.LargePromptOwner(home, []balance.Daemon{{VM: south.members[0].VM}, {VM: south.members[1].VM}})
		if vm == south.members[0].VM {
			return 0
		}
		return 1
	}

	It("runs by way of a daemon that serves, at no expense, if it is a large prompt", func() {
		start(catalog.NonIdempotent, respondOK)
		leaving := owner()
		norths[leaving].handler.Leave(time.Minute)
		for i := range 4 {
			Expect(south.call("POST", "/r/", "x", headerPrefix, prefix, headerID, fmt.Sprintf("q%d", i)).status).To(Equal(200))
		}
		Expect(arrivals(endpoints[leaving])).To(BeZero())
		Expect(arrivals(endpoints[1-leaving])).To(Equal(4))
	})

	It("runs by way of a daemon that serves, at no expense, if any daemon of the region may get it", func() {
		start(catalog.NonIdempotent, respondOK)
		norths[0].handler.Leave(time.Minute)
		for i := range 16 {
			Expect(south.call("POST", "/r/", "x", headerID, fmt.Sprintf("q%d", i)).status).To(Equal(200))
		}
		Expect(arrivals(endpoints[0])).To(BeZero())
		Expect(arrivals(endpoints[1])).To(Equal(16))
	})

	It("is taken by a leaving daemon if all daemons of the region leave", func() {
		start(catalog.NonIdempotent, respondOK)
		for _, north := range norths {
			north.handler.Leave(time.Minute)
		}
		Expect(south.call("POST", "/r/", "x", headerPrefix, prefix).status).To(Equal(200))
		Expect(south.call("POST", "/r/", "x", headerID, "q2").status).To(Equal(200))
	})

	It("is taken by a leaving daemon after three refusals, however many daemons leave", func() {
		startWith(6, catalog.NonIdempotent, respondOK)
		for _, north := range norths {
			north.handler.Leave(time.Minute)
		}
		Expect(south.call("POST", "/r/", "x", headerPrefix, prefix).status).To(Equal(200))
		Expect(south.call("POST", "/r/", "x", headerID, "q2").status).To(Equal(200))
	})

	It("goes by way of the same daemon again if only the endpoint did not take it", func() {
		var requests atomic.Int64
		startWith(1, catalog.Idempotent, func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 1 {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			respondOK(w, r)
		})
		Expect(south.call("GET", "/r/", "").status).To(Equal(200))
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	It("may still resume over another hop after the refusal", func() {
		start(catalog.Streaming, eventStream(4, 2))
		leaving := owner()
		norths[leaving].handler.Leave(time.Minute)
		response := south.call("POST", "/r/", "x", headerPrefix, prefix)
		Expect(response.err).NotTo(HaveOccurred())
		Expect(strings.Count(response.body, "data:")).To(Equal(4))
		Expect(arrivals(endpoints[leaving])).To(BeZero())
	})

	It("is refused as not run, once, when all daemons of the region refuse it", func() {
		start(catalog.NonIdempotent, respondOK)
		for _, north := range norths {
			north.handler.Leave(0)
		}
		Expect(south.call("POST", "/r/", "x", headerPrefix, prefix).status).To(Equal(503))
		Expect(south.call("POST", "/r/", "x", headerID, "q2").status).To(Equal(503))
		Expect(arrivals(endpoints[0]) + arrivals(endpoints[1])).To(BeZero())
	})
})
