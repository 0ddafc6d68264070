package control_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/rawserver"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("replies of other daemons that are none", func() {
	const reply = `{"from":"127.0.0.1:1","members":[],"complete":9}`
	newReader := func(address string) func() bool {
		transport := proxy.NewTransport()
		DeferCleanup(transport.CloseIdleConnections)
		peers := control.NewHTTPPeers(transport)
		return func() bool {
			message, err := peers.Send(context.Background(), types.VMID(address), &control.Message{From: "127.0.0.1:2"})
			if err != nil {
				Expect(message).To(BeNil())
			}
			return err == nil
		}
	}
	for _, broken := range rawserver.Broken("", reply) {
		It("are not taken: "+broken.Name, func() {
			Expect(rawserver.CheckReader(rawserver.Whole("", reply), broken, newReader)).To(Succeed())
		})
	}
})
