package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/plan"
	"github.com/flamingomount/flamingomount/tools/soak/world"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// shortRun is the time of traffic of a run in CI.
const shortRun = 8 * time.Second

var _ = Describe("a short soak", Ordered, ContinueOnFailure, func() {
	var binary string
	BeforeAll(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "flamingomountd")
		build := exec.Command("go", "build", "-o", binary, "../../cmd/flamingomountd")
		output, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	})

	// Bounds in time are left to runs by hand: the machine of CI may be busy.
	DescribeTable("keeps every promise that no clock decides", func(opts world.Options) {
		dir, err := os.MkdirTemp("", "soak-ci-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		opts.Binary, opts.Dir, opts.Length, opts.Daemons, opts.Callers = binary, dir, shortRun, 2, 3
		broken, summary, err := run(opts)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println(summary)
		Expect(broken).To(BeEmpty())
	},
		Entry("planned work", world.Options{Seed: 4}),
		Entry("faults", world.Options{Seed: 3}),
		Entry("endpoints that start again", world.Options{Seed: 48101, Restarts: true}),
		Entry("endpoints that start again, beside stops", world.Options{Seed: 48122, Restarts: true}),
	)

	// play lets steps happen in a run and returns what broke.
	play := func(opts world.Options, steps ...plan.Step) []string {
		dir, err := os.MkdirTemp("", "soak-ci-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		opts.Binary, opts.Dir, opts.Daemons, opts.Callers = binary, dir, 2, 6
		one, err := world.New(context.Background(), opts)
		if one != nil {
			defer one.Close()
		}
		Expect(err).NotTo(HaveOccurred())
		return check.All(one.Run(steps))
	}

	// burst lets the endpoints of a service turn everything away, in one of the ways
	// that a plan.Burst has.
	burst := func(target, variant int) []string {
		return play(world.Options{Seed: 2, Length: 6 * time.Second},
			plan.Step{At: time.Second, Kind: plan.Burst, Target: target, Variant: variant, For: 4 * time.Second})
	}

	It("withholds a part of prompts that crashes endpoints, and serves the rest", func() {
		broken := play(world.Options{Seed: 36, Length: 16 * time.Second, Timed: true}, plan.Step{At: time.Second, Kind: plan.Taint})
		Expect(broken).NotTo(ContainElement(Or(HavePrefix("deadly"), HavePrefix("unserved"))))
	})

	It("withholds it also when all daemons are killed meanwhile", func() {
		broken := play(world.Options{Seed: 37, Length: 18 * time.Second, Timed: true},
			plan.Step{At: time.Second, Kind: plan.Taint}, plan.Step{At: 5 * time.Second, Kind: plan.KillAll})
		Expect(broken).NotTo(ContainElement(Or(HavePrefix("deadly"), HavePrefix("unserved"))))
	})

	It("stays within the retry budget when endpoints reached over a hop refuse everything", func() {
		Expect(burst(world.OverHop, world.Refusing)).NotTo(ContainElement(HavePrefix("budget")))
	})

	It("keeps attempts and retry budget when the endpoints of every region refuse everything", func() {
		broken := burst(world.InEachRegion, world.Refusing)
		Expect(broken).NotTo(ContainElement(Or(HavePrefix("attempts"), HavePrefix("budget"))))
	})

	It("sends a request without a body to no more endpoints when connections break than its route allows", func() {
		Expect(burst(world.OverHop, world.Dropping)).NotTo(ContainElement(HavePrefix("attempts")))
	})

	// Seeds 115 and 117: SIGHUP during a graceful stop ended the process at once.
	It("cuts nothing when a daemon that stops is told to reload", func() {
		var steps []plan.Step
		for daemon := range 4 {
			at := 2*time.Second + time.Duration(daemon)*time.Second
			steps = append(steps,
				plan.Step{At: at, Kind: plan.Stop, Target: daemon},
				plan.Step{At: at + 100*time.Millisecond, Kind: plan.Reload, Target: daemon})
		}
		Expect(play(world.Options{Seed: 117, Length: shortRun, Timed: true}, steps...)).NotTo(ContainElement(HavePrefix("lost")))
	})

	// Two routes without requests outvoted the one with nearly all of them.
	It("leads few requests out of their homes when all daemons of a region stop, and of the next one meanwhile", func() {
		var steps []plan.Step
		for number, daemon := range []int{0, 1, 4, 2, 3} {
			at := 1500*time.Millisecond + time.Duration(number)*700*time.Millisecond
			steps = append(steps, plan.Step{At: at, Kind: plan.Stop, Target: daemon})
		}
		broken := play(world.Options{Seed: 504, Length: shortRun, Homes: true}, steps...)
		Expect(broken).NotTo(ContainElement(HavePrefix("homes")))
	})

	// Version 21 was acknowledged 3.3 s after the store was back, and never in force.
	It("has each acknowledged configuration in force once the store is back from a copy", func() {
		steps := []plan.Step{{At: time.Second, Kind: plan.Restore, For: 2 * time.Second}}
		for number, at := range []time.Duration{1500, 2000, 2500, 6000} {
			steps = append(steps, plan.Step{At: at * time.Millisecond, Kind: plan.Move, Variant: number})
		}
		broken := play(world.Options{Seed: 7, Length: 12 * time.Second, Restored: true, Timed: true}, steps...)
		Expect(broken).NotTo(ContainElement(Or(HavePrefix("version"), HavePrefix("older"), HavePrefix("late"))))
	})

	// Requests that follow on a connection got EOF or a reset once its daemon had begun to stop.
	It("answers what was sent before a close was announced when both ends of a hop stop", func() {
		var steps []plan.Step
		for number, daemon := range []int{0, 2, 4, 1, 3} {
			at := time.Second + time.Duration(number)*700*time.Millisecond
			steps = append(steps, plan.Step{At: at, Kind: plan.Replace, Target: daemon, For: time.Second},
				plan.Step{At: at + 100*time.Millisecond, Kind: plan.Reload, Target: daemon})
		}
		broken := play(world.Options{Seed: 105, Length: 6 * time.Second, Rolling: true, Visitors: 8}, steps...)
		Expect(broken).NotTo(ContainElement(Or(HavePrefix("silent"), HavePrefix("mixed"))))
	})
})
