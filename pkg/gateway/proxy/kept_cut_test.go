package proxy_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/rawserver"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Guards against the part of an answer that is given to a caller as a complete one when it comes
// on a connection that an earlier request had used.
var _ = Describe("an answer that is none, on a kept connection", func() {
	const event = "id: 1\ndata: x\n\n"
	// large is more than the proxy reads before it answers the caller.
	large := strings.Repeat(event, 200_000)
	// passedOn are answers whose bytes a caller gets as they come: they end where the connection
	// does, or have no end.
	passedOn := map[string]bool{
		"without a length, closed inside": true, "body without end": true, "chunks without end": true,
		"length over any bound": true, "body whose end never comes": true,
	}
	// answersOf returns the broken answers to the request with an ID.
	answersOf := func(id, body string) []rawserver.Answer {
		header := headerID + ": " + id + "\r\n" + headerSignature + ": s\r\n"
		return rawserver.Broken(header, body)
	}
	// breaking returns an endpoint that gives each connection's first request a whole answer and
	// the next one the broken answer with an index.
	breaking := func(index int, body string, broken *atomic.Int64) *rawEndpoint {
		return newRawEndpoint(func(connection net.Conn, id string, number int) bool {
			if number == 0 {
				return writeText(connection, signedResponse(id, event))
			}
			broken.Add(1)
			return answersOf(id, body)[index].Write(connection)
		})
	}
	// check expects of a response that a caller can tell that it is none.
	check := func(resp callerResponse) {
		if resp.err == nil {
			Expect(resp.status).To(Equal(http.StatusBadGateway))
		}
	}

	for index, answer := range answersOf("x", event) {
		if passedOn[answer.Name] {
			continue
		}
		never := func(kind catalog.Kind, body string) {
			var broken atomic.Int64
			w := newTestProxy(kind)
			w.route.MaxAttempts = 1
			startWithRaw(w, breaking(index, body, &broken))
			Expect(w.call("POST", "/r/", "x").status).To(Equal(http.StatusOK))
			check(w.call("POST", "/r/", "x"))
			Expect(broken.Load()).To(BeEquivalentTo(1), "the connection was kept")
		}
		It("is never taken for complete: "+answer.Name, func() { never(catalog.NonIdempotent, event) })
		It("is never taken for complete (large): "+answer.Name, func() { never(catalog.NonIdempotent, large) })
		It("is never taken for complete (stream): "+answer.Name, func() { never(catalog.Streaming, event) })
		It("is never taken for complete over a hop: "+answer.Name, func() {
			var broken atomic.Int64
			daemon := breaking(index, event, &broken)
			south := newTestProxy(catalog.NonIdempotent)
			south.moveSouth(members.Member{VM: types.VMID(daemon.listener.Addr().String()), Region: "north", State: members.Serving})
			south.start(newEndpoint(respondOK))
			Expect(south.call("POST", "/r/", "x").status).To(Equal(http.StatusOK))
			check(south.call("POST", "/r/", "x"))
			Expect(broken.Load()).To(BeEquivalentTo(1), "the connection was kept")
		})
	}
})
