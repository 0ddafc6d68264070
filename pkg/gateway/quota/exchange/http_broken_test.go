package exchange_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/rawserver"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Guards against units that are credited from a part of an answer.
func TestAnswersThatAreNone(t *testing.T) {
	const answer, timeout = `{"units":5}`, time.Second
	newReader := func(address string) func() bool {
		transport := proxy.NewTransport()
		t.Cleanup(transport.CloseIdleConnections)
		asker := exchange.NewHTTPAsker(transport)
		return func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := asker.Ask(ctx, types.VMID(address), exchange.Ask{Scope: quota.Spare, Units: 5})
			return err == nil
		}
	}
	for _, broken := range rawserver.Broken("", answer) {
		t.Run(broken.Name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(rawserver.CheckReader(rawserver.Whole("", answer), broken, newReader)).To(Succeed())
		})
	}
}
