package quarantine

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("Reservations", func() {
	ginkgo.It("of claimants that have gone are dropped when they expire", func() {
		now := time.Unix(1_800_000_000, 0)
		tracker := New(Options{})
		for number := range 1000 {
			claim := Claim{Endpoint: types.EndpointID(fmt.Sprint(number)), DeadlineMillis: now.Add(time.Second).UnixMilli()}
			Expect(tracker.Reserve(claim, now).Kind).To(Equal(AnswerRun))
			now = now.Add(100 * time.Millisecond)
		}
		Expect(len(tracker.reserved)).To(BeNumerically("<=", 11))
	})
})
