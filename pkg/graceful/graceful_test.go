package graceful_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

func TestGraceful(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "graceful")
}

const (
	eventuallyTimeout = 30 * time.Second
	headerTimeout     = 5 * time.Second
)

// reasons collects what a server reported.
type reasons struct {
	mu   sync.Mutex
	list []graceful.Reason
}

func (r *reasons) add(ending graceful.Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, ending.Reason)
}

func (r *reasons) all() []graceful.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]graceful.Reason(nil), r.list...)
}

// fixture is a server with a handler that answers "ok", nothing on /empty, aborts on
// /abort, answers a part of its response before that on /part, waits for release on /wait,
// answers a part of its response before that on /stream and a status 103 on /hint, and asks
// for the end of the connection on /close.
type fixture struct {
	server  *graceful.Server
	address string
	seen    *reasons
	// handling receives a value when a handler on /wait has begun.
	handling chan struct{}
	release  chan struct{}
}

func listen() net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

func start() *fixture {
	GinkgoHelper()
	return serve(listen())
}

func serve(listener net.Listener) *fixture {
	return serveOptions(graceful.Options{Listener: listener})
}

func serveLimited(listener net.Listener, maxConnections int) *fixture {
	return serveOptions(graceful.Options{Listener: listener, MaxConnections: maxConnections})
}

func serveWith(listener net.Listener, times graceful.ShutdownTimes) *fixture {
	return serveOptions(graceful.Options{Listener: listener, Times: times})
}

// serveOptions serves with further options of the server.
func serveOptions(opts graceful.Options) *fixture {
	f := &fixture{address: opts.Listener.Addr().String(), seen: &reasons{}, handling: make(chan struct{}, 10), release: make(chan struct{})}
	opts.Unanswered = f.seen.add
	if opts.HTTP == nil {
		opts.HTTP = &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
	}
	opts.HTTP.Handler = http.HandlerFunc(f.handle)
	f.server = graceful.New(opts)
	var serving conc.WaitGroup
	serving.Go(func() { Expect(f.server.Serve()).To(Succeed()) })
	DeferCleanup(func() {
		_ = f.server.Close()
		serving.Wait()
	})
	return f
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/abort":
		panic(http.ErrAbortHandler)
	case "/empty":
		return
	case "/hint":
		w.WriteHeader(http.StatusEarlyHints)
		f.handling <- struct{}{}
		<-f.release
	case "/close":
		w.Header().Set("Connection", "close")
	case "/body":
		f.receiveBody(w, r)
	case "/part":
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/stream":
		_, _ = io.WriteString(w, "begin")
		_ = http.NewResponseController(w).Flush()
		f.handling <- struct{}{}
		<-f.release
	case "/wait":
		f.handling <- struct{}{}
		select {
		case <-f.release:
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		}
	}
	_, _ = io.WriteString(w, "ok")
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *caller {
	GinkgoHelper()
	connection, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	return &caller{Conn: connection, reader: bufio.NewReader(connection)}
}

