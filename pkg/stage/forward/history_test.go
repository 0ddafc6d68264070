package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stage/forward"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("a refusal of the receiver", func() {
	DescribeTable("speaks for the whole history of the request", func(ticket string, want types.Verdict) {
		receiver := forward.NewReceiver(forward.ReceiverOptions{})
		incoming := httptest.NewRequest(http.MethodPost, forward.Path, strings.NewReader("order"))
		incoming.Header.Set(types.HeaderTicket, ticket)
		answer := httptest.NewRecorder()
		receiver.ServeHTTP(answer, incoming)
		Expect(answer.Code).To(Equal(http.StatusForbidden))
		Expect(answer.Header().Get(types.HeaderVerdict)).To(Equal(want.String()))
	},
		Entry("a ticket may have run before", "fm1.k.claims.signature", types.MayHaveRun),
		Entry("without a ticket nothing ran", "", types.NotRun),
	)
})
