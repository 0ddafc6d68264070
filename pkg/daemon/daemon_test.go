package daemon_test

import (
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/standin/plain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	wholeBody  = `{"model":"quotes","messages":[{"role":"user","content":"liner for pond 7"}],"max_tokens":4}`
	streamBody = `{"model":"quotes","messages":[{"role":"user","content":"liner for pond 7"}],"max_tokens":4,"stream":true}`
)

// ownText is the engine's whole answer to the prompt of the bodies above.
var ownText = strings.Join(engine.Tokens("liner for pond 7", 4), "")

func failureOf(r reply) relay.ErrorDetail {
	GinkgoHelper()
	var body relay.ErrorBody
	Expect(json.Unmarshal([]byte(r.body), &body)).To(Succeed(), r.body)
	return body.Error
}

// streamedText joins the text of a stream's events.
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

var _ = Describe("a daemon before a model engine", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })
	chat := func(body string, fields ...header) reply {
		return call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", body, fields...)
	}

	It("passes a whole answer on with its verdict", func() {
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion)
		got := chat(wholeBody)
		Expect(got.status).To(Equal(200), got.body)
		Expect(got.body).To(ContainSubstring(ownText))
		Expect(got.header.Get(types.HeaderVerdict)).To(Equal("ran"))
		Expect(got.header.Get(types.HeaderServedBy)).To(Equal("e1"))
		Expect(got.header).NotTo(HaveKey(types.HeaderAttemptID))
		Eventually(f.log.String).Should(ContainSubstring(`"verdict":"ran"`))
		Expect(f.log.String()).NotTo(ContainSubstring("pond"))
		Expect(f.log.String()).NotTo(ContainSubstring(credential))
	})

	It("passes a stream on to its terminal event", func() {
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion)
		got := chat(streamBody)
		Expect(got.readErr).NotTo(HaveOccurred())
		Expect(streamedText(got.body)).To(Equal(ownText))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	DescribeTable("never passes a faulty answer on as a good one",
		func(fault engine.Fault, body string) {
			f.addEngine(engine.Options{ID: "e1"}).SetFault(fault)
			f.start(homeRegion)
			got := chat(body)
			if got.status == http.StatusOK {
				Expect(got.readErr).To(HaveOccurred())
				Expect(got.body).NotTo(ContainSubstring("[DONE]"))
				Expect(got.body).To(ContainSubstring(`"verdict":"may-have-run"`))
				return
			}
			Expect(got.status).To(Equal(502))
			Expect(failureOf(got).Verdict).To(Equal(types.MayHaveRun))
			Expect(got.header.Get(types.HeaderVerdict)).To(Equal("may-have-run"))
		},
		Entry("crossed, whole", engine.FaultCrossed, wholeBody),
		Entry("crossed, streamed", engine.FaultCrossed, streamBody),
		Entry("truncated, whole", engine.FaultTruncated, wholeBody),
		Entry("truncated, streamed", engine.FaultTruncated, streamBody),
		Entry("cut, whole", engine.FaultCut, wholeBody),
		Entry("cut, streamed", engine.FaultCut, streamBody),
		Entry("garbage, whole", engine.FaultGarbage, wholeBody),
		Entry("garbage, streamed", engine.FaultGarbage, streamBody),
	)

	It("ends a hanging attempt at the deadline", func() {
		f.addEngine(engine.Options{ID: "e1"}).SetFault(engine.FaultHang)
		f.start(homeRegion)
		got := chat(wholeBody, header{types.HeaderDeadline, "50"})
		Expect(got.status).To(Equal(504))
		Expect(failureOf(got).Code).To(Equal(types.CodeDeadline))
		Expect(failureOf(got).Verdict).To(Equal(types.MayHaveRun))
	})

	It("resumes a broken stream at a known offset without losing or doubling a token", func() {
		f.addEngine(engine.Options{ID: "e1", CanResume: true}).SetFault(engine.FaultCut)
		f.addEngine(engine.Options{ID: "e2", CanResume: true})
		f.start(homeRegion)
		for range 8 {
			got := chat(streamBody)
			Expect(got.readErr).NotTo(HaveOccurred(), got.body)
			Expect(streamedText(got.body)).To(Equal(ownText))
			Expect(strings.Count(got.body, "[DONE]")).To(Equal(1))
		}
	})

	It("does not splice the answer of an engine that can't resume", func() {
		f.addEngine(engine.Options{ID: "e1"}).SetFault(engine.FaultCut)
		f.addEngine(engine.Options{ID: "e2"}).SetFault(engine.FaultCut)
		f.start(homeRegion)
		got := chat(streamBody)
		Expect(got.readErr).To(HaveOccurred())
		Expect(ownText).To(HavePrefix(streamedText(strings.Split(got.body, `data: {"error"`)[0])))
		Expect(got.body).To(ContainSubstring(`"verdict":"may-have-run"`))
	})

	DescribeTable("refuses bad input before it runs anything",
		func(path, body string, fields []header, status int, code types.Code) {
			f.addEngine(engine.Options{ID: "e1"})
			f.start(homeRegion)
			got := call(http.MethodPost, f.entries[0].url+path, body, fields...)
			Expect(got.status).To(Equal(status), got.body)
			Expect(failureOf(got).Code).To(Equal(code))
			Expect(failureOf(got).Verdict).To(Equal(types.NotRun))
			Expect(failureOf(got).RequestID).NotTo(BeEmpty())
		},
		Entry("malformed JSON", "/v1/chat/completions", `{"model":`, nil, 400, types.CodeBadRequest),
		Entry("no model", "/v1/chat/completions", `{}`, nil, 400, types.CodeBadRequest),
		Entry("a model of others", "/v1/chat/completions", `{"model":"x"}`, nil, 403, types.CodeForbidden),
		Entry("oversize", "/v1/chat/completions", `{"model":"`+strings.Repeat("x", 1<<16)+`"}`, nil, 413, types.CodeTooLarge),
		Entry("a past deadline", "/v1/chat/completions", wholeBody, []header{{types.HeaderDeadline, "0"}}, 504, types.CodeDeadline),
		Entry("an unreadable deadline", "/v1/chat/completions", wholeBody, []header{{types.HeaderDeadline, "soon"}}, 400, types.CodeBadRequest),
		Entry("an unknown rank", "/v1/chat/completions", wholeBody, []header{{types.HeaderRank, "vip"}}, 400, types.CodeBadRequest),
		Entry("a wrong method", "/v1/models", ``, nil, 405, types.CodeBadRequest),
		Entry("an unknown path", "/v2/chat", ``, nil, 404, types.CodeUnknownService),
		Entry("a service of others", "/v1/services/stock/x", ``, nil, 403, types.CodeForbidden),
		Entry("a path with dot segments", "/v1/services/orders/stock/..%2forders", ``, nil, 400, types.CodeBadRequest),
		Entry("a key that is too long", "/v1/services/orders/new", `{}`, []header{{types.HeaderIdempotencyKey, strings.Repeat("k", 9000)}}, 400, types.CodeBadRequest),
		Entry("a wrong credential", "/v1/chat/completions", wholeBody, []header{{"Authorization", "Bearer x"}}, 401, types.CodeUnauthenticated),
	)
})

