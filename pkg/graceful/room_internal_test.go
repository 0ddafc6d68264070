package graceful

import (
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// acceptedConn returns a connection of a server as its listener would.
func acceptedConn(s *Server) (accepted *conn, caller net.Conn) {
	here, there := net.Pipe()
	DeferCleanup(there.Close)
	DeferCleanup(here.Close)
	c := &conn{Conn: here, server: s}
	s.track(c)
	return c, there
}

func serverOf(heads *Heads) *Server {
	return New(Options{HTTP: &http.Server{}, Heads: heads})
}

var _ = Describe("a connection that is chosen to yield as its request arrives", func() {
	head := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X:\r\n", 20) + "\r\n")

	It("stays counted in the memory of heads", func() {
		heads := NewHeads(headMemory(head) - 1)
		s := serverOf(heads)
		c, _ := acceptedConn(s)
		c.phase = handling // after the choice, before it yields
		s.growHead(c, head)
		Expect(c.closed).To(BeFalse())
		Expect(heads.held).To(Equal(headMemory(head)))
		heads.reset(c)
		Expect(heads.held).To(BeZero())
		heads.grow(c, 1)
		Expect(heads.held).To(BeEquivalentTo(1))
		heads.forget(c)
		Expect(heads.held).To(BeZero())
	})

	It("is not counted twice if it has ended, or waits again, meanwhile", func() {
		heads := NewHeads(headMemory(head) - 1)
		s := serverOf(heads)
		ended, _ := acceptedConn(s)
		Expect(heads.grow(ended, headMemory(head))).To(ConsistOf(ended))
		heads.forget(ended)
		heads.keep(ended)
		Expect(heads.held).To(BeZero())
		Expect(heads.open).To(BeEmpty())
		waits, _ := acceptedConn(s)
		Expect(heads.grow(waits, headMemory(head))).To(ConsistOf(waits))
		Expect(heads.held).To(BeZero())
		heads.reset(waits)
		heads.keep(waits)
		Expect(heads.held).To(BeZero())
	})

	It("is not closed if it waited after a response", func() {
		s := serverOf(nil)
		c, _ := acceptedConn(s)
		c.phase = idle
		c.becomeIdle()
		s.waiters.addIdle(c)
		s.waiters.places[c] = place{in: &s.waiters.idle, element: s.waiters.places[c].element}
		chosen, begun, _ := s.waiters.takeLongest()
		Expect(chosen).To(BeIdenticalTo(c))
		_, begins := c.recordRead(head, nil)
		Expect(begins).To(BeTrue())
		Expect(s.yield(chosen, begun)).To(BeFalse())
	})
})

var _ = Describe("the memory of the head that a connection waits for", func() {
	// A caller makes a TLS connection write, by asking for a new key, whenever it likes.
	It("counts on when something is written meanwhile", func() {
		heads := NewHeads(1 << 10)
		c, caller := acceptedConn(serverOf(heads))
		c.phase = idle
		c.becomeIdle()
		heads.grow(c, 1)
		var reading conc.WaitGroup
		reading.Go(func() { _, _ = caller.Read(make([]byte, 1)) }) // an error shows in the write
		_, err := c.Write([]byte{0})
		Expect(err).NotTo(HaveOccurred())
		reading.Wait()
		Expect(heads.held).To(BeEquivalentTo(1))
	})
})

var _ = Describe("connections that wait after a response", func() {
	It("yield in the order in which they began to wait", func() {
		var w waiters
		first, second := &conn{}, &conn{}
		w.addIdle(first)
		w.addIdle(second)
		_, _, left := w.takeLongest()
		Expect(left).To(BeNumerically(">", 0), "none has waited long enough")
		time.Sleep(yieldAfter)
		for _, want := range []*conn{first, second} {
			longest, begun, _ := w.takeLongest()
			Expect(longest).To(BeIdenticalTo(want))
			Expect(begun).To(BeFalse())
		}
	})
})
