package daemon_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/standin/plain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	unaryBody  = `{"model":"quotes","messages":[{"role":"user","content":"liner for pond 7"}],"max_tokens":4}`
	streamBody = `{"model":"quotes","messages":[{"role":"user","content":"liner for pond 7"}],"max_tokens":4,"stream":true}`
)

// expectedText is the engine's complete response text for the prompt of the bodies
// above.
var expectedText = strings.Join(engine.Tokens("liner for pond 7", 4), "")

func failureOf(r response) relay.ErrorDetail {
	GinkgoHelper()
	var body relay.ErrorBody
	Expect(json.Unmarshal([]byte(r.body), &body)).To(Succeed(), r.body)
	return body.Error
}

// streamedText returns the concatenated text of a stream's events.
func streamedText(body string) string {
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		data, found := strings.CutPrefix(line, "data: {")
		if !found {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		Expect(json.Unmarshal([]byte("{"+data), &chunk)).To(Succeed())
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

var _ = Describe("a daemon in front of a model engine", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })
	chat := func(body string, fields ...header) response {
		return call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", body, fields...)
	}

	It("relays a unary response with its verdict", func() {
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion)
		resp := chat(unaryBody)
		Expect(resp.status).To(Equal(200), resp.body)
		Expect(resp.body).To(ContainSubstring(expectedText))
		Expect(resp.header.Get(types.HeaderVerdict)).To(Equal("ran"))
		Expect(resp.header.Get(types.HeaderServedBy)).To(Equal("e1"))
		Expect(resp.header).NotTo(HaveKey(types.HeaderAttemptID))
		Eventually(f.log.String).Should(ContainSubstring(`"verdict":"ran"`))
		Expect(f.log.String()).NotTo(ContainSubstring("pond"))
		Expect(f.log.String()).NotTo(ContainSubstring(credential))
	})

	It("relays a stream up to its terminal event", func() {
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion)
		resp := chat(streamBody)
		Expect(resp.readErr).NotTo(HaveOccurred())
		Expect(streamedText(resp.body)).To(Equal(expectedText))
		Expect(resp.body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	DescribeTable("never relays a faulty response as a successful one",
		func(fault engine.Fault, body string) {
			f.addEngine(engine.Options{ID: "e1"}).SetFault(fault)
			f.start(homeRegion)
			resp := chat(body)
			if resp.status == http.StatusOK {
				Expect(resp.readErr).To(HaveOccurred())
				Expect(resp.body).NotTo(ContainSubstring("[DONE]"))
				Expect(resp.body).To(ContainSubstring(`"verdict":"may-have-run"`))
				return
			}
			Expect(resp.status).To(Equal(502))
			Expect(failureOf(resp).Verdict).To(Equal(types.MayHaveRun))
			Expect(resp.header.Get(types.HeaderVerdict)).To(Equal("may-have-run"))
		},
		Entry("crossed, unary", engine.FaultCrossed, unaryBody),
		Entry("crossed, streamed", engine.FaultCrossed, streamBody),
		Entry("truncated, unary", engine.FaultTruncated, unaryBody),
		Entry("truncated, streamed", engine.FaultTruncated, streamBody),
		Entry("cut, unary", engine.FaultCut, unaryBody),
		Entry("cut, streamed", engine.FaultCut, streamBody),
		Entry("garbage, unary", engine.FaultGarbage, unaryBody),
		Entry("garbage, streamed", engine.FaultGarbage, streamBody),
	)

	It("ends a hanging attempt at the deadline", func() {
		f.addEngine(engine.Options{ID: "e1"}).SetFault(engine.FaultHang)
		f.start(homeRegion)
		resp := chat(unaryBody, header{types.HeaderDeadline, "50"})
		Expect(resp.status).To(Equal(504))
		Expect(failureOf(resp).Code).To(Equal(types.CodeDeadline))
		Expect(failureOf(resp).Verdict).To(Equal(types.MayHaveRun))
	})

	It("resumes an interrupted stream at a known offset without losing or duplicating a token", func() {
		f.addEngine(engine.Options{ID: "e1", CanResume: true}).SetFault(engine.FaultCut)
		f.addEngine(engine.Options{ID: "e2", CanResume: true})
		f.start(homeRegion)
		for range 8 {
			resp := chat(streamBody)
			Expect(resp.readErr).NotTo(HaveOccurred(), resp.body)
			Expect(streamedText(resp.body)).To(Equal(expectedText))
			Expect(strings.Count(resp.body, "[DONE]")).To(Equal(1))
		}
	})

	It("does not continue an interrupted stream when the engines can't resume", func() {
		f.addEngine(engine.Options{ID: "e1"}).SetFault(engine.FaultCut)
		f.addEngine(engine.Options{ID: "e2"}).SetFault(engine.FaultCut)
		f.start(homeRegion)
		resp := chat(streamBody)
		Expect(resp.readErr).To(HaveOccurred())
		Expect(expectedText).To(HavePrefix(streamedText(strings.Split(resp.body, `data: {"error"`)[0])))
		Expect(resp.body).To(ContainSubstring(`"verdict":"may-have-run"`))
	})

	DescribeTable("refuses invalid requests without running them",
		func(path, body string, fields []header, status int, code types.Code) {
			f.addEngine(engine.Options{ID: "e1"})
			f.start(homeRegion)
			resp := call(http.MethodPost, f.entries[0].url+path, body, fields...)
			Expect(resp.status).To(Equal(status), resp.body)
			Expect(failureOf(resp).Code).To(Equal(code))
			Expect(failureOf(resp).Verdict).To(Equal(types.NotRun))
			Expect(failureOf(resp).RequestID).NotTo(BeEmpty())
		},
		Entry("malformed JSON", "/v1/chat/completions", `{"model":`, nil, 400, types.CodeBadRequest),
		Entry("no model", "/v1/chat/completions", `{}`, nil, 400, types.CodeBadRequest),
		Entry("a model that the credential does not allow", "/v1/chat/completions", `{"model":"x"}`, nil, 403, types.CodeForbidden),
		Entry("a body above the size limit", "/v1/chat/completions", `{"model":"`+strings.Repeat("x", 1<<16)+`"}`, nil, 413, types.CodeTooLarge),
		Entry("an expired deadline", "/v1/chat/completions", unaryBody, []header{{types.HeaderDeadline, "0"}}, 504, types.CodeDeadline),
		Entry("a malformed deadline", "/v1/chat/completions", unaryBody, []header{{types.HeaderDeadline, "soon"}}, 400, types.CodeBadRequest),
		Entry("an unknown rank", "/v1/chat/completions", unaryBody, []header{{types.HeaderRank, "vip"}}, 400, types.CodeBadRequest),
		Entry("a wrong method", "/v1/models", ``, nil, 405, types.CodeBadRequest),
		Entry("an unknown path", "/v2/chat", ``, nil, 404, types.CodeUnknownService),
		Entry("a service that the credential does not allow", "/v1/services/stock/x", ``, nil, 403, types.CodeForbidden),
		Entry("a path with dot segments", "/v1/services/orders/stock/..%2forders", ``, nil, 400, types.CodeBadRequest),
		Entry("an idempotency key that is too long", "/v1/services/orders/new", `{}`, []header{{types.HeaderIdempotencyKey, strings.Repeat("k", 9000)}}, 400, types.CodeBadRequest),
		Entry("a wrong credential", "/v1/chat/completions", unaryBody, []header{{"Authorization", "Bearer x"}}, 401, types.CodeUnauthenticated),
	)
})

