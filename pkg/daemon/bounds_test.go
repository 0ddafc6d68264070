package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// specTimeout is the longest time that a spec waits for an event; no check
// depends on its value.
const specTimeout = 20 * time.Second

// engineHandler returns a handler that responds as an engine does: it echoes the
// attempt ID in the header and lets write produce the body.
func engineHandler(write func(w http.ResponseWriter, r *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
		write(w, r)
	})
}

var _ = Describe("limits and timeouts", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })

	DescribeTable("a caller's rank header can lower the rank of its request but not raise it",
		func(published types.Rank, requested, want string) {
			priorities := make(chan string, 1)
			f.config.Services[model].MaxRank = published
			f.addEndpoint("e1", model, f.serve(engineHandler(func(w http.ResponseWriter, r *http.Request) {
				priorities <- r.Header.Get(types.HeaderPriority)
				_, _ = io.WriteString(w, "{}")
			})))
			f.start(homeRegion)
			resp := call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", unaryBody, header{types.HeaderRank, requested})
			Expect(resp.status).To(Equal(200), resp.body)
			Expect(<-priorities).To(Equal(want))
		},
		Entry("urgent service, patient caller", types.RankUrgent, "patient", "1"),
		Entry("urgent service, urgent caller", types.RankUrgent, "urgent", "0"),
		Entry("patient service, urgent caller", types.RankPatient, "urgent", "1"),
	)

	It("refuses a request whose body arrives too slowly, without running it", func() {
		f.tune = func(s *settings.Settings) { s.Timeouts.Body = 100 * time.Millisecond }
		f.start(homeRegion)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.entries[0].url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", credential)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(response.Header.Get(types.HeaderVerdict)).To(Equal("not-run"))
	})

	It("disconnects a caller that reads too slowly and cancels its attempt", func() {
		f.tune = func(s *settings.Settings) { s.Timeouts.Write = 100 * time.Millisecond }
		event := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", 64<<10) + `"}}]}` + "\n\n"
		cancelled := make(chan struct{})
		f.addEndpoint("e1", model, f.serve(engineHandler(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, event)
			}
			close(cancelled)
		})))
		f.start(homeRegion)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.entries[0].url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, rawRequest("x", true))
		Expect(err).NotTo(HaveOccurred())
		Eventually(cancelled, specTimeout).Should(BeClosed())
		Eventually(f.log.String, specTimeout).Should(ContainSubstring(`"code":"caller_gone"`))
	})

	It("ends a stream when its endpoint stops sending events", func() {
		f.tune = func(s *settings.Settings) { s.Timeouts.Answer = 100 * time.Millisecond }
		f.addEndpoint("e1", model, f.serve(engineHandler(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"a"}}]}`+"\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})))
		f.start(homeRegion)
		resp := call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", streamBody)
		Expect(resp.readErr).To(HaveOccurred())
		Expect(resp.body).To(ContainSubstring(`"verdict":"may-have-run"`))
		Expect(resp.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("refuses a request that exceeds the memory limit for bodies", func() {
		f.tune = func(s *settings.Settings) { s.Limits.BodyMemory = 64 }
		f.start(homeRegion)
		resp := call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", unaryBody)
		Expect(resp.status).To(Equal(429))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(failureOf(resp).Verdict).To(Equal(types.NotRun))
	})
})
