package entry

import (
	"io"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
)

// Guards against a daemon that stops and says that it serves.
var _ = ginkgo.Describe("A daemon that stops while its control state takes nothing in", func() {
	ginkgo.It("tells that it is leaving, since the begin of the stop", func() {
		daemon, err := New(Options{Settings: Settings{VM: "a:1", Region: "north", DataCentre: "north-a", Grace: 300 * time.Millisecond}, Output: io.Discard})
		Expect(err).NotTo(HaveOccurred())
		Expect(daemon.Snapshot().Self.State).To(Equal(members.Starting))
		began := time.Now()
		daemon.drain()
		self := daemon.Snapshot().Self
		Expect(self.State).To(Equal(members.Leaving))
		Expect(self.LeavingSince).To(And(BeTemporally(">=", began), BeTemporally("<", time.Now())))
		Expect(self.VM).To(BeEquivalentTo("a:1"))
	})
})
