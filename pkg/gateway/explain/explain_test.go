package explain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

var _ = Describe("A question", func() {
	It("is read as it was sent", func() {
		q := explain.Question{
			Method: "GET", Host: "a.example", Path: "/r/a%2Fb?x=1", PromptTokens: 1460, OutputTokens: 80, Organisation: "ferry", Region: "north",
			Parts: []explain.Part{{ID: "5c1e", Tokens: 800}, {ID: "e440", Tokens: 250}},
		}
		Expect(explain.Decode(q.Encode().Encode())).To(Equal(q))
	})

	DescribeTable("that can't be used is refused with the reason", func(query, reason string) {
		_, err := explain.Decode(query)
		Expect(err).To(MatchError(ContainSubstring(reason)))
	},
		Entry("no host", "path=/", "host and path"),
		Entry("no absolute path", "host=a&path=x", "slash"),
		Entry("tokens below zero", "host=a&path=/&tokens=-1", "tokens"),
		Entry("a part without tokens", "host=a&path=/&part=x", "ID:TOKENS"),
		Entry("a part with a line end", "host=a&path=/&part=x%0d%0ay:1", "ID:TOKENS"),
		Entry("too many parts", "host=a&path=/"+strings.Repeat("&part=x:1", 65), "parts"),
		Entry("too long", "host=a&path=/"+strings.Repeat("x", 9000), "bytes"),
		Entry("no query", "host=%zz", "query"),
	)
})