var _ = Describe("requests that may not be repeated", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })
	ticket := func(e *entry) string {
		got := call(http.MethodGet, e.url+"/v1/entries?service=orders", "")
		var answer ingress.EntriesAnswer
		Expect(json.Unmarshal([]byte(got.body), &answer)).To(Succeed())
		Expect(answer.Ticket).NotTo(BeEmpty())
		return answer.Ticket
	}
	order := func(e *entry, key string) reply {
		return call(http.MethodPost, e.url+"/v1/services/orders/new", `{"liner":"5x8"}`, header{types.HeaderIdempotencyKey, key})
	}

	It("run once, however often and wherever they are sent", func() {
		worker := f.addWorker("w1")
		f.start(homeRegion, homeRegion, homeRegion)
		key := ticket(f.entries[0])
		for range 3 {
			for _, e := range f.entries {
				got := order(e, key)
				Expect(got.status).To(Equal(200), got.body)
				Expect(got.header.Get(types.HeaderVerdict)).To(Equal("ran"))
				Expect(got.body).To(ContainSubstring(`5x8`))
			}
		}
		Expect(worker.Runs(key)).To(Equal(1))
	})

	It("are refused without a ticket and handed one", func() {
		f.addWorker("w1")
		f.start(homeRegion)
		got := order(f.entries[0], "my-key")
		Expect(got.status).To(Equal(428))
		Expect(failureOf(got).Verdict).To(Equal(types.NotRun))
		Expect(order(f.entries[0], failureOf(got).Ticket).status).To(Equal(200))
	})

	It("may have run when the worker's answer is lost, and are not run again", func() {
		worker := f.addWorker("w1")
		other := f.addWorker("w2")
		worker.SetFault(plain.FaultRunThenCut)
		other.SetFault(plain.FaultRunThenCut)
		f.start(homeRegion)
		key := ticket(f.entries[0])
		for range 3 {
			Expect(failureOf(order(f.entries[0], key)).Verdict).To(Equal(types.MayHaveRun))
		}
		Expect(worker.Runs(key) + other.Runs(key)).To(Equal(1))
	})

	It("go to another worker when a leaving one refuses", func() {
		f.addWorker("w1").SetFault(plain.FaultLeaving)
		second := f.addWorker("w2")
		f.start(homeRegion)
		for range 6 {
			key := ticket(f.entries[0])
			Expect(order(f.entries[0], key).status).To(Equal(200))
			Expect(second.Runs(key)).To(Equal(1))
		}
	})

	It("may have run when the owner is gone", func() {
		worker := f.addWorker("w1")
		f.start(homeRegion, homeRegion)
		key := ticket(f.entries[0])
		owner, other := f.ownerOf(key)
		owner.stop()
		Eventually(owner.ended, "5s").Should(Receive(BeNil()))
		got := order(other, key)
		Expect(failureOf(got).Verdict).To(Equal(types.MayHaveRun), got.body)
		Expect(worker.Runs(key)).To(BeZero())
	})
})

