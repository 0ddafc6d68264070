package regions_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/regions"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestRegions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "regions")
}

const engines = types.ServiceName("engines")

// names lists the regions by decreasing size.
var names = []types.Region{"north", "south", "west"}

// view returns a view with five, four and three engines of twelve slots in the
// three regions.
func view() *catalog.View {
	v := &catalog.View{Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{}}
	for index, region := range names {
		for number := range 5 - index {
			v.Endpoints[engines] = append(v.Endpoints[engines], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
				ID: types.EndpointID(fmt.Sprintf("%s-%d", region, number)), Service: engines, Region: region, Slots: 12,
			}})
		}
	}
	return v
}

func daemon(region types.Region, busy, waiting int) members.Member {
	return members.Member{VM: types.VMID(region + ":1"), Region: region, Loads: []members.Load{
		{Service: engines, InFlight: busy, Waiting: waiting}, {Service: "desk", InFlight: 99},
	}}
}

func anywhere(types.Region) bool { return true }

var _ = Describe("Loads", func() {
	It("sum up what the daemons of a region reported for the service", func() {
		loads := regions.Loads(view(), []members.Member{
			daemon("north", 10, 2), daemon("north", 8, 0), daemon("south", 48, 24), daemon("unknown", 5, 5),
		}, engines)
		Expect(loads).To(HaveLen(3))
		Expect(loads["north"]).To(Equal(regions.Load{Slots: 60, Busy: 20}))
		Expect(loads["south"].FreeFraction()).To(BeNumerically("~", -0.5, 0.001))
		Expect(loads["west"].FreeFraction()).To(Equal(1.0))
	})
})

var _ = Describe("Overflow", func() {
	rng := rand.New(rand.NewPCG(1, 2))

	It("picks regions in proportion to their free slots", func() {
		loads := regions.Loads(view(), []members.Member{daemon("north", 20, 0), daemon("south", 47, 0)}, engines)
		counts := map[types.Region]int{}
		for range 1000 {
			region, found := regions.PickSpillover(loads, 0.4, anywhere, rng)
			Expect(found).To(BeTrue())
			counts[region]++
		}
		Expect(counts["south"]).To(BeZero())
		Expect(counts["north"]).To(BeNumerically("~", 526, 60))
	})

	It("picks a region without free slots if no free fraction is required", func() {
		loads := regions.Loads(view(), []members.Member{daemon("south", 48, 60)}, engines)
		region, found := regions.PickSpillover(loads, 0, func(region types.Region) bool { return region == "south" }, rng)
		Expect(found).To(BeTrue())
		Expect(region).To(BeEquivalentTo("south"))
		_, found = regions.PickSpillover(loads, 0.4, func(region types.Region) bool { return region == "south" }, rng)
		Expect(found).To(BeFalse())
	})
})