var _ = Describe("a body of unknown length", func() {
	It("is refused as soon as it is too large, without a wait for its end", func() {
		const chunk, slack = 1 << 17, 2 * time.Second
		f := newFleet()
		f.start(homeRegion)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.entries[0].url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", credential, chunk, strings.Repeat("x", chunk))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(slack))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(413))
		Expect(response.Close).To(BeTrue())
	})
})

var _ = Describe("requests that may not be repeated", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })
	issueTicket := func(e *entry) string {
		resp := call(http.MethodGet, e.url+"/v1/entries?service=orders", "")
		var entryList ingress.EntriesResponse
		Expect(json.Unmarshal([]byte(resp.body), &entryList)).To(Succeed())
		Expect(entryList.Ticket).NotTo(BeEmpty())
		return entryList.Ticket
	}
	sendOrder := func(e *entry, key string) response {
		return call(http.MethodPost, e.url+"/v1/services/orders/new", `{"liner":"5x8"}`, header{types.HeaderIdempotencyKey, key})
	}

	It("run once, however often and to whichever daemon they are sent", func() {
		worker := f.addWorker("w1")
		f.start(homeRegion, homeRegion, homeRegion)
		key := issueTicket(f.entries[0])
		for range 3 {
			for _, e := range f.entries {
				resp := sendOrder(e, key)
				Expect(resp.status).To(Equal(200), resp.body)
				Expect(resp.header.Get(types.HeaderVerdict)).To(Equal("ran"))
				Expect(resp.body).To(ContainSubstring(`5x8`))
			}
		}
		Expect(worker.Runs(key)).To(Equal(1))
	})

	It("are refused without a ticket; the refusal carries one", func() {
		f.addWorker("w1")
		f.start(homeRegion)
		resp := sendOrder(f.entries[0], "my-key")
		Expect(resp.status).To(Equal(428))
		Expect(failureOf(resp).Verdict).To(Equal(types.NotRun))
		Expect(sendOrder(f.entries[0], failureOf(resp).Ticket).status).To(Equal(200))
	})

	It("get the verdict may-have-run when the worker's response is lost, and are not run again", func() {
		worker := f.addWorker("w1")
		other := f.addWorker("w2")
		worker.SetFault(plain.FaultRunThenCut)
		other.SetFault(plain.FaultRunThenCut)
		f.start(homeRegion)
		key := issueTicket(f.entries[0])
		for range 3 {
			Expect(failureOf(sendOrder(f.entries[0], key)).Verdict).To(Equal(types.MayHaveRun))
		}
		Expect(worker.Runs(key) + other.Runs(key)).To(Equal(1))
	})

	It("go to another worker when a leaving worker refuses them", func() {
		f.addWorker("w1").SetFault(plain.FaultLeaving)
		second := f.addWorker("w2")
		f.start(homeRegion)
		for range 6 {
			key := issueTicket(f.entries[0])
			Expect(sendOrder(f.entries[0], key).status).To(Equal(200))
			Expect(second.Runs(key)).To(Equal(1))
		}
	})

	It("get the verdict may-have-run when the ticket's owner has stopped", func() {
		worker := f.addWorker("w1")
		f.start(homeRegion, homeRegion)
		key := issueTicket(f.entries[0])
		owner, other := f.ownerOf(key)
		owner.stop()
		Eventually(owner.ended, "5s").Should(Receive(BeNil()))
		resp := sendOrder(other, key)
		Expect(failureOf(resp).Verdict).To(Equal(types.MayHaveRun), resp.body)
		Expect(worker.Runs(key)).To(BeZero())
	})
})