func (c *caller) send(text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// status reads a response and returns its status and whether the server closes
// the connection; the status is 0 if there is no complete response.
func (c *caller) status() (int, bool) {
	_ = c.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}

// receiveBody reads a body, and refuses the request if that has to make room for others.
func (f *fixture) receiveBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	received := graceful.ReceiveBody(r.Context(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	f.handling <- struct{}{}
	_, err := io.ReadAll(r.Body)
	received()
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
}

var _ = Describe("a request without an answer", func() {
	DescribeTable("is reported with its reason when the server ends it", func(path string, reason graceful.Reason) {
		f := start()
		c := f.dial()
		c.send(get(path))
		status, _ := c.status()
		Expect(status).To(BeZero())
		Eventually(f.seen.all, eventuallyTimeout).Should(Equal([]graceful.Reason{reason}))
	},
		Entry("before its response", "/abort", graceful.Aborted),
		Entry("in its response", "/part", graceful.Aborted),
	)

	It("is reported as the caller's doing when the caller leaves", func() {
		f := start()
		c := f.dial()
		c.send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(f.seen.all, eventuallyTimeout).Should(Equal([]graceful.Reason{graceful.CallerGone}))
	})

	It("is reported when the server is closed while a handler runs", func() {
		f := start()
		f.dial().send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		_ = f.server.Close()
		Eventually(f.seen.all, eventuallyTimeout).Should(Equal([]graceful.Reason{graceful.Cut}))
	})

	It("is not reported for answered requests, idle connections and unused ones", func() {
		f := start()
		unused, c := f.dial(), f.dial()
		for range 3 {
			c.send(get("/"))
			Expect(c.status()).To(Equal(http.StatusOK))
		}
		Expect(unused.Close()).To(Succeed())
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(f.seen.all()).To(BeEmpty())
	})
})

// nextRequestRead is the number of the read that waits for the second request of a
// connection: the first gets the first request, the second is the server's look-out
// while its handler runs.
const nextRequestRead = 3

// slowListener accepts one connection. The read that waits for its second request
// returns only when its deadline has passed, as if its goroutine did not run before.
type slowListener struct {
	net.Listener
	conn *slowConn
}

func (l slowListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conn.TCPConn = accepted.(*net.TCPConn)
	return l.conn, nil
}

type slowConn struct {
	*net.TCPConn
	reads atomic.Int64
	woken chan struct{}
	once  sync.Once
}

func (c *slowConn) Read(b []byte) (int, error) {
	if c.reads.Add(1) == nextRequestRead {
		<-c.woken
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

func (c *slowConn) SetReadDeadline(t time.Time) error {
	if c.reads.Load() == nextRequestRead && !t.IsZero() {
		time.AfterFunc(time.Until(t), func() { c.once.Do(func() { close(c.woken) }) })
	}
	return c.TCPConn.SetReadDeadline(t)
}

// shutDown begins a shutdown and returns a function that waits for its end and
// returns its error.
func (f *fixture) shutDown(ctx context.Context) (wait func() error) {
	var stopping conc.WaitGroup
	var err error
	stopping.Go(func() { err = f.server.Shutdown(ctx) })
	return func() error {
		stopping.Wait()
		return err
	}
}

// refusesConnections reports whether the listener is closed.
func (f *fixture) refusesConnections() bool {
	connection, err := net.Dial("tcp", f.address)
	if err != nil {
		return true
	}
	_ = connection.Close()
	return false
}

var _ = Describe("a shutdown", func() {
	const half = "GET / HTTP/1.1\r\n"
	It("answers a request whose header is complete only after the listener is closed", func() {
		f := start()
		c := f.dial()
		c.send(half)
		wait := f.shutDown(context.Background())
		Eventually(f.refusesConnections, eventuallyTimeout).Should(BeTrue())
		c.send("Host: h\r\n\r\n")
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
		Expect(f.seen.all()).To(BeEmpty())
	})

	It("answers a request on a new connection that sends nothing before the listener is closed", func() {
		f := start()
		c := f.dial()
		wait := f.shutDown(context.Background())
		Eventually(f.refusesConnections, eventuallyTimeout).Should(BeTrue())
		c.send(get("/"))
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
	})

	It("answers the next request of a kept connection whose first part was read", func() {
		f := start()
		c := f.dial()
		c.send(get("/"))
		Expect(c.status()).To(Equal(http.StatusOK))
		c.send(half)
		time.Sleep(50 * time.Millisecond)
		wait := f.shutDown(context.Background())
		Eventually(f.refusesConnections, eventuallyTimeout).Should(BeTrue())
		c.send("Host: h\r\n\r\n")
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(wait()).To(Succeed())
	})

	It("answers a request that lies unread on a kept connection", func() {
		slow := &slowConn{woken: make(chan struct{})}
		f := serve(slowListener{Listener: listen(), conn: slow})
		c := f.dial()
		c.send(get("/"))
		Expect(c.status()).To(Equal(http.StatusOK))
		Eventually(slow.reads.Load, eventuallyTimeout).Should(BeEquivalentTo(nextRequestRead))
		c.send(get("/"))
		wait := f.shutDown(context.Background())
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
	})

	It("ends idle and unused connections, and connections that become idle", func() {
		f := start()
		_, idle, busy := f.dial(), f.dial(), f.dial()
		idle.send(get("/"))
		Expect(idle.status()).To(Equal(http.StatusOK))
		busy.send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		wait := f.shutDown(context.Background())
		Eventually(f.refusesConnections, eventuallyTimeout).Should(BeTrue())
		close(f.release)
		status, closes := busy.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
		Expect(f.seen.all()).To(BeEmpty())
	})

	It("answers the request that follows on a stream which began before it", func() {
		f := start()
		c := f.dial()
		c.send(get("/stream"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		wait := f.shutDown(context.Background())
		time.Sleep(2 * graceful.DefaultShutdownTimes().Handshakes)
		close(f.release)
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeFalse())
		time.Sleep(50 * time.Millisecond)
		c.send(get("/"))
		status, closes = c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
		Expect(f.seen.all()).To(BeEmpty())
	})

	It("answers all requests that a caller sent without waiting", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		c.send(get("/wait") + get("/") + get("/"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		wait := f.shutDown(context.Background())
		close(f.release)
		for range 3 {
			status, closes := c.status()
			Expect(status).To(Equal(http.StatusOK))
			Expect(closes).To(BeTrue())
		}
		Expect(wait()).To(Succeed())
		Expect(f.seen.all()).To(BeEmpty())
	})

	It("answers the next request whose first part was read with the one before, however late the rest comes", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		c.send(get("/") + half)
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusOK))
		time.Sleep(graceful.DefaultShutdownTimes().Idle * 3 / 2)
		c.send("Host: h\r\n\r\n")
		status, _ = c.status()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("ends a connection whose caller ignores that its close was announced", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		c.send(get("/"))
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		answered := time.Now()
		status, _ = c.status()
		Expect(status).To(BeZero())
		Expect(time.Since(answered)).To(BeNumerically("<", headerTimeout))
		Expect(f.seen.all()).To(BeEmpty())
	})

	It("is not held up by a caller that goes on sending after the close was announced", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
		defer cancel()
		wait := f.shutDown(ctx)
		for status := http.StatusOK; status != 0; {
			_, _ = io.WriteString(c, get("/"))
			status, _ = c.status()
			time.Sleep(graceful.DefaultShutdownTimes().Idle / 4)
		}
		Expect(wait()).To(Succeed())
	})

	It("answers at once a request whose body is not read to its end", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
		Expect(c.SetReadDeadline(time.Now().Add(headerTimeout))).To(Succeed())
		response, err := http.ReadResponse(c.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
	})

	It("announces the close also in the response to a request that came before it, and ends the connection at once", func() {
		const muchIdle = time.Minute
		f := serveWith(listen(), graceful.ShutdownTimes{Handshakes: time.Millisecond, Fresh: time.Millisecond, Idle: muchIdle})
		c := f.dial()
		c.send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		f.server.Leave()
		close(f.release)
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		status, _ = c.status()
		Expect(status).To(BeZero())
	})

	It("announces the close in a response that its handler leaves empty", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		c.send(get("/empty"))
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
	})

	It("leaves it to the HTTP server to close a connection if the handler asks for that", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		c.send(get("/close") + get("/"))
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		status, _ = c.status()
		Expect(status).To(BeZero())
	})

	DescribeTable("answers at once a request whose caller waits for a status 100 before it sends the body", func(leaving bool) {
		f := start()
		c := f.dial()
		if leaving {
			f.server.Leave()
		}
		c.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n")
		Expect(c.SetReadDeadline(time.Now().Add(headerTimeout))).To(Succeed())
		response, err := http.ReadResponse(c.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Close).To(BeTrue())
	},
		Entry("while it serves", false),
		Entry("while it leaves", true),
	)

	It("does not fail if connections are left that only wait for a request", func() {
		f := start()
		c := f.dial()
		f.server.Leave()
		ctx, cancel := context.WithTimeout(context.Background(), graceful.DefaultShutdownTimes().Handshakes+graceful.DefaultShutdownTimes().Idle/2)
		defer cancel()
		c.send(get("/"))
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(f.server.Shutdown(ctx)).To(Succeed())
	})

	It("announces the close in a response that follows on a status 103 from before it", func() {
		f := start()
		c := f.dial()
		c.send(get("/hint"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		f.server.Leave()
		close(f.release)
		Expect(c.status()).To(Equal(http.StatusEarlyHints))
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
	})

	It("counts the idle time of a connection from its last response", func() {
		const idle = 2 * time.Second
		f := serveWith(listen(), graceful.ShutdownTimes{Handshakes: time.Millisecond, Fresh: idle, Idle: idle})
		c := f.dial()
		c.send(get("/"))
		Expect(c.status()).To(Equal(http.StatusOK))
		time.Sleep(idle)
		began := time.Now()
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", idle/2))
	})

	It("answers a request that begins in the idle time, however late its rest comes", func() {
		// idle is long enough for the request to begin in it on a busy machine.
		const idle = 2 * time.Second
		times := graceful.DefaultShutdownTimes()
		times.Idle = idle
		f := serveWith(listen(), times)
		c := f.dial()
		c.send(get("/"))
		Expect(c.status()).To(Equal(http.StatusOK))
		wait := f.shutDown(context.Background())
		Eventually(f.refusesConnections, eventuallyTimeout).Should(BeTrue())
		request := get("/")
		c.send(request[:2])
		time.Sleep(times.Handshakes + 2*idle)
		c.send(request[2:])
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
	})

	It("waits for the rest of a request whose first byte has come no longer than for any header, and reports the request", func() {
		const headerLimit, slack = 500 * time.Millisecond, time.Second
		// A byte that comes later finds its connection ended, as a busy machine may have it.
		inTime := graceful.DefaultShutdownTimes().Idle / 2
		play := func() (sent time.Duration, reported []graceful.Reason) {
			f := serveOptions(graceful.Options{Listener: listen(), HTTP: &http.Server{ReadHeaderTimeout: headerLimit, IdleTimeout: time.Minute}})
			c := f.dial()
			c.send(get("/"))
			Expect(c.status()).To(Equal(http.StatusOK))
			began := time.Now()
			wait := f.shutDown(context.Background())
			Eventually(f.refusesConnections, eventuallyTimeout).Should(BeTrue())
			c.send("G")
			sent = time.Since(began)
			Expect(wait()).To(Succeed())
			Expect(time.Since(began)).To(BeNumerically("<", graceful.DefaultShutdownTimes().Fresh+headerLimit+slack))
			return sent, f.seen.all()
		}
		const mostPlays = 20
		sent, reported := play()
		for plays := 1; sent > inTime && plays < mostPlays; plays++ {
			sent, reported = play()
		}
		Expect(reported).To(Equal([]graceful.Reason{graceful.Dropped}))
	})

	DescribeTable("answers a request that is whole only after the time for new connections, if its first part came before", func(before string) {
		f := start()
		c := f.dial()
		c.send(before + half)
		if before != "" {
			Expect(c.status()).To(Equal(http.StatusOK))
		}
		wait := f.shutDown(context.Background())
		time.Sleep(graceful.DefaultShutdownTimes().Fresh * 5 / 4)
		c.send("Host: h\r\n\r\n")
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(wait()).To(Succeed())
	},
		Entry("on a new connection", ""),
		Entry("on a kept connection", get("/")),
	)

	It("fails, and reports the request, if a part of one is left when its time is over", func() {
		f := start()
		f.dial().send(half)
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), graceful.DefaultShutdownTimes().Handshakes+graceful.DefaultShutdownTimes().Idle/2)
		defer cancel()
		Expect(f.server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
		_ = f.server.Close()
		Eventually(f.seen.all, eventuallyTimeout).Should(Equal([]graceful.Reason{graceful.Dropped}))
	})

	It("ends connections without any request by the time for new ones", func() {
		const slack = 500 * time.Millisecond
		f := start()
		f.dial()
		began := time.Now()
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(And(
			BeNumerically(">=", graceful.DefaultShutdownTimes().Fresh), BeNumerically("<", graceful.DefaultShutdownTimes().Fresh+slack),
		))
	})

	It("holds no slot for a caller that was told to close its connection", func() {
		const callers = 10
		f := serveLimited(listen(), 1)
		f.server.Leave()
		began := time.Now()
		for range callers {
			c := f.dial()
			c.send(get("/"))
			status, _ := c.status()
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(time.Since(began)).To(BeNumerically("<", callers*graceful.DefaultShutdownTimes().Idle/2))
	})

	It("answers the requests in flight when they are cancelled", func() {
		f := start()
		c := f.dial()
		c.send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		wait := f.shutDown(context.Background())
		f.server.CancelRequests()
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(wait()).To(Succeed())
		Expect(f.seen.all()).To(BeEmpty())
	})

	It("returns when its time is over, and the rest is cut", func() {
		f := start()
		f.dial().send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		Expect(f.server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
		_ = f.server.Close()
		Eventually(f.seen.all, eventuallyTimeout).Should(Equal([]graceful.Reason{graceful.Cut}))
	})
})

var _ = Describe("the accept queue", func() {
	It("loses no request of callers that go on connecting", func() {
		f := start()
		var lost, answered atomic.Int64
		var callers conc.WaitGroup
		for range 8 {
			callers.Go(func() {
				for {
					connection, err := net.DialTimeout("tcp", f.address, eventuallyTimeout)
					if err != nil {
						return
					}
					c := &caller{Conn: connection, reader: bufio.NewReader(connection)}
					_, _ = io.WriteString(c, get("/"))
					if status, _ := c.status(); status != http.StatusOK {
						lost.Add(1)
					}
					answered.Add(1)
					_ = connection.Close()
				}
			})
		}
		Eventually(answered.Load, eventuallyTimeout).Should(BeNumerically(">", 200))
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		callers.Wait()
		Expect(lost.Load()).To(BeZero())
	})

	It("holds connections beyond the limit, and serves them during a shutdown", func() {
		f := serveLimited(listen(), 1)
		first, second := f.dial(), f.dial()
		first.send(get("/wait"))
		Eventually(f.handling, eventuallyTimeout).Should(Receive())
		second.send(get("/wait"))
		Consistently(f.handling, 50*time.Millisecond).ShouldNot(Receive())
		wait := f.shutDown(context.Background())
		close(f.release)
		status, _ := first.status()
		Expect(status).To(Equal(http.StatusOK))
		status, closes := second.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
	})
})
