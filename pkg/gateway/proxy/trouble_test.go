package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// rawEndpoint is a stand-in that writes bytes of its own to its connections.
type rawEndpoint struct {
	listener net.Listener
	mu       sync.Mutex
	requests int
}

// newRaw starts an endpoint that calls answer for each request of a connection,
// with its number on that connection, until answer returns false.
func newRaw(answer func(connection net.Conn, id string, number int) bool) *rawEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &rawEndpoint{listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(connection, answer)
		}
	}()
	DeferCleanup(listener.Close)
	return e
}

func (e *rawEndpoint) serve(connection net.Conn, answer func(net.Conn, string, int) bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.mu.Lock()
		e.requests++
		e.mu.Unlock()
		if !answer(connection, request.Header.Get(fieldID), number) {
			return
		}
	}
}

func (e *rawEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// startRaw starts a proxy before raw endpoints.
func startRaw(w *world, endpoints ...*rawEndpoint) *world {
	stand := make([]*endpoint, len(endpoints))
	for i := range stand {
		stand[i] = newEndpoint(answerOK)
	}
	w.start(stand...)
	for i, placed := range w.snap.View.Endpoints[service] {
		placed.Address = endpoints[i].listener.Addr().String()
	}
	w.update()
	return w
}

// whole is a sealed answer with a body.
func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", fieldID, id, fieldSeal, len(body), body)
}

func send(connection net.Conn, text string) bool {
	_, err := connection.Write([]byte(text))
	return err == nil
}

// forever writes a text until the other side closes.
func forever(connection net.Conn, text string) {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for send(connection, block) {
	}
}

var _ = Describe("A second copy of an answer", func() {
	DescribeTable("never reaches another caller", func(copyOf func(connection net.Conn, id string)) {
		e := newRaw(func(connection net.Conn, id string, _ int) bool {
			if !send(connection, whole(id, "answer to "+id)) {
				return false
			}
			copyOf(connection, id)
			return true
		})
		w := newWorld(catalog.Idempotent)
		w.route.MaxAttempts, w.ratio, w.burst = 3, 5, 500
		startRaw(w, e, newRaw(func(connection net.Conn, id string, _ int) bool { return send(connection, whole(id, "answer to "+id)) }))
		for i := range 60 {
			id := fmt.Sprintf("q%d", i)
			got := w.call("GET", "/r/", "", fieldID, id)
			if got.status == 200 {
				Expect(got.body).To(Equal("answer to " + id))
			}
			time.Sleep(time.Duration(i%4) * time.Millisecond)
		}
	},
		Entry("at once", func(connection net.Conn, id string) { send(connection, whole(id, "answer to "+id)) }),
		Entry("late", func(connection net.Conn, id string) {
			time.Sleep(2 * time.Millisecond)
			send(connection, whole(id, "answer to "+id))
		}),
		Entry("in two parts", func(connection net.Conn, id string) {
			text := whole(id, "answer to "+id)
			send(connection, text[:20])
			time.Sleep(time.Millisecond)
			send(connection, text[20:])
		}),
		Entry("where the next answer is due", func(connection net.Conn, id string) {
			go func() {
				time.Sleep(time.Millisecond)
				send(connection, whole(id, "answer to "+id))
			}()
		}),
	)
})

// callShort sends a request and keeps only the beginning of the answer.
func (w *world) callShort() answer {
	const kept = 100
	outgoing, err := http.NewRequest("POST", w.front.URL+"/r/", strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	outgoing.Host = "a.example"
	outgoing.Header.Set(fieldID, "q1")
	response, err := http.DefaultTransport.RoundTrip(outgoing)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, kept))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

