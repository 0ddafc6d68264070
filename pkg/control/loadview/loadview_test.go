package loadview_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/loadview"
)

func TestLoadview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadview")
}

var _ = Describe("History", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("recalls the counts at the time of a late report, within its bound", func() {
		var h loadview.History
		_, known := h.At(start)
		Expect(known).To(BeFalse())
		for i := range 200 {
			h.Add(loadview.Counts{At: start.Add(time.Duration(i) * time.Second), Sent: int64(i)})
		}
		counts, _ := h.At(start.Add(190*time.Second + time.Millisecond))
		Expect(counts.Sent).To(Equal(int64(190)))
		oldest, _ := h.At(start)
		Expect(oldest.Sent).To(Equal(int64(136)))
	})
})
