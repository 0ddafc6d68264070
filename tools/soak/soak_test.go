package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/world"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// shortRun is the time of traffic of a run in CI.
const shortRun = 8 * time.Second

var _ = Describe("a short soak", Ordered, func() {
	var binary string
	BeforeAll(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "flamingomountd")
		build := exec.Command("go", "build", "-o", binary, "../../cmd/flamingomountd")
		output, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	})

	// Bounds in time are left to runs by hand: the machine of CI may be busy.
	DescribeTable("keeps every promise that no clock decides", func(seed uint64) {
		dir, err := os.MkdirTemp("", "soak-ci-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		broken, summary, err := run(world.Options{
			Seed: seed, Binary: binary, Dir: dir, Length: shortRun, Daemons: 2, Callers: 3,
		})
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println(summary)
		Expect(broken).To(BeEmpty())
	}, Entry("planned work", uint64(4)), Entry("faults", uint64(3)))
})
