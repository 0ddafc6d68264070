package ingress

import (
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

var _ = Describe("A body that can't be decoded", func() {
	DescribeTable("gives an error that repeats no value of the caller", func(body, want string) {
		_, failure := parseModelBody([]byte(body))
		Expect(failure.Message).To(HaveSuffix(want))
	},
		Entry("a number for a text", `{"model":4111111111111111}`, `field "model" must be a string, got number`),
		Entry("a fraction for a whole number", `{"model":"m","max_tokens":41111.5}`, `field "max_tokens" must be a int, got number`),
		Entry("a text for a number", `{"model":"m","max_tokens":"secret"}`, `field "max_tokens" must be a int, got string`),
		Entry("a list for the object", `["secret"]`, `field "" must be a struct, got array`),
		Entry("malformed JSON", `{"model":secret}`, "syntax error at byte 10"),
	)
})

var _ = Describe("Text that is cut for an error", func() {
	It("ends with a whole character", func() {
		for padding := range 4 {
			text := strings.Repeat("x", padding) + strings.Repeat("日", 100)
			Expect(utf8.ValidString(clip(text))).To(BeTrue())
			Expect(clip(text)).To(HaveSuffix("..."))
		}
	})
})
