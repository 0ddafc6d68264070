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
	DescribeTable("merging keeps the stronger claim that a request may have run",
		func(a, b, want types.Verdict) {
			Expect(a.Merge(b)).To(Equal(want))
			Expect(b.Merge(a)).To(Equal(want))
		},
		Entry("not run twice", types.NotRun, types.NotRun, types.NotRun),
		Entry("one attempt may have run", types.NotRun, types.MayHaveRun, types.MayHaveRun),
		Entry("a later attempt ran", types.MayHaveRun, types.Ran, types.Ran),
	)

	It("treats an unknown error as one after which the request may have run", func() {
		failure := types.AsFailure(errors.New("boom"))
		Expect(failure.Verdict).To(Equal(types.MayHaveRun))
	})

	It("finds a wrapped failure", func() {
		inner := types.NewFailure(types.NotRun, types.CodeOverloaded, "queue is full")
		Expect(types.AsFailure(fmt.Errorf("dispatch: %w", inner))).To(BeIdenticalTo(inner))
		Expect(inner.Status).To(Equal(429))
	})
})

var _ = Describe("Rank", func() {
	It("round-trips as text and refuses other words", func() {
		for _, rank := range types.Ranks() {
			parsed, err := types.ParseRank(rank.String())
			Expect(err).NotTo(HaveOccurred())
			Expect(parsed).To(Equal(rank))
		}
		_, err := types.ParseRank("Urgent")
		Expect(err).To(HaveOccurred())
	})
})
