package world_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/world"
)

var _ = Describe("A world that is closed", func() {
	It("holds no address of an endpoint that was removed meanwhile", func() {
		w, address, err := world.NewRemovedEndpoint()
		Expect(err).NotTo(HaveOccurred())
		w.Close()
		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
	})
})
