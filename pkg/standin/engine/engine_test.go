package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

func ask(url, body string, header http.Header) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header = header.Clone()
	req.Header.Set(types.HeaderAttemptID, "a1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

const streamed = `{"model":"m","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"hello"}]}`

var _ = Describe("the engine stand-in", func() {
	serve := func(opts engine.Options) (*engine.Engine, string) {
		e := engine.New(opts)
		server := httptest.NewServer(e)
		DeferCleanup(server.Close)
		return e, server.URL
	}

	It("streams the answer to the prompt and ends it", func() {
		_, url := serve(engine.Options{})
		resp, body, err := ask(url, streamed, http.Header{})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get(types.HeaderAttemptID)).To(Equal("a1"))
		for _, token := range engine.Tokens("hello", 4) {
			Expect(body).To(ContainSubstring(token))
		}
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("resumes at the offset asked for", func() {
		_, url := serve(engine.Options{CanResume: true})
		_, body, err := ask(url, streamed, http.Header{types.HeaderResumeOffset: {"3"}})
		Expect(err).NotTo(HaveOccurred())
		tokens := engine.Tokens("hello", 4)
		Expect(body).NotTo(ContainSubstring(tokens[2]))
		Expect(body).To(ContainSubstring(tokens[3]))
	})

	It("crashes on a marked prompt until it is restarted", func() {
		e, url := serve(engine.Options{CrashOnMark: true})
		marked := strings.Replace(streamed, "hello", engine.CrashMark, 1)
		_, _, err := ask(url, marked, http.Header{})
		Expect(err).To(HaveOccurred())
		Expect(e.Dead()).To(BeTrue())
		_, _, err = ask(url, streamed, http.Header{})
		Expect(err).To(HaveOccurred())
		e.Restart()
		_, _, err = ask(url, streamed, http.Header{})
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("shows faults that leave an answer unfinished",
		func(fault engine.Fault) {
			e, url := serve(engine.Options{})
			e.SetFault(fault)
			_, body, _ := ask(url, streamed, http.Header{})
			Expect(body).NotTo(ContainSubstring("[DONE]"))
		},
		Entry("truncated", engine.FaultTruncated),
		Entry("cut", engine.FaultCut),
		Entry("garbage", engine.FaultGarbage),
	)
})
