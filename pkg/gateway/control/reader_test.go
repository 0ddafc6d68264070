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

// storeAt answers every full read at a position.
type storeAt struct {
	Store
	base catalog.Position
}

// ReadAll implements Store.
func (s storeAt) ReadAll(context.Context) ([]catalog.Record, catalog.Position, error) {
	return nil, s.base, nil
}

var _ = Describe("The store reader", func() {
	It("continues from the state's position when peers brought a later era, and from the beginning when the state was reset", func() {
		r := &reader{last: catalog.Position{Era: 1, Revision: 20}, needFullRead: true}
		r.align(catalog.Position{Era: 2, Revision: 18})
		Expect(r.last).To(Equal(catalog.Position{Era: 2, Revision: 18}))
		Expect(r.needFullRead).To(BeFalse())
		r.align(catalog.Position{})
		Expect(r.needFullRead).To(BeTrue())
	})

	It("does not count a watch that ends after the state has entered a later era", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := New(Options{Self: members.Member{VM: "a:1"}, OnSnapshot: func(*Snapshot) {}, Log: log, Now: time.Now})
		c.state.Replace(nil, catalog.Position{Era: 2, Revision: 18}, 0, time.Now())
		c.applyChanges(catalog.Delta{Era: 1, From: 18, To: 30}, time.Now())
		Expect(c.storeReads).To(BeEmpty())
		Expect(c.state.Applied()).To(Equal(catalog.Position{Era: 2, Revision: 18}))
	})

	It("gives entries that are removed a grace time after a new era has begun, also if no call had failed", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := New(Options{Self: members.Member{VM: "a:1"}, Store: storeAt{base: catalog.Position{Era: 2, Revision: 18}}, OnSnapshot: func(*Snapshot) {}, Log: log, Now: time.Now})
		r := newReader(c)
		r.known = catalog.Position{Era: 2, Revision: 9}
		Expect(r.readAll(context.Background())).To(Succeed())
		Expect(r.grace()).To(BeZero())
		r.known = catalog.Position{Era: 1, Revision: 20}
		Expect(r.readAll(context.Background())).To(Succeed())
		Expect(r.grace()).To(BeNumerically(">", 0))
	})

	It("gives entries that are removed a grace time after peers have brought a new era, also if no call had failed", func() {
		c := New(Options{Self: members.Member{VM: "a:1"}, OnSnapshot: func(*Snapshot) {}, Log: logrus.New(), Now: time.Now})
		r := newReader(c)
		r.needFullRead, r.last = false, catalog.Position{Era: 1, Revision: 20}
		r.align(catalog.Position{Era: 1, Revision: 21})
		r.recovered()
		Expect(r.grace()).To(BeZero())
		r.align(catalog.Position{Era: 2, Revision: 18})
		r.recovered()
		Expect(r.grace()).To(BeNumerically(">", 0))
	})

	It("takes no answer of an era that is over", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := New(Options{Self: members.Member{VM: "a:1"}, Store: storeAt{base: catalog.Position{Era: 1, Revision: 30}}, OnSnapshot: func(*Snapshot) {}, Log: log, Now: time.Now})
		r := newReader(c)
		r.known = catalog.Position{Era: 2, Revision: 18}
		Expect(r.readAll(context.Background())).To(MatchError(ErrEarlierEra))
		Expect(c.events).To(BeEmpty())
	})

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
