package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("Questions where a request would go", func() {
	ask := func(handler http.Handler, query string) (int, explain.Problem) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query, nil))
		var problem explain.Problem
		Expect(json.Unmarshal(recorder.Body.Bytes(), &problem)).To(Succeed())
		return recorder.Code, problem
	}
	answering := func(context.Context, explain.Question) (*explain.Answer, *types.Failure) {
		return &explain.Answer{API: explain.APIVersion, Outcome: explain.Waits}, nil
	}

	ginkgo.It("are bounded in rate", func() {
		handler := newExplainHandler(answering)
		codes := map[int]int{}
		for range 4 * explainBurst {
			code, _ := ask(handler, "host=a&path=/")
			codes[code]++
		}
		Expect(codes[http.StatusOK]).To(BeNumerically(">=", explainBurst))
		Expect(codes[http.StatusTooManyRequests]).To(BeNumerically(">", 0))
	})

	ginkgo.It("that can't be read, or that the daemon can't answer, get a problem", func() {
		code, problem := ask(newExplainHandler(answering), "host=a")
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(problem.Message).To(ContainSubstring("path"))
		starting := func(context.Context, explain.Question) (*explain.Answer, *types.Failure) {
			return nil, types.NewFailure(types.NotRun, types.CodeNotReady, "no configuration")
		}
		code, problem = ask(newExplainHandler(starting), "host=a&path=/")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(problem.Code).To(Equal(types.CodeNotReady))
	})
})