var _ = Describe("Bytes without end", func() {
	const headStart = "HTTP/1.1 200 OK\r\n" + fieldSeal + ": s\r\n" + fieldID + ": q1\r\n"
	entries := []TableEntry{
		Entry("in head lines", headStart, "X-A: b\r\n"),
		Entry("in one head line", headStart+"X-A: ", "b"),
		Entry("in the first line", "HTTP/1.1 200 ", "O"),
		Entry("in no protocol at all", "", "\x00\xff"),
		Entry("in provisional answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
		Entry("in chunk extensions", headStart+"Transfer-Encoding: chunked\r\n\r\n5;", "a=b;"),
		Entry("in a chunk's size", headStart+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("in trailers", headStart+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"),
		Entry("after the length", headStart+"Content-Length: 2\r\n\r\nok", "more"),
		Entry("in a body without a length", headStart+"\r\n", "body "),
		Entry("in a chunked body", headStart+"Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"),
	}
	// flooded calls an endpoint that never stops and checks that it is cut off,
	// in bounded time and memory.
	flooded := func(w *world, start, text string) answer {
		closed := make(chan struct{})
		var once sync.Once
		e := newRaw(func(connection net.Conn, _ string, _ int) bool {
			send(connection, start)
			forever(connection, text)
			once.Do(func() { close(closed) })
			return false
		})
		w.route.Timeout = 2 * time.Second
		startRaw(w, e)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		asked := time.Now()
		got := w.callShort()
		Expect(time.Since(asked)).To(BeNumerically("<", 10*time.Second))
		Eventually(closed, patience).Should(BeClosed())
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 16<<20))
		Expect(e.count()).To(Equal(1))
		return got
	}

	DescribeTable("end in a true verdict, for a request that runs once", func(start, text string) {
		got := flooded(newWorld(catalog.NonIdempotent), start, text)
		if got.status == 200 && got.err == nil {
			Expect(got.body).To(Equal("ok"))
			return
		}
		Expect(got.status).NotTo(Equal(503), "the request may have run")
	}, entries)

	DescribeTable("end a stream so that it does not look complete", func(start, text string) {
		got := flooded(newWorld(catalog.Streaming), start, text)
		if got.err == nil {
			Expect(got.status).To(Or(Equal(502), Equal(504)))
		}
	}, Entry("in one event", headStart+"Transfer-Encoding: chunked\r\n\r\n", "5\r\ndata:\r\n"),
		Entry("in events that never end the stream", headStart+"\r\n", "id: 1\ndata: x\n\n"),
		Entry("in head lines", headStart, "X-A: b\r\n"))
})

var _ = Describe("Streams that are slow", func() {
	// dripping sends events with a pause, and then single bytes.
	dripping := func(events int, pause time.Duration) *rawEndpoint {
		return newRaw(func(connection net.Conn, id string, _ int) bool {
			send(connection, "HTTP/1.1 200 OK\r\n"+fieldSeal+": s\r\n"+fieldID+": "+id+"\r\nConnection: close\r\n\r\n")
			for number := range events {
				send(connection, fmt.Sprintf("id: %d\ndata: piece\n\n", number+1))
				time.Sleep(pause)
			}
			for events < 3 && send(connection, ":") {
				time.Sleep(20 * time.Millisecond)
			}
			return false
		})
	}
	slowWorld := func() *world {
		w := newWorld(catalog.Streaming)
		w.route.Timeout, w.route.Objective, w.route.LongestGap = 0, 100*time.Millisecond, 100*time.Millisecond
		return w
	}

	It("are not cut while their events come", func() {
		w := slowWorld()
		startRaw(w, dripping(5, 1200*time.Millisecond))
		got := w.call("POST", "/r/", "x")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(strings.Count(got.body, "data:")).To(Equal(5))
	})

	It("end when only bytes come, also without any limit of caller and route", func() {
		w := slowWorld()
		startRaw(w, dripping(1, 0))
		asked := time.Now()
		Expect(w.call("POST", "/r/", "x").err).To(HaveOccurred())
		Expect(time.Since(asked)).To(BeNumerically("~", 2*time.Second, 1500*time.Millisecond))
	})

	It("go on elsewhere when they may, before the caller gives up", func() {
		w := slowWorld()
		w.route.Resumable = true
		stalled := dripping(1, 0)
		sound := newRaw(func(connection net.Conn, id string, _ int) bool {
			return send(connection, "HTTP/1.1 200 OK\r\n"+fieldSeal+": s\r\n"+fieldID+": "+id+"\r\nConnection: close\r\n\r\nid: 2\ndata: rest\n\n") && false
		})
		startRaw(w, stalled, sound)
		resumed := false
		for range 6 {
			asked := time.Now()
			got := w.call("POST", "/r/", "x")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(time.Since(asked)).To(BeNumerically("<", minPatience))
			resumed = resumed || strings.Count(got.body, "data:") == 2
		}
		Expect(resumed).To(BeTrue())
	})
})

// minPatience is how long callers of these routes wait for an event.
const minPatience = 2 * time.Second

// FuzzForwarded checks that no envelope of another daemon makes the proxy panic.
func FuzzForwarded(f *testing.F) {
	RegisterFailHandler(Fail)
	f.Add(`{}`, "")
	f.Add(`{"from":"d","route":{},"left":1}`, "x")
	f.Add(`{"from":"d","route":{"kind":"streaming","backends":[]},"service":"svc","left":-1,"waited":-9223372036854775808}`, "x")
	f.Add(`{"from":"d","route":{"kind":"idempotent"},"service":"svc","left":9223372036854775807,"tried":["",""]}`, "")
	w := newWorld(catalog.Idempotent)
	w.withoutServers()
	f.Fuzz(func(_ *testing.T, note, body string) {
		w.forwarded(note, body)
	})
}
