package dispatch_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/cutupload"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// newCuttingServer starts an endpoint that answers as soon as it has the head of a request and
// resets the connection while the body is still being written.
func newCuttingServer(rest string) net.Listener {
	GinkgoHelper()
	listener, err := cutupload.Listen(func(header http.Header) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s", types.HeaderAttemptID, header.Get(types.HeaderAttemptID), rest)
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener
}

var _ = Describe("an answer that is cut off while the upload is written", func() {
	const tries, upload = 40, 30 << 20

	// What net/http gives without a check; if this fails, the checks may have become needless.
	It("may be taken for complete by the transport alone", func() {
		server, complete := newCuttingServer("\r\npart"), 0
		transport := dispatch.NewTransport(true)
		defer transport.CloseIdleConnections()
		body := strings.Repeat("x", upload)
		for tried := 0; complete == 0 && tried < 10*tries; tried++ {
			outgoing, err := http.NewRequest(http.MethodPost, "http://"+server.Addr().String(), strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			response, err := transport.RoundTrip(outgoing)
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(response.Body); err == nil {
				complete++
			}
			_ = response.Body.Close()
		}
		Expect(complete).NotTo(BeZero())
	})

	DescribeTable("is never taken for complete", func(streamed bool, rest string) {
		server := newCuttingServer(rest)
		body := strings.Repeat("x", upload)
		for range tries {
			req := newRequest(false, body)
			req.Streamed = streamed
			summary, recorder := run(newDispatcher(server.Addr().String()), req)
			Expect(summary.Verdict).To(Equal(types.MayHaveRun))
			Expect(recorder.Body.String()).NotTo(Equal("part"))
			Expect(recorder.Body.String()).NotTo(ContainSubstring("[DONE]"))
		}
	},
		Entry("without a length", false, "\r\npart"),
		Entry("stream without a length, at the end of an event", true, "Content-Type: text/event-stream\r\n\r\ndata: {}\n\n"),
		Entry("stream without a length, inside an event", true, "Content-Type: text/event-stream\r\n\r\ndata: {}\n\ndata"),
		Entry("with a length", false, "Content-Length: 10\r\n\r\npart"),
		Entry("in chunks", false, "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
	)
})
