package client_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/flamingomount/flamingomount/client"
	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

// patience bounds how long a test waits for the deployment; no check depends on
// it.
const patience = time.Minute

func start(engineOptions engine.Options, daemons int) (*deployment.Deployment, *http.Client) {
	GinkgoHelper()
	one, err := deployment.Start(deployment.Plan{
		Config: deployment.Config(1, "kathmandu"), Model: deployment.Model, Orders: deployment.Orders,
		Engine:  engineOptions,
		Regions: []deployment.RegionPlan{{Region: "kathmandu", Daemons: daemons, Engines: 1, Workers: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(one.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	DeferCleanup(cancel)
	Expect(one.WaitReady(ctx)).To(Succeed())
	var addresses []string
	for _, entry := range one.Entries() {
		addresses = append(addresses, strings.TrimPrefix(entry.URL(), "http://"))
	}
	entries, err := client.New(client.Options{Directory: client.Addresses(addresses...), Credential: deployment.Credential})
	Expect(err).NotTo(HaveOccurred())
	return one, &http.Client{Transport: entries}
}

func params(tokens int64, prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     string(deployment.Model),
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

var _ = Describe("OpenAI's client library over the entries", func() {
	library := func(httpClient *http.Client) openai.Client {
		return openai.NewClient(option.WithBaseURL("http://gateway/v1/"), option.WithHTTPClient(httpClient),
			option.WithAPIKey(deployment.Credential), option.WithMaxRetries(0))
	}
	const prompt = "which tube for a phono stage?"
	own := strings.Join(engine.Tokens(prompt, 5), "")

	It("receives whole answers, streams and errors", func(ctx context.Context) {
		_, httpClient := start(engine.Options{}, 2)
		service := library(httpClient)
		answer, err := service.Chat.Completions.New(ctx, params(5, prompt))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Message.Content).To(Equal(own))

		stream := service.Chat.Completions.NewStreaming(ctx, params(5, prompt))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(own))

		models, err := service.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data[0].ID).To(Equal(string(deployment.Model)))

		wrong := params(5, prompt)
		wrong.Model = "nobody's"
		_, err = service.Chat.Completions.New(ctx, wrong)
		var failure *openai.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.StatusCode).To(Equal(403))
		Expect(failure.Code).To(Equal(string(types.CodeForbidden)))
		Expect(failure.Message).NotTo(BeEmpty())
		Expect(failure.Response.Header.Get(types.HeaderVerdict)).To(Equal("not-run"))
	})

	It("cancels a stream, which frees the engine's slot", func(ctx context.Context) {
		one, httpClient := start(engine.Options{Slots: 1, TokenInterval: 5 * time.Millisecond}, 1)
		service := library(httpClient)
		cancelled, cancel := context.WithCancel(ctx)
		stream := service.Chat.Completions.NewStreaming(cancelled, params(100_000, "endless"))
		Expect(stream.Next()).To(BeTrue())
		cancel()
		for stream.Next() {
		}
		Expect(stream.Err()).To(MatchError(context.Canceled))
		endpoint := one.Entries()[0].Load().Endpoints[deployment.Model][0]
		Eventually(endpoint.Counters.InFlight.Load).WithTimeout(patience).Should(BeZero())
		answer, err := service.Chat.Completions.New(ctx, params(5, prompt))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Message.Content).To(Equal(own))
	})
})

var _ = Describe("the client", func() {
	It("gets a ticket for an order and turns to another entry when one is gone", func() {
		one, httpClient := start(engine.Options{}, 2)
		order := func() *http.Response {
			response, err := httpClient.Post("http://gateway/v1/services/"+string(deployment.Orders)+"/orders", "application/json", strings.NewReader("{}"))
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			Expect(response.Body.Close()).To(Succeed())
			return response
		}
		Expect(order().Header.Get(types.HeaderVerdict)).To(Equal("ran"))
		Expect(one.Entries()[0].Stop()).To(Succeed())
		for range 4 {
			Expect(order().Header.Get(types.HeaderVerdict)).To(Equal("ran"))
		}
	})

	It("sends on only what was not run", func() {
		var sends atomic.Int64
		answer := func(verdict types.Verdict, code string) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				sends.Add(1)
				w.Header().Set(types.HeaderVerdict, verdict.String())
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, `{"error":{"code":"`+code+`"}}`)
			}
		}
		for _, verdict := range []types.Verdict{types.NotRun, types.MayHaveRun} {
			var addresses []string
			mux := http.NewServeMux()
			for range 2 {
				server := httptest.NewServer(mux)
				DeferCleanup(server.Close)
				addresses = append(addresses, server.Listener.Addr().String())
			}
			mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"entries":[{"address":"`+strings.Join(addresses, `"},{"address":"`)+`"}],"lifetime_ms":5000}`)
			})
			mux.HandleFunc("/", answer(verdict, "draining"))
			entries, err := client.New(client.Options{Directory: client.Addresses(addresses...), Credential: "c"})
			Expect(err).NotTo(HaveOccurred())
			sends.Store(0)
			response, err := (&http.Client{Transport: entries}).Post("http://gateway/v1/completions", "", strings.NewReader("{}"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(sends.Load()).To(Equal(int64(2 - verdict)))
		}
	})

	It("says that a request may have run when its connection broke", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/entries" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, `{"entries":[{"address":"`+r.Host+`"}],"lifetime_ms":5000,"ticket":"t1","ticket_entry":"`+r.Host+`"}`)
		}))
		DeferCleanup(server.Close)
		entries, err := client.New(client.Options{Directory: client.Addresses(server.Listener.Addr().String()), Credential: "c"})
		Expect(err).NotTo(HaveOccurred())
		_, err = (&http.Client{Transport: entries}).Post("http://gateway/v1/services/orders/new", "", strings.NewReader("{}"))
		var failure *client.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Verdict).To(Equal(types.MayHaveRun))
		Expect(failure.Key).To(Equal("t1"))
	})
})
