package stopsignal_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stopsignal"
)

func TestStopSignal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stopsignal")
}

const eventuallyTimeout = 30 * time.Second

// Guards against a stop that counts from when the process acts on the signal, later than
// it was sent.
var _ = Describe("the moment by which no signal had been sent", func() {
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	const interval = stopsignal.CheckInterval

	It("is the last check if the checks are punctual", func() {
		q := stopsignal.NewQuiet(noon)
		for number := range 50 {
			at := noon.Add(time.Duration(number) * interval)
			q.Check(at)
			Expect(q.Proven()).To(Equal(at))
		}
	})

	It("is before a pause, also if a check at its end finds no signal yet", func() {
		for _, pause := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
			q := stopsignal.NewQuiet(noon)
			q.Check(noon.Add(interval))
			q.Check(noon.Add(interval + pause))
			Expect(q.Proven()).To(Equal(noon.Add(interval)))
		}
	})

	It("is before a pause, also if two checks follow each other at its end", func() {
		q := stopsignal.NewQuiet(noon)
		q.Check(noon.Add(interval))
		q.Check(noon.Add(interval + 3*time.Second))
		q.Check(noon.Add(interval + 3*time.Second + time.Millisecond))
		Expect(q.Proven()).To(Equal(noon.Add(interval)))
	})

	It("follows again after a pause without a signal", func() {
		q := stopsignal.NewQuiet(noon)
		q.Check(noon.Add(6 * time.Second))
		q.Check(noon.Add(6*time.Second + interval))
		Expect(q.Proven()).To(Equal(noon.Add(6*time.Second + interval)))
	})

	It("lags behind by one check if every check is late", func() {
		q := stopsignal.NewQuiet(noon)
		for number := 1; number < 50; number++ {
			q.Check(noon.Add(time.Duration(number) * 3 * interval))
			Expect(q.Proven()).To(Equal(noon.Add(time.Duration(number-1) * 3 * interval)))
		}
	})
})

var _ = Describe("a watch", func() {
	It("tells of the first signal, counts the others, and puts the begin before the first", func() {
		w := stopsignal.Start(syscall.SIGUSR1, syscall.SIGUSR2)
		defer w.Close()
		time.Sleep(2 * stopsignal.CheckInterval)
		Expect(w.Age()).To(BeZero())
		sent := time.Now()
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGUSR1)).To(Succeed())
		Eventually(w.Stopped().Done(), eventuallyTimeout).Should(BeClosed())
		Expect(w.Age()).To(BeNumerically(">=", time.Since(sent)-time.Millisecond))
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGUSR2)).To(Succeed())
		Eventually(func() int { return w.State().Count }, eventuallyTimeout).Should(Equal(2))
		Expect(w.State().First).To(Equal(syscall.SIGUSR1))
	})
})
