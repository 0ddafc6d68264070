package types_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestTypes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "types")
}

var _ = Describe("Verdict", func() {
	DescribeTable("merging returns the larger verdict in either order",
		func(a, b, want types.Verdict) {
			Expect(a.Merge(b)).To(Equal(want))
			Expect(b.Merge(a)).To(Equal(want))
		},
		Entry("neither attempt ran", types.NotRun, types.NotRun, types.NotRun),
		Entry("one attempt may have run", types.NotRun, types.MayHaveRun, types.MayHaveRun),
		Entry("a later attempt ran", types.MayHaveRun, types.Ran, types.Ran),
	)

	It("gives an error of an unknown type the verdict MayHaveRun", func() {
		failure := types.AsFailure(errors.New("boom"))
		Expect(failure.Verdict).To(Equal(types.MayHaveRun))
	})

	It("returns a wrapped failure", func() {
		inner := types.NewFailure(types.NotRun, types.CodeOverloaded, "queue is full")
		Expect(types.AsFailure(fmt.Errorf("dispatch: %w", inner))).To(BeIdenticalTo(inner))
		Expect(inner.Status).To(Equal(429))
	})
})

var _ = Describe("Rank", func() {
	It("round-trips as text and rejects other text", func() {
		for _, rank := range types.Ranks() {
			parsed, err := types.ParseRank(rank.String())
			Expect(err).NotTo(HaveOccurred())
			Expect(parsed).To(Equal(rank))
		}
		_, err := types.ParseRank("Urgent")
		Expect(err).To(HaveOccurred())
	})
})
