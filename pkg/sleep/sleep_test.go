package sleep_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/sleep"
)

func TestSleep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sleep")
}

var _ = Describe("A wait", func() {
	It("lasts for its delay while its context is active", func() {
		const delay = 20 * time.Millisecond
		started := time.Now()
		Expect(sleep.For(context.Background(), delay)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically(">=", delay))
	})

	It("ends with its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		Expect(sleep.For(ctx, time.Hour)).To(BeFalse())
	})

	DescribeTable("without a delay tells at once whether its context is active", func(delay time.Duration) {
		ctx, cancel := context.WithCancel(context.Background())
		Expect(sleep.For(ctx, delay)).To(BeTrue())
		cancel()
		Expect(sleep.For(ctx, delay)).To(BeFalse())
	}, Entry("zero", time.Duration(0)), Entry("negative", -time.Second))
})
