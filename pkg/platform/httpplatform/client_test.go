package httpplatform_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/platform/httpplatform"
	standin "github.com/flamingomount/flamingomount/pkg/standin/platform"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform client")
}

var _ = Describe("the platform client", func() {
	var service *standin.Platform
	var client *httpplatform.Client
	ctx := context.Background()
	BeforeEach(func() {
		service = standin.New()
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		client = httpplatform.New(server.URL, nil)
	})

	It("downloads the VM list again only when it has changed, and returns each change", func() {
		service.SetVMs([]platform.VM{{Role: platform.RoleEntry, Peer: "10.0.0.1:7"}})
		service.ShowVMs()
		for range 2 {
			listing, err := client.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(listing.VMs).To(HaveLen(1))
		}
		Expect(service.ListsSent()).To(Equal(int64(1)))
		service.SetVMs(nil)
		service.ShowVMs()
		listing, err := client.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.VMs).To(BeEmpty())
		Expect(service.ListsSent()).To(Equal(int64(2)))
	})

	It("distinguishes an unknown key from an unavailable service", func() {
		_, err := client.Read(ctx, "manifest")
		Expect(eris.Is(err, platform.ErrNotFound)).To(BeTrue())
		service.SetDown(true)
		_, err = client.Read(ctx, "manifest")
		Expect(eris.Is(err, platform.ErrUnavailable)).To(BeTrue())
		_, err = client.List(ctx)
		Expect(eris.Is(err, platform.ErrUnavailable)).To(BeTrue())
	})

	It("returns a watched value once its version has changed", func() {
		service.Publish("manifest", []byte(strings.Repeat("x", platform.MaxValueBytes)))
		value, err := client.Watch(ctx, "manifest", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(value.Data).To(HaveLen(platform.MaxValueBytes))
		Expect(value.Version).To(Equal(uint64(1)))
	})
})
