package published_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestPublished(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "published")
}

func newConfiguration(number types.Revision) *published.Configuration {
	return &published.Configuration{
		Revision:  number,
		Services:  map[types.ServiceName]*published.Service{"quotes": {Name: "quotes", Versions: []types.ModelVersion{"v1"}}},
		Placement: map[types.ServiceName]published.PlacementRequest{"quotes": {WeightBytes: 1}},
	}
}

var _ = Describe("the fencing number of orders", func() {
	DescribeTable("changes only with values that the placement depends on",
		func(change func(*published.Configuration), want types.Revision) {
			first, second := newConfiguration(4), newConfiguration(5)
			first.SetPlacementRevision(nil)
			change(second)
			second.SetPlacementRevision(first)
			Expect(first.FencingNumber()).To(BeEquivalentTo(4))
			Expect(second.FencingNumber()).To(Equal(want))
		},
		Entry("a new organisation", func(c *published.Configuration) {
			c.Orgs = map[types.OrgName]*published.Organisation{"a": {Name: "a"}}
		}, types.Revision(4)),
		Entry("another size of the weights", func(c *published.Configuration) {
			c.Placement["quotes"] = published.PlacementRequest{WeightBytes: 2}
		}, types.Revision(5)),
		Entry("another version", func(c *published.Configuration) {
			c.Services["quotes"].Versions = []types.ModelVersion{"v2"}
		}, types.Revision(5)),
		Entry("another rate of the weight store", func(c *published.Configuration) {
			c.Policy.WeightStoreBytesPerSecond = 9
		}, types.Revision(5)),
	)

	It("is Revision if PlacementRevision is zero or larger than Revision", func() {
		config := newConfiguration(7)
		Expect(config.FencingNumber()).To(BeEquivalentTo(7))
		config.PlacementRevision = 8
		Expect(config.FencingNumber()).To(BeEquivalentTo(7))
	})
})
