package entry

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

var _ = ginkgo.Describe("The bound on connections", func() {
	settings := Settings{Descriptors: 4100, MemoryBytes: 284 << 20}

	ginkgo.It("leaves room for all callers of a data centre that ask for their daemons at once", func() {
		directory := ExtraListener{Name: "directory", ForCallers: true}
		Expect(settings.maxConnections(directory.Name, directory.connectionShare())).To(Equal(390))
	})

	ginkgo.It("of all listeners together leaves sockets for endpoints, daemons and the store", func() {
		shares := graceful.CallerShare + graceful.PeerShare + graceful.LookupShare + 2*graceful.OtherShare
		Expect(shares).To(BeNumerically("<", 0.9))
	})

	ginkgo.It("of callers' connections is also one on their memory", func() {
		small := Settings{Descriptors: 4100, MemoryBytes: 32 << 20}
		Expect(small.maxConnections(callersName, graceful.CallerShare)).To(Equal(512))
		Expect(settings.maxConnections(callersName, graceful.CallerShare)).To(Equal(2145))
	})
})
