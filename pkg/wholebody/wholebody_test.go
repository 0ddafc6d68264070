package wholebody_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

func TestWholebody(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wholebody")
}

var _ = Describe("a body that counts as a whole", func() {
	const limit = 8

	It("is read up to the limit", func() {
		data, err := wholebody.Read(strings.NewReader("12345678"), limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal("12345678"))
	})

	It("is refused beyond the limit, and read no further", func() {
		rest := strings.NewReader("12345678" + strings.Repeat(" ", 100))
		_, err := wholebody.Read(rest, limit)
		Expect(err).To(MatchError(wholebody.ErrTooLarge))
		Expect(rest.Len()).To(Equal(99))
	})

	DescribeTable("is refused although it begins with a whole document", func(rest io.Reader) {
		var into struct{ A int }
		err := wholebody.DecodeJSON(io.MultiReader(strings.NewReader(`{"A":1}`), rest), limit, &into)
		Expect(err).To(HaveOccurred())
		Expect(into.A).To(BeZero())
	},
		Entry("that is cut off", iotest.ErrReader(io.ErrUnexpectedEOF)),
		Entry("after which another one begins", strings.NewReader("{")),
		Entry("after which spaces follow without end", strings.NewReader("          ")),
	)
})
