package bodies_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/bodies"
)

func TestBodies(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bodies")
}

const (
	patience = 30 * time.Second
	// limit is that of the pools here, largest the largest body, in bytes.
	limit   = 1 << 20
	largest = 512 << 10
	// long is longer than a body may take before it yields.
	long = time.Second
)

// clock is a clock that is set by hand. It is safe for concurrent use.
type clock struct {
	passed atomic.Int64
}

func (c *clock) now() time.Time {
	return time.Unix(0, c.passed.Load())
}

func (c *clock) advance(by time.Duration) {
	c.passed.Add(int64(by))
}

// receiver is a server that receives bodies. It serves a request until it may answer.
type receiver struct {
	*httptest.Server
	pool    *bodies.Pool
	clock   *clock
	answers chan struct{}
	mu      sync.Mutex
	// held is what the bodies that were received have.
	held []string
}

func newReceiver(timeout time.Duration) *receiver {
	r := &receiver{clock: &clock{}, answers: make(chan struct{})}
	r.pool = bodies.NewPool(bodies.Options{Bytes: limit, Now: r.clock.now})
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := r.pool.Receive(w, request, bodies.Limits{Bytes: largest, Timeout: timeout})
		if err != nil {
			bodies.Refuse(w, err)
			return
		}
		defer body.Release()
		r.mu.Lock()
		r.held = append(r.held, string(body.Bytes()))
		r.mu.Unlock()
		if request.URL.Path == "/held" {
			<-r.answers
		}
	}))
	DeferCleanup(r.Close)
	DeferCleanup(r.CloseClientConnections)
	return r
}

// bytes returns what is reserved.
func (r *receiver) bytes() int64 {
	return r.pool.Usage().Bytes
}

// client is a connection on which one request is sent in parts.
type client struct {
	net.Conn
}

func (r *receiver) connect(path, framing string) *client {
	GinkgoHelper()
	connection, err := net.Dial("tcp", r.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	c := &client{connection}
	c.send("POST " + path + " HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n")
	return c
}

func (c *client) send(text string) {
	_, _ = io.WriteString(c, text) // a server that has refused the request may have closed
}

// response returns the response to the request.
func (c *client) response() *http.Response {
	GinkgoHelper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

func length(bytes int) string {
	return fmt.Sprintf("Content-Length: %d", bytes)
}

const chunks = "Transfer-Encoding: chunked"

var _ = Describe("the memory of bodies", func() {
	var r *receiver
	BeforeEach(func() { r = newReceiver(patience) })

	It("is reserved as a body arrives, not as it is announced", func() {
		c := r.connect("/", length(largest))
		Eventually(r.bytes, patience).Should(BeNumerically(">", 0))
		c.send(strings.Repeat("x", 10))
		Expect(r.bytes()).To(BeNumerically("<=", 64<<10))
		c.send(strings.Repeat("x", largest-10))
		Expect(c.response().StatusCode).To(Equal(http.StatusOK))
		Expect(r.held[0]).To(HaveLen(largest))
	})

	DescribeTable("is given back", func(send func(c *client), framing string, status int) {
		c := r.connect("/", framing)
		send(c)
		if status > 0 {
			response := c.response()
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Close).To(Equal(status != http.StatusOK))
		}
		Eventually(r.bytes, patience).Should(BeZero())
	},
		Entry("after the answer", func(c *client) { c.send("whole") }, length(5), http.StatusOK),
		Entry("after the answer to chunks", func(c *client) { c.send("3\r\nabc\r\n0\r\n\r\n") }, chunks, http.StatusOK),
		Entry("of a body announced as too large", func(*client) {}, length(largest+1), http.StatusRequestEntityTooLarge),
		Entry("of chunks that are too large", func(c *client) {
			c.send(fmt.Sprintf("%x\r\n%s\r\n", largest+1, strings.Repeat("x", largest+1)))
		}, chunks, http.StatusRequestEntityTooLarge),
		Entry("of a caller that goes away", func(c *client) { c.send("part"); _ = c.Close() }, length(50), 0),
		Entry("of chunks that are none", func(c *client) { c.send("no size\r\n") }, chunks, http.StatusBadRequest),
	)

	It("is given back when the time to send a body is over", func() {
		slow := newReceiver(50 * time.Millisecond)
		c := slow.connect("/", length(50))
		c.send("part")
		Expect(c.response().StatusCode).To(Equal(http.StatusRequestTimeout))
		Eventually(slow.bytes, patience).Should(BeZero())
	})

	It("goes from the body that has been received for longest to a later one", func() {
		var stalled []*client
		for range 6 {
			c := r.connect("/", length(largest))
			c.send(strings.Repeat("x", 100<<10))
			stalled = append(stalled, c)
			// 64 KiB and their double; the order in which they begin matters.
			Eventually(r.bytes, patience).Should(BeNumerically("==", len(stalled)*128<<10))
		}
		late := r.connect("/", length(100<<10))
		late.send(strings.Repeat("y", 100<<10))
		Expect(late.response().StatusCode).To(Equal(http.StatusServiceUnavailable), "none has to yield yet")
		r.clock.advance(long)
		late = r.connect("/", length(100<<10))
		late.send(strings.Repeat("y", 100<<10))
		Expect(late.response().StatusCode).To(Equal(http.StatusOK))
		refused := stalled[0].response()
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.pool.Usage().Yielded).To(BeEquivalentTo(1))
		stalled[1].send(strings.Repeat("x", largest-100<<10))
	})

	It("that bodies hold which were received goes to no other one, but a part is kept for small ones", func() {
		for range 2 {
			c := r.connect("/held", length(370<<10))
			c.send(strings.Repeat("x", 370<<10))
		}
		Eventually(r.bytes, patience).Should(BeNumerically(">", 700<<10))
		r.clock.advance(long)
		large := r.connect("/", length(100<<10))
		large.send(strings.Repeat("x", 100<<10))
		Expect(large.response().StatusCode).To(Equal(http.StatusServiceUnavailable))
		small := r.connect("/", length(600))
		small.send(strings.Repeat("x", 600))
		Expect(small.response().StatusCode).To(Equal(http.StatusOK))
		close(r.answers)
		Eventually(r.bytes, patience).Should(BeZero())
	})

	It("stays reserved while somebody holds the body", func() {
		pool := bodies.NewPool(bodies.Options{Bytes: limit})
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("whole"))
		body, err := pool.Receive(httptest.NewRecorder(), request, bodies.Limits{Bytes: 5, Timeout: patience})
		Expect(err).NotTo(HaveOccurred())
		release := body.Hold()
		body.Release()
		body.Release()
		Expect(pool.Usage().Bytes).To(BeNumerically(">", 0))
		release()
		release()
		Expect(pool.Usage().Bytes).To(BeZero())
	})

	It("has no limit if there is no pool", func() {
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("whole"))
		body, err := (*bodies.Pool)(nil).Receive(httptest.NewRecorder(), request, bodies.Limits{Bytes: 5, Timeout: time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body.Bytes())).To(Equal("whole"))
		body.Release()
		body.Release()
	})
})

