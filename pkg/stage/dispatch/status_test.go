package dispatch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// newRawServer starts an endpoint that answers each request on a connection with the text that
// respond returns for the attempt's ID, after it has read the whole request.
func newRawServer(respond func(attempt string) string) net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var running conc.WaitGroup
	running.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { answerAll(connection, respond) })
		}
	})
	DeferCleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return listener
}

func answerAll(connection net.Conn, respond func(attempt string) string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, incoming.Body)
		if _, err := io.WriteString(connection, respond(incoming.Header.Get(types.HeaderAttemptID))); err != nil {
			return
		}
	}
}

// Guards against responses of endpoints in trouble that were given to callers, or closed their
// connections without an answer, although their status is none.
var _ = Describe("a response whose status is none", func() {
	DescribeTable("is a failure of its endpoint, which may have run the request", func(statusLine string) {
		requests := 0
		server := newRawServer(func(attempt string) string {
			requests++
			return fmt.Sprintf("%s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", statusLine, types.HeaderAttemptID, attempt)
		})
		summary, recorder := run(newDispatcher(server.Addr().String()), newRequest(false, "order"))
		Expect(recorder.Code).To(Equal(http.StatusBadGateway))
		Expect(summary.Verdict).To(Equal(types.MayHaveRun))
		Expect(requests).To(Equal(1))
	},
		Entry("000", "HTTP/1.1 000 None"),
		Entry("099", "HTTP/1.1 099 None"),
		Entry("600", "HTTP/1.1 600 None"),
		Entry("999", "HTTP/1.1 999 None"),
		Entry("101, for which nobody asked", "HTTP/1.1 101 Switching Protocols"),
		Entry("no digits", "HTTP/1.1 2x0 OK"),
		Entry("nothing", "HTTP/1.1"),
	)
})
