package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

var _ = Describe("a store that answers", func() {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	position := func(era, revision uint64) catalog.Position { return catalog.Position{Era: era, Revision: revision} }
	record := catalog.Record{Key: "op/config", Revision: 5, Era: 1, Config: &catalog.Config{Version: 1}}
	var state *catalog.State
	BeforeEach(func() {
		state = catalog.NewState()
		state.Replace([]catalog.Record{record}, position(1, 9), 0, at(0))
	})

	It("shows all in the first era that is known", func() {
		Expect(state.ShowsAll(position(1, 9), at(0))).To(BeTrue())
	})

	It("may not show all in an era whose begin is not known here", func() {
		Expect(state.ShowsAll(position(2, 3), at(9))).To(BeFalse())
		Expect(state.ShowsAll(position(0, 3), at(9))).To(BeFalse())
	})

	It("may not show all until what it lost is written again", func() {
		record.Era = 2
		state.Replace([]catalog.Record{record}, position(2, 6), 0, at(10))
		Expect(state.ShowsAll(position(2, 6), at(10))).To(BeFalse())
		Expect(state.ShowsAll(position(2, 6), at(10).Add(catalog.SettleTime-1))).To(BeFalse())
		Expect(state.ShowsAll(position(2, 6), at(10).Add(catalog.SettleTime))).To(BeTrue())
	})
})
