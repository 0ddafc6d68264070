package graceful_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// patientServer returns an HTTP server that does not end a connection by itself during a test.
func patientServer() *http.Server {
	return &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
}

// isClosed reports whether the server closes the connection.
func (c *caller) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(eventuallyTimeout)) // an error shows in the read
	_, err := c.reader.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// heldListener is a listener on whose first connection the server goes on after a write only
// when held is closed.
type heldListener struct {
	net.Listener
	held     chan struct{}
	accepted atomic.Bool
}

func (l *heldListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil || l.accepted.Swap(true) {
		return accepted, err
	}
	return heldConn{Conn: accepted, held: l.held}, nil
}

type heldConn struct {
	net.Conn
	held chan struct{}
}

func (c heldConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	<-c.held
	return n, err
}

var _ = Describe("connections that wait for a request", func() {
	It("yield beyond the limit, the longest first, before those that had one", func() {
		const most = 3
		var yielded atomic.Int64
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: most, Yielded: func() { yielded.Add(1) }})
		kept := f.dial()
		kept.send(get("/"))
		status, _ := kept.status()
		Expect(status).To(Equal(http.StatusOK))
		first, second := f.dial(), f.dial()
		late := f.dial()
		late.send(get("/"))
		status, _ = late.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(yielded.Load()).To(BeEquivalentTo(1))
		Expect(first.isClosed()).To(BeTrue())
		for _, open := range []*caller{kept, second} {
			open.send(get("/"))
			status, _ = open.status()
			Expect(status).To(Equal(http.StatusOK))
		}
	})

	It("leave a caller that has sent a part of its request for last", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: 2})
		silent, begun := f.dial(), f.dial()
		begun.send("GET / HTTP/1.1\r\nHost: h\r\n")
		late := f.dial()
		late.send(get("/"))
		status, _ := late.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(silent.isClosed()).To(BeTrue())
		begun.send("\r\n")
		status, _ = begun.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("yield after a response too", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: 1})
		kept, late := f.dial(), f.dial()
		kept.send(get("/"))
		status, _ := kept.status()
		Expect(status).To(Equal(http.StatusOK))
		late.send(get("/"))
		status, _ = late.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(kept.isClosed()).To(BeTrue())
	})

	It("do not gain time by a head that trickles", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: 1})
		trickling := f.dial()
		trickling.send(get("/"))
		status, _ := trickling.status()
		Expect(status).To(Equal(http.StatusOK))
		trickling.send("GET / HTTP/1.1\r\nX: ")
		late := f.dial()
		late.send(get("/"))
		stop := make(chan struct{})
		var trickle conc.WaitGroup
		trickle.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					_, _ = trickling.Write([]byte("x")) // fails once it has yielded
				}
			}
		})
		defer trickle.Wait()
		defer close(stop)
		status, _ = late.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("do not yield while there is room", func() {
		f := serveLimited(listen(), 4)
		first := f.dial()
		for range 3 {
			f.dial()
		}
		time.Sleep(300 * time.Millisecond)
		first.send(get("/"))
		status, _ := first.status()
		Expect(status).To(Equal(http.StatusOK))
	})
})

var _ = Describe("the heads of requests", func() {
	lines := func(count int) string {
		var text strings.Builder
		for number := range count {
			fmt.Fprintf(&text, "X%d:\r\n", number)
		}
		return text.String()
	}

	It("close the connection with the largest one beyond the limit, on all servers together", func() {
		heads := graceful.NewHeads(64 << 10)
		here, there := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: heads}), serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: heads})
		large, small := here.dial(), there.dial()
		large.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(300))
		small.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(250))
		Expect(large.isClosed()).To(BeTrue())
		small.send("\r\n")
		status, _ := small.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(here.seen.all()).To(ConsistOf(graceful.Yielded))
	})

	It("count on kept connections, and not those before", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: graceful.NewHeads(64 << 10)})
		kept, other := f.dial(), f.dial()
		kept.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(400) + "\r\n")
		status, _ := kept.status()
		Expect(status).To(Equal(http.StatusOK))
		other.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(300) + "\r\n")
		status, _ = other.status()
		Expect(status).To(Equal(http.StatusOK))
		kept.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(600))
		Expect(kept.isClosed()).To(BeTrue())
	})

	It("count no longer than until the caller has the response, however late the server goes on", func() {
		held := make(chan struct{})
		f := serveOptions(graceful.Options{Listener: &heldListener{Listener: listen(), held: held}, HTTP: patientServer(), Heads: graceful.NewHeads(64 << 10)})
		DeferCleanup(func() { close(held) })
		kept, other := f.dial(), f.dial()
		kept.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(400) + "\r\n")
		status, _ := kept.status()
		Expect(status).To(Equal(http.StatusOK))
		other.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(300) + "\r\n")
		status, _ = other.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("count while the server waits for a body that its handler left", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: graceful.NewHeads(64 << 10)})
		holding, other := f.dial(), f.dial()
		holding.send("POST /empty HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n" + lines(400) + "\r\n")
		time.Sleep(200 * time.Millisecond) // its handler has ended long before
		other.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(300))
		Expect(other.isClosed()).To(BeTrue())
		holding.send(strings.Repeat("x", 1000))
		status, _ := holding.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("count while the handler goes on after a part of its response", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: graceful.NewHeads(64 << 10)})
		streaming, other := f.dial(), f.dial()
		streaming.send("GET /stream HTTP/1.1\r\nHost: h\r\n" + lines(400) + "\r\n")
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		other.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(300))
		Expect(other.isClosed()).To(BeTrue())
		close(f.release)
		status, _ := streaming.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("count the bytes of long lines", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: graceful.NewHeads(64 << 10)})
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40<<10))
		Expect(c.isClosed()).To(BeTrue())
	})

	It("count until the response, and no longer", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: graceful.NewHeads(64 << 10)})
		c := f.dial()
		for range 5 {
			c.send("GET / HTTP/1.1\r\nHost: h\r\n" + lines(300) + "\r\n")
			status, _ := c.status()
			Expect(status).To(Equal(http.StatusOK))
		}
	})

	It("do not count the bytes of bodies", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), Heads: graceful.NewHeads(16 << 10)})
		c := f.dial()
		body := strings.Repeat("\n", 100<<10)
		for range 2 {
			c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			status, _ := c.status()
			Expect(status).To(Equal(http.StatusOK))
		}
	})
})
