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

// patience bounds how long a spec waits; no check depends on it.
const patience = 20 * time.Second

// echoing answers as an engine does, with its own way of writing the body.
func echoing(write func(w http.ResponseWriter, r *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
		write(w, r)
	})
}

var _ = Describe("bounds", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })

	DescribeTable("a caller's rank is lowered by its own header, never raised",
		func(published types.Rank, asked, want string) {
			seen := make(chan string, 1)
			f.config.Services[model].MaxRank = published
			f.addEndpoint("e1", model, f.serve(echoing(func(w http.ResponseWriter, r *http.Request) {
				seen <- r.Header.Get(types.HeaderPriority)
				_, _ = io.WriteString(w, "{}")
			})))
			f.start(homeRegion)
			got := call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", wholeBody, header{types.HeaderRank, asked})
			Expect(got.status).To(Equal(200), got.body)
			Expect(<-seen).To(Equal(want))
		},
		Entry("urgent service, patient caller", types.RankUrgent, "patient", "1"),
		Entry("urgent service, urgent caller", types.RankUrgent, "urgent", "0"),
		Entry("patient service, urgent caller", types.RankPatient, "urgent", "1"),
	)

	It("a body that is sent too slowly is refused and not run", func() {
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

	It("a slow reader is dropped, which cancels its attempt", func() {
		f.tune = func(s *settings.Settings) { s.Timeouts.Write = 100 * time.Millisecond }
		event := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", 64<<10) + `"}}]}` + "\n\n"
		cancelled := make(chan struct{})
		f.addEndpoint("e1", model, f.serve(echoing(func(w http.ResponseWriter, r *http.Request) {
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
		Eventually(cancelled, patience).Should(BeClosed())
		Eventually(f.log.String, patience).Should(ContainSubstring(`"code":"caller_gone"`))
	})

	It("an endpoint that falls silent inside a stream is dropped", func() {
		f.tune = func(s *settings.Settings) { s.Timeouts.Answer = 100 * time.Millisecond }
		f.addEndpoint("e1", model, f.serve(echoing(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"a"}}]}`+"\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})))
		f.start(homeRegion)
		got := call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", streamBody)
		Expect(got.readErr).To(HaveOccurred())
		Expect(got.body).To(ContainSubstring(`"verdict":"may-have-run"`))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("requests and their memory are bounded", func() {
		f.tune = func(s *settings.Settings) { s.Limits.BodyMemory = 64 }
		f.start(homeRegion)
		got := call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", wholeBody)
		Expect(got.status).To(Equal(429))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(failureOf(got).Verdict).To(Equal(types.NotRun))
	})
})
