package catalog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

var _ = Describe("the urgency of an organisation's request", func() {
	It("is that of the organisation first, then that of the route", func() {
		urgent, patient := &catalog.Route{Rank: 2}, &catalog.Route{Rank: 7}
		first, second := &catalog.Organisation{Name: "a", Rank: 1}, &catalog.Organisation{Name: "b", Rank: 9}
		config := &catalog.Config{Version: 1, Routes: []*catalog.Route{patient, urgent}, Organisations: []*catalog.Organisation{second, first}}
		config.Prepare()
		position := func(organisation *catalog.Organisation, route *catalog.Route) int {
			rank, ranks := config.Urgency(organisation, route)
			Expect(ranks).To(Equal(6))
			return rank
		}
		Expect([]int{
			position(nil, urgent), position(nil, patient), position(first, urgent), position(first, patient),
			position(second, urgent), position(second, patient),
		}).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		By("a route or an organisation of another version of the configuration")
		Expect(position(first, &catalog.Route{Rank: 5})).To(Equal(3))
		Expect(position(&catalog.Organisation{Rank: 99}, patient)).To(Equal(5))
	})
})
