package daemon

import (
	"strings"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Text of a caller in the log", func() {
	It("is cut after a whole character", func() {
		for padding := range 4 {
			Expect(utf8.ValidString(truncate(strings.Repeat("x", padding) + strings.Repeat("日", 100)))).To(BeTrue())
		}
	})
})
