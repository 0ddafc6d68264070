package engineorders

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/rawserver"
)

func TestEngineorders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engineorders")
}

var _ = Describe("states of engines that are none", func() {
	const state = `{"model":"m","fencing":3}`
	newReader := func(address string) func() bool {
		issuer := New(Options{})
		DeferCleanup(issuer.client.CloseIdleConnections)
		return func() bool {
			var into engineState
			return issuer.call(context.Background(), http.MethodGet, address, nil, 0, &into) == nil
		}
	}
	for _, broken := range rawserver.Broken("", state) {
		It("are not used: "+broken.Name, func() {
			Expect(rawserver.CheckReader(rawserver.Whole("", state), broken, newReader)).To(Succeed())
		})
	}
})
