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

var _ = Describe("Receiver refusal", func() {
	DescribeTable("has a verdict that covers earlier sends of the request", func(ticket string, want types.Verdict) {
		receiver := forward.NewReceiver(forward.ReceiverOptions{})
		incoming := httptest.NewRequest(http.MethodPost, forward.Path, strings.NewReader("order"))
		incoming.Header.Set(types.HeaderTicket, ticket)
		recorder := httptest.NewRecorder()
		receiver.ServeHTTP(recorder, incoming)
		Expect(recorder.Code).To(Equal(http.StatusForbidden))
		Expect(recorder.Header().Get(types.HeaderVerdict)).To(Equal(want.String()))
	},
		Entry("with a ticket: the request may have run before", "fm1.k.claims.signature", types.MayHaveRun),
		Entry("without a ticket: nothing has run", "", types.NotRun),
	)
})
