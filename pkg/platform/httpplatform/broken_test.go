package httpplatform_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/rawserver"
	"github.com/flamingomount/flamingomount/pkg/platform/httpplatform"
)

// Guards against a part of a list of VMs that is taken for the list.
var _ = Describe("answers of the platform that are none", func() {
	const list, timeout = `{"vms":[{"role":"entry","peer":"10.0.0.1:7"},{"role":"entry","peer":"10.0.0.2:7"}]}`, time.Second
	newReader := func(address string) func() bool {
		client := httpplatform.New("http://"+address, nil)
		return func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			listing, err := client.List(ctx)
			if err != nil {
				Expect(listing.VMs).To(BeEmpty())
			}
			return err == nil
		}
	}
	for _, broken := range rawserver.Broken("", list) {
		It("are not taken: "+broken.Name, func() {
			Expect(rawserver.CheckReader(rawserver.Whole("", list), broken, newReader)).To(Succeed())
		})
	}
})
