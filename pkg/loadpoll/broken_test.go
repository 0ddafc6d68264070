package loadpoll

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/rawserver"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/published"
)

var _ = Describe("reports of engines that are none", func() {
	const report = `{"taken_at":"2026-01-02T03:04:05Z","running":3,"queued":1,"cache_used":0.5}`
	newReader := func(address string) func() bool {
		submitted := 0
		view := newSnapshot(address, "a")
		view.Config.Services["quotes"].Kind = published.KindPlain
		poller := newPoller(view, func(event.Event) bool {
			submitted++
			return true
		})
		return func() bool {
			before := submitted
			poller.readNext(context.Background())
			return submitted > before
		}
	}
	for _, broken := range rawserver.Broken("", report) {
		It("are not used: "+broken.Name, func() {
			Expect(rawserver.CheckReader(rawserver.Whole("", report), broken, newReader)).To(Succeed())
		})
	}
})