// Plays random clients and checks that the pool keeps its limit and ends empty, whatever they do.
var _ = Describe("a pool before random clients", func() {
	for seed := range uint64(8) {
		It(fmt.Sprintf("keeps its limit, seed %d", seed), func() {
			r := newReceiver(300 * time.Millisecond)
			close(r.answers)
			var watching, clients conc.WaitGroup
			done := make(chan struct{})
			most := int64(0)
			watching.Go(func() {
				for {
					most = max(most, r.bytes())
					select {
					case <-done:
						return
					case <-time.After(time.Millisecond):
						r.clock.advance(10 * time.Millisecond)
					}
				}
			})
			for number := range uint64(40) {
				clients.Go(func() {
					defer GinkgoRecover()
					random := rand.New(rand.NewPCG(seed, number))
					for range 5 {
						sendRandomly(r, random)
					}
				})
			}
			clients.Wait()
			close(done)
			watching.Wait()
			Expect(most).To(BeNumerically("<=", limit))
			Eventually(r.bytes, patience).Should(BeZero())
		})
	}
})

// sendRandomly sends one request whose body is whole, too large or stops short of its end.
func sendRandomly(r *receiver, random *rand.Rand) {
	size := 1 + random.IntN(largest+largest/10)
	sent := size
	if random.IntN(2) == 0 {
		sent = random.IntN(size)
	}
	framing, text := length(size), strings.Repeat("x", sent)
	if random.IntN(2) == 0 {
		framing, text = chunks, fmt.Sprintf("%x\r\n%s", size, text)
		if sent == size {
			text += "\r\n0\r\n\r\n"
		}
	}
	c := r.connect("/", framing)
	c.send(text)
	if random.IntN(4) == 0 {
		_ = c.Close()
		return
	}
	switch status := c.response().StatusCode; {
	case status == http.StatusOK:
		Expect(sent).To(Equal(size))
		Expect(size).To(BeNumerically("<=", largest))
	case status == http.StatusRequestEntityTooLarge:
		Expect(size).To(BeNumerically(">", largest))
	default:
		Expect(status).To(BeElementOf(http.StatusServiceUnavailable, http.StatusRequestTimeout))
	}
	_ = c.Close()
}

var _ = Describe("the memory of what is decoded from a body", func() {
	receive := func(pool *bodies.Pool, document string) *bodies.Body {
		GinkgoHelper()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(document))
		body, err := pool.Receive(httptest.NewRecorder(), request, bodies.Limits{Bytes: largest, Timeout: patience})
		Expect(err).NotTo(HaveOccurred())
		return body
	}

	It("is reserved by the number of values, and given back with the body", func() {
		pool := bodies.NewPool(bodies.Options{Bytes: limit})
		many := receive(pool, "["+strings.Repeat("{},", 100<<10)+"{}]")
		Expect(many.ReserveDecoded()).To(MatchError(bodies.ErrNoMemory))
		many.Release()
		few := receive(pool, `{"text":"`+strings.Repeat("x", 300<<10)+`"}`)
		Expect(few.ReserveDecoded()).To(Succeed())
		Expect(pool.Usage().Bytes).To(BeNumerically(">", 600<<10))
		few.Release()
		Expect(pool.Usage().Bytes).To(BeZero())
	})

	// What is counted for an element has to cover what the decoder takes for it.
	It("is at least what the values of a document take", func() {
		type element struct {
			Name  string
			Value [300]byte
		}
		document := []byte("[" + strings.Repeat("{},", 10<<10) + "{}]")
		var elements []element
		Expect(json.Unmarshal(document, &elements)).To(Succeed())
		pool := bodies.NewPool(bodies.Options{})
		body := receive(pool, string(document))
		before := pool.Usage().Bytes
		Expect(body.ReserveDecoded()).To(Succeed())
		Expect(pool.Usage().Bytes - before).To(BeNumerically(">=", cap(elements)*int(unsafe.Sizeof(element{}))))
	})
})
