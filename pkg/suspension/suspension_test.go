package suspension_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/suspension"
)

func TestSuspension(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "suspension")
}

var _ = ginkgo.Describe("The total suspension", func() {
	ginkgo.It("does not grow while the VM runs", func() {
		before := suspension.Total()
		time.Sleep(50 * time.Millisecond)
		Expect(suspension.Total()).To(BeNumerically("~", before, 10*time.Millisecond))
	})
})
