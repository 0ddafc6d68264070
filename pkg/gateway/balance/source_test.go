package balance_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("the source of a prefix", func() {
	endpoint := func(id string, region types.Region) catalog.ActiveEndpoint {
		return catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{ID: types.EndpointID(id), Service: engines, Region: region, Address: id + ":80"}}
	}
	anywhere := func(types.Region) bool { return true }
	var v *catalog.View
	BeforeEach(func() {
		v = view(0, 0, nil)
		v.Config.Services[engines].Engine.FetchRate = 200_000
		v.Endpoints[engines] = []catalog.ActiveEndpoint{endpoint("a", "north"), endpoint("b", "north"), endpoint("c", "south")}
		v.Leaving = map[types.ServiceName][]catalog.ActiveEndpoint{engines: {endpoint("d", "west")}}
	})
	home := func(prefix uint64, endpoints ...catalog.ActiveEndpoint) catalog.ActiveEndpoint {
		first, _ := balance.PrefixHome(endpoints, prefix, func(catalog.ActiveEndpoint) bool { return true })
		return first
	}

	It("is the home of the prefix, also one that gets no more requests, or else the home in another region", func() {
		all := append(slices.Clone(v.Endpoints[engines]), v.Leaving[engines]...)
		for prefix := range uint64(50) {
			for _, to := range all {
				source, found := newPool(v, 1).PrefixSource(engines, prefix, to, anywhere, start)
				Expect(found).To(BeTrue())
				Expect(source.ID).NotTo(Equal(to.ID))
				if first := home(prefix, all...); first.ID != to.ID {
					Expect(source.ID).To(Equal(first.ID))
				} else {
					Expect(source.Region).NotTo(Equal(to.Region))
				}
			}
		}
	})

	It("is in a region where the prompt may be", func() {
		for prefix := range uint64(50) {
			source, found := newPool(v, 1).PrefixSource(engines, prefix, v.Endpoints[engines][2], func(region types.Region) bool { return region == "north" }, start)
			Expect(found).To(BeTrue())
			Expect(source.Region).To(BeEquivalentTo("north"))
		}
	})

	It("is none when no other endpoint may have the prompt", func() {
		v.Endpoints[engines] = v.Endpoints[engines][2:]
		_, found := newPool(v, 1).PrefixSource(engines, 1, v.Endpoints[engines][0], func(region types.Region) bool { return region == "south" }, start)
		Expect(found).To(BeFalse())
	})

	It("is none where copying is not clearly faster than prefilling", func() {
		for _, rate := range []float64{0, 20_000, 57_000} {
			v.Config.Services[engines].Engine.FetchRate = rate
			_, found := newPool(v, 1).PrefixSource(engines, 1, v.Endpoints[engines][0], anywhere, start)
			Expect(found).To(BeFalse())
		}
	})
})
