package try_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/try"
)

func TestTry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "try")
}

// patience bounds the wait for the trial; no check depends on it.
const patience = 2 * time.Minute

var _ = It("shows the whole path, and every promise holds", func() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var out bytes.Buffer
	Expect(try.Run(ctx, &out)).To(Succeed(), out.String())
	Expect(out.String()).NotTo(ContainSubstring("BROKEN"))
})
