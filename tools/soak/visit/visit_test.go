package visit_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/visit"
)

func TestVisit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "visit")
}

// planned returns a call that is sent in a framing.
func planned(id, path string, framing check.Framing) check.Call {
	return check.Call{
		Call:   standin.Call{ID: id, Host: "h.example", Method: http.MethodPost, Path: path, Body: []byte("0123456789"), Timeout: 200 * time.Millisecond},
		Manner: &check.Manner{Connection: check.New, Framing: framing, PiecePause: 10 * time.Millisecond},
	}
}

// echo answers with path and body; it announces the close under /last.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // the response shows what was read
	if r.URL.Path == "/last" {
		w.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body) // the caller checks it
}

// send sends calls to address with no pauses.
func send(address string, opts visit.Options, calls ...check.Call) []check.Call {
	opts.Pauses = make([]time.Duration, len(calls))
	sent, err := visit.Send(context.Background(), address, calls, opts)
	Expect(err).NotTo(HaveOccurred())
	return sent
}

// answering reads one request of each connection and lets answer do the rest.
func answering(answer func(conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var serving conc.WaitGroup
	DeferCleanup(serving.Wait)
	DeferCleanup(listener.Close)
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body) // the answer comes after it
			}
			answer(conn)
		}
	})
	return listener.Addr().String()
}

var _ = Describe("Send", func() {
	var address string
	BeforeEach(func() {
		server := httptest.NewServer(http.HandlerFunc(echo))
		DeferCleanup(server.Close)
		address = server.Listener.Addr().String()
	})

	DescribeTable("sends requests that a server reads whole, and keeps the answers apart", func(opts visit.Options, second check.Connection) {
		sent := send(address, opts, planned("a", "/a", check.Whole), planned("b", "/b", check.HalfHead),
			planned("c", "/c", check.HalfBody), planned("d", "/d", check.Chunks))
		Expect(sent).To(HaveLen(4))
		for at, path := range []string{"/a", "/b", "/c", "/d"} {
			Expect(sent[at].Outcome.Body).To(Equal(path + " 0123456789"))
			Expect(sent[at].Outcome.Complete).To(BeTrue())
			Expect(sent[at].Outcome.Written).NotTo(BeZero())
			Expect(sent[at].Manner.CloseAnnounced).To(BeZero())
		}
		Expect(sent[0].Manner.Connection).To(Equal(check.New))
		Expect(sent[1].Manner.Connection).To(Equal(second))
	},
		Entry("one after the other", visit.Options{SmallWindow: true}, check.Kept),
		Entry("without waiting", visit.Options{Pipelined: true}, check.Pipelined),
	)

	It("sends nothing more on a connection whose close was announced", func() {
		sent := send(address, visit.Options{}, planned("a", "/last", check.Whole), planned("b", "/b", check.Whole))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Manner.CloseAnnounced).NotTo(BeZero())
	})

	It("sends nothing on a connection that has ended", func() {
		address := answering(func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") // the caller checks it
			_ = conn.Close()
		})
		calls := []check.Call{planned("a", "/a", check.Whole), planned("b", "/b", check.Whole)}
		sent, err := visit.Send(context.Background(), address, calls, visit.Options{Pauses: []time.Duration{0, 100 * time.Millisecond}})
		Expect(err).NotTo(HaveOccurred())
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Outcome.Complete).To(BeTrue())
	})

	It("tells of requests that were sent whole and got no answer", func() {
		address := answering(func(conn net.Conn) { _ = conn.Close() })
		sent := send(address, visit.Options{Pipelined: true}, planned("a", "/a", check.Whole))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Outcome.Status).To(BeZero())
		Expect(sent[0].Outcome.Written).NotTo(BeZero())
		Expect(sent[0].Outcome.Err).To(HaveOccurred())
		Expect(sent[0].Outcome.Left).To(BeFalse())
	})

	It("takes calls behind one whose time is up for given up by their caller", func() {
		address := answering(func(conn net.Conn) { DeferCleanup(conn.Close) })
		sent := send(address, visit.Options{Pipelined: true}, planned("a", "/a", check.Whole), planned("b", "/b", check.Whole))
		Expect(sent).To(HaveLen(2))
		Expect(sent[0].Outcome.Err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(sent[1].Outcome.Left).To(BeTrue())
	})
})