var _ = Describe("data residency", func() {
	It("refuses a request in a region that the service may not use before reading its body, and lists entries of an allowed region", func() {
		f := newFleet()
		f.config.Services[model].Regions = []types.Region{farRegion}
		f.config.Services[orders].Regions = []types.Region{farRegion}
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, farRegion)
		request, err := http.NewRequest(http.MethodPost, f.entries[0].url+"/v1/chat/completions", unreadableBody{})
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+credential)
		request.Header.Set("Expect", "100-continue")
		request.ContentLength = 1000
		transport := &http.Transport{ExpectContinueTimeout: 1 << 40}
		defer transport.CloseIdleConnections()
		response, err := transport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(421))
		var body relay.ErrorBody
		Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
		Expect(body.Error.Entries).To(ConsistOf(types.VMID(f.entries[1].Self().CallerAddress)))
	})

	It("needs the service header when the regions of the caller's services differ", func() {
		f := newFleet()
		f.config.Services["far"] = f.config.Services[model]
		far := *f.config.Services[model]
		far.Name, far.Regions = "far", []types.Region{farRegion}
		f.config.Services["far"] = &far
		for _, c := range f.config.Credentials {
			c.Services = append(c.Services, "far")
		}
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion)
		url := f.entries[0].url + "/v1/chat/completions"
		Expect(call(http.MethodPost, url, unaryBody).status).To(Equal(421))
		Expect(call(http.MethodPost, url, unaryBody, header{types.HeaderService, "quotes"}).status).To(Equal(200))
		Expect(call(http.MethodPost, url, unaryBody, header{types.HeaderService, "far"}).status).To(Equal(421))
	})
})

// unreadableBody is a request body that must not be read.
type unreadableBody struct{}

// Read fails the test, since the daemon must not ask for the body.
func (unreadableBody) Read([]byte) (int, error) {
	defer GinkgoRecover()
	Fail("the request body was read although the request must be refused first")
	return 0, http.ErrBodyReadAfterClose
}

// ownerOf returns the daemon that owns a ticket, and another daemon.
func (f *fleet) ownerOf(ticket string) (owner, other *entry) {
	GinkgoHelper()
	for i, e := range f.entries {
		if ticketOwner(ticket) == e.Self().Incarnation {
			return e, f.entries[(i+1)%len(f.entries)]
		}
	}
	Fail("no daemon of the fleet owns the ticket")
	return nil, nil
}

var _ = Describe("a graceful shutdown", func() {
	// A daemon whose snapshot is marked as draining is left out of the entry lists
	// sent to callers.
	It("finishes streams in flight and marks the daemon as draining", func() {
		f := newFleet()
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, homeRegion)
		longBody := strings.Replace(streamBody, `"max_tokens":4`, `"max_tokens":200`, 1)
		responses := make(chan response, 1)
		counters := f.entries[0].Load().Endpoints[model][0].Counters
		go func() {
			defer GinkgoRecover()
			responses <- call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", longBody)
		}()
		Eventually(counters.InFlight.Load).Should(BeNumerically("==", 1))
		f.entries[0].stop()
		Eventually(func() bool { return f.entries[0].Load().Draining }).Should(BeTrue())
		var resp response
		Eventually(responses, "10s").Should(Receive(&resp))
		Expect(resp.readErr).NotTo(HaveOccurred())
		Expect(resp.body).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(f.entries[0].ended, "5s").Should(Receive(BeNil()))
	})

	It("answers a request whose header is complete only after the listener is closed", func() {
		f := newFleet()
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion)
		address := strings.TrimPrefix(f.entries[0].url, "http://")
		connection, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		_, err = io.WriteString(connection, "GET /v1/entries HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		f.entries[0].stop()
		Eventually(func() error {
			probe, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				_ = probe.Close()
			}
			return err
		}, "10s").ShouldNot(Succeed())
		_, err = io.WriteString(connection, "Host: h\r\nAuthorization: Bearer "+credential+"\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.Close).To(BeTrue())
		Eventually(f.entries[0].ended, "10s").Should(Receive(BeNil()))
	})
})