var _ = Describe("residency", func() {
	It("refuses in a region that the service may not use, before the body, naming entries", func() {
		f := newFleet()
		f.config.Services[model].Regions = []types.Region{farRegion}
		f.config.Services[orders].Regions = []types.Region{farRegion}
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, farRegion)
		request, err := http.NewRequest(http.MethodPost, f.entries[0].url+"/v1/chat/completions", neverRead{})
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

	It("asks for the service's name when the caller's services differ", func() {
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
		Expect(call(http.MethodPost, url, wholeBody).status).To(Equal(421))
		Expect(call(http.MethodPost, url, wholeBody, header{types.HeaderService, "quotes"}).status).To(Equal(200))
		Expect(call(http.MethodPost, url, wholeBody, header{types.HeaderService, "far"}).status).To(Equal(421))
	})
})

// neverRead is a body that must not be asked for.
type neverRead struct{}

// Read fails the test.
func (neverRead) Read([]byte) (int, error) {
	defer GinkgoRecover()
	Fail("the body was read")
	return 0, http.ErrBodyReadAfterClose
}

// ownerOf returns the daemon that a ticket binds to, and another one.
func (f *fleet) ownerOf(ticket string) (owner, other *entry) {
	GinkgoHelper()
	for i, e := range f.entries {
		if ticketOwner(ticket) == e.Self().Incarnation {
			return e, f.entries[(i+1)%len(f.entries)]
		}
	}
	Fail("no owner")
	return nil, nil
}

var _ = Describe("a graceful stop", func() {
	It("finishes streams in flight and leaves the entry answers", func() {
		f := newFleet()
		f.addEngine(engine.Options{ID: "e1"})
		f.start(homeRegion, homeRegion)
		long := strings.Replace(streamBody, `"max_tokens":4`, `"max_tokens":200`, 1)
		answers := make(chan reply, 1)
		started := f.entries[0].Load().Endpoints[model][0].Counters
		go func() {
			defer GinkgoRecover()
			answers <- call(http.MethodPost, f.entries[0].url+"/v1/chat/completions", long)
		}()
		Eventually(started.InFlight.Load).Should(BeNumerically("==", 1))
		f.entries[0].stop()
		Eventually(func() bool { return f.entries[0].Load().Draining }).Should(BeTrue())
		var got reply
		Eventually(answers, "10s").Should(Receive(&got))
		Expect(got.readErr).NotTo(HaveOccurred())
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(f.entries[0].ended, "5s").Should(Receive(BeNil()))
	})
})
