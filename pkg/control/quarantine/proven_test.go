package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/request"
)

func numbered(number uint64) request.Fingerprint {
	var fingerprint request.Fingerprint
	binary.BigEndian.PutUint64(fingerprint[:], number+1) // zero is no content
	return fingerprint
}

var _ = ginkgo.Describe("The contents remembered as harmless", func() {
	ginkgo.DescribeTable("keep one that crashed and completed again until as many others have completed since", func(between uint64) {
		set := newCompletedSet()
		content := numbered(0)
		next := uint64(0)
		addOther := func() {
			next++
			set.add(numbered(next))
		}
		set.add(content)
		set.remove(content)
		for range between {
			addOther()
		}
		set.add(content)
		for number := range completedCapacity - 1 {
			addOther()
			Expect(set.contains(content)).To(BeTrue(), fmt.Sprint("after ", number+1))
		}
		addOther()
		Expect(set.contains(content)).To(BeFalse())
	},
		ginkgo.Entry("at once", uint64(0)),
		ginkgo.Entry("after half of the limit", uint64(completedCapacity/2)),
		ginkgo.Entry("just before its old place is used again", uint64(completedCapacity-2)),
	)
})
