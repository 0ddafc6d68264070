package control

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
)

var _ = Describe("The store reader", func() {
	It("is not changed by the control goroutine after it has given up at a stop", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := New(Options{Self: members.Member{VM: "a:1"}, OnSnapshot: func(*Snapshot) {}, Log: log, Now: time.Now})
		r := newReader(c)
		r.needFullRead, r.last = false, catalog.Position{Era: 1, Revision: 7}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		// A stopped reader submits its event or not, at random.
		for len(c.events) == 0 {
			Expect(r.shouldRead(ctx)).To(BeFalse())
		}
		(<-c.events)(time.Now())
		Expect(r.last).To(Equal(catalog.Position{Era: 1, Revision: 7}))
		Expect(r.needFullRead).To(BeFalse())
	})
})
