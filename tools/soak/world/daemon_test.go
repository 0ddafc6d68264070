package world_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/link"
	"github.com/flamingomount/flamingomount/tools/soak/world"
)

func TestWorld(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "world")
}

var _ = Describe("the supervisor of a daemon", func() {
	// Seed 47106 with homes: one of two processes found its address in use.
	It("starts the next process while one ends, and none beside one that goes on", func() {
		program := filepath.Join(GinkgoT().TempDir(), "daemon")
		Expect(os.WriteFile(program, []byte("#!/bin/sh\ntrap '' TERM\nexec sleep 60\n"), 0o700)).To(Succeed())
		log, err := os.Create(filepath.Join(GinkgoT().TempDir(), "log"))
		Expect(err).NotTo(HaveOccurred())
		store, err := link.New("127.0.0.1:1", nil)
		Expect(err).NotTo(HaveOccurred())
		callers, err := link.New("127.0.0.1:1", nil)
		Expect(err).NotTo(HaveOccurred())
		starts, stop, next, end := world.Supervised(program, log, store, callers)
		DeferCleanup(end)
		Eventually(starts, 5*time.Second).Should(Equal(1))
		time.Sleep(100 * time.Millisecond) // the supervisor waits for the process
		next()
		Consistently(starts, 500*time.Millisecond).Should(Equal(1))
		stop()
		next()
		Eventually(starts, 5*time.Second).Should(Equal(2))
		time.Sleep(100 * time.Millisecond)
		next()
		Consistently(starts, 500*time.Millisecond).Should(Equal(2))
	})
})
