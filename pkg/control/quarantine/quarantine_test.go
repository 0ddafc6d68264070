package quarantine_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestQuarantine(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var start = time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC)

// maxLost is the largest number of endpoints that one fatal request may crash.
const maxLost = 3

func content(b byte) request.Fingerprint { return request.Fingerprint{b} }

func crash(tracker *quarantine.Tracker, endpoint types.EndpointID, at time.Time, contents ...byte) {
	report := quarantine.CrashReport{Endpoint: endpoint, AtMillis: at.UnixMilli()}
	for _, b := range contents {
		report.Contents = append(report.Contents, quarantine.Hash(content(b)))
	}
	tracker.RecordCrash(report, at)
}

func state(tracker *quarantine.Tracker, b byte, now time.Time) quarantine.State {
	return tracker.Status(content(b), now).State
}

var _ = Describe("a fatal request resent to every entry at once", func() {
	for _, entries := range []int{8, 360} {
		for seed := range uint64(5) {
			It(fmt.Sprintf("crashes at most maxLost endpoints and causes no refusal of a harmless request: %d entries, seed %d", entries, seed), func() {
				f := newFleet(seed, entries, 24)
				f.sendInnocent(40)
				f.runFor(10 * time.Second)
				f.resendToAll()
				f.runFor(testLength)
				Expect(f.crashes).To(And(BeNumerically(">=", 1), BeNumerically("<=", maxLost)))
				Expect(f.refused).To(BeZero())
				Expect(f.completed).To(BeNumerically(">", 40*55))
			})
		}
	}

	It("crashes at most maxLost endpoints while the entries restart one after the other and it is sent repeatedly", func() {
		for seed := range uint64(5) {
			f := newFleet(seed, 8, 24)
			f.sendInnocent(40)
			f.rollingRestart()
			for range 12 {
				f.resendToAll()
				f.runFor(time.Second)
			}
			f.runFor(testLength)
			Expect(f.crashes).To(And(BeNumerically(">=", 1), BeNumerically("<=", maxLost)))
			Expect(f.refused).To(BeZero())
		}
	})

	It("crashes at most maxLost endpoints in each part of a partitioned fleet, and none after the partition heals", func() {
		for seed := range uint64(5) {
			f := newFleet(seed, 9, 24)
			f.sendInnocent(40)
			f.partitioned = true
			f.resendToAll()
			f.runFor(testLength)
			Expect(f.crashes).To(And(BeNumerically(">=", regions), BeNumerically("<=", maxLost*regions)))
			lost := f.crashes
			f.partitioned = false
			f.runFor(10 * time.Second)
			f.resendToAll()
			f.runFor(testLength)
			Expect(f.crashes).To(Equal(lost))
			Expect(f.refused).To(BeZero())
		}
	})
})

var _ = Describe("Status", func() {
	It("holds, suspects and then quarantines the content that was in two crashes", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1, 2, 3)
		Expect(state(tracker, 1, start)).To(Equal(quarantine.StateHeld))
		Expect(state(tracker, 1, start.Add(time.Second))).To(Equal(quarantine.StateSuspect))
		crash(tracker, "e2", start.Add(30*time.Second), 1, 4)

		after := start.Add(40 * time.Second)
		Expect(state(tracker, 1, after)).To(Equal(quarantine.StateQuarantined))
		for _, innocent := range []byte{2, 3, 4} {
			Expect(state(tracker, innocent, after)).To(Equal(quarantine.StateClear))
		}
		Expect(tracker.Quarantined(after)).To(HaveLen(1))
		Expect(state(tracker, 1, after.Add(2*time.Hour))).To(Equal(quarantine.StateClear))
	})

	It("waits for a third crash if two contents shared both crashes", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1, 2)
		crash(tracker, "e2", start.Add(30*time.Second), 1, 2)
		Expect(state(tracker, 1, start.Add(40*time.Second))).To(Equal(quarantine.StateSuspect))
		crash(tracker, "e3", start.Add(60*time.Second), 1)
		Expect(state(tracker, 1, start.Add(70*time.Second))).To(Equal(quarantine.StateQuarantined))
		Expect(state(tracker, 2, start.Add(70*time.Second))).To(Equal(quarantine.StateClear))
	})

	It("counts reports of one crash once and a second crash of the same endpoint again", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1)
		crash(tracker, "e1", start.Add(time.Second), 1)
		Expect(tracker.Status(content(1), start.Add(10*time.Second)).Crashes).To(Equal(1))
		crash(tracker, "e1", start.Add(time.Minute), 1)
		Expect(state(tracker, 1, start.Add(2*time.Minute))).To(Equal(quarantine.StateQuarantined))
	})

	It("clears a content that ran to completion after a crash", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1)
		tracker.Release(quarantine.Release{Content: quarantine.Hash(content(1)), Outcome: quarantine.OutcomeCompleted}, start.Add(time.Minute))
		Expect(state(tracker, 1, start.Add(time.Minute))).To(Equal(quarantine.StateClear))
	})

	It("lets the many suspects of a lost rack share endpoints", func() {
		tracker := quarantine.New(quarantine.Options{})
		for i := range 3 {
			crash(tracker, types.EndpointID(fmt.Sprint("e", i)), start, byte(2*i+1), byte(2*i+2))
		}
		for _, b := range []byte{1, 2, 3} {
			answer := tracker.Acquire(quarantine.Claim{
				Content: quarantine.Hash(content(b)), Endpoint: "e9",
				DeadlineMillis: start.Add(time.Minute).UnixMilli(),
			}, start.Add(time.Second))
			Expect(answer.Kind).To(Equal(quarantine.AnswerRun))
		}
	})
})

var _ = Describe("Acquire", func() {
	It("runs copies on one endpoint until the content has run to completion", func() {
		tracker := quarantine.New(quarantine.Options{})
		acquire := func(endpoint types.EndpointID) quarantine.Answer {
			return tracker.Acquire(quarantine.Claim{
				Content: quarantine.Hash(content(1)), Endpoint: endpoint,
				DeadlineMillis: start.Add(time.Minute).UnixMilli(),
			}, start)
		}
		Expect(acquire("e1").Kind).To(Equal(quarantine.AnswerRun))
		Expect(acquire("e2")).To(Equal(quarantine.Answer{Kind: quarantine.AnswerRunAt, Endpoint: "e1"}))
		tracker.Release(quarantine.Release{Content: quarantine.Hash(content(1)), Outcome: quarantine.OutcomeCompleted}, start)
		Expect(acquire("e2").Kind).To(Equal(quarantine.AnswerRun))
		Expect(acquire("e3").Kind).To(Equal(quarantine.AnswerRun))
	})

	It("answers with a wait after which a held content is no longer held", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1)
		claim := quarantine.Claim{
			Content: quarantine.Hash(content(1)), Endpoint: "e2",
			DeadlineMillis: start.Add(time.Minute).UnixMilli(),
		}
		now := start.Add(500*time.Millisecond - time.Microsecond)
		answer := tracker.Acquire(claim, now)
		Expect(answer.Kind).To(Equal(quarantine.AnswerWait))
		now = now.Add(time.Duration(answer.WaitMillis) * time.Millisecond)
		Expect(tracker.Acquire(claim, now).Kind).To(Equal(quarantine.AnswerRunAlone))
	})

	It("runs one copy of a suspect at a time, and one suspect on an endpoint", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1, 2)
		now := start.Add(time.Second)
		claimOf := func(b byte) quarantine.Claim {
			return quarantine.Claim{
				Content: quarantine.Hash(content(b)), Endpoint: "e2",
				DeadlineMillis: start.Add(time.Minute).UnixMilli(),
			}
		}
		Expect(tracker.Acquire(claimOf(1), now).Kind).To(Equal(quarantine.AnswerRunAlone))
		Expect(tracker.Acquire(claimOf(1), now).Kind).To(Equal(quarantine.AnswerWait))
		Expect(tracker.Acquire(claimOf(2), now).Kind).To(Equal(quarantine.AnswerRunAlone))
		Expect(tracker.Reserve(claimOf(1), now).Kind).To(Equal(quarantine.AnswerRun))
		Expect(tracker.Reserve(claimOf(2), now).Kind).To(Equal(quarantine.AnswerElsewhere))
		tracker.Unreserve("e2", quarantine.Hash(content(1)))
		Expect(tracker.Reserve(claimOf(2), now).Kind).To(Equal(quarantine.AnswerRun))
		Expect(tracker.Reserve(claimOf(1), start.Add(2*time.Minute)).Kind).To(Equal(quarantine.AnswerRun))
	})
})

var _ = Describe("Merge", func() {
	entries := rapid.Custom(func(t *rapid.T) quarantine.Entry {
		kinds := []quarantine.Kind{quarantine.KindCrash, quarantine.KindCompleted, quarantine.KindQuarantined}
		return quarantine.Entry{
			Kind:        rapid.SampledFrom(kinds).Draw(t, "kind"),
			Fingerprint: quarantine.Hash(content(rapid.Byte().Draw(t, "content"))),
			Endpoint:    types.EndpointID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "endpoint"))),
			AtMillis:    start.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "s")) * time.Second).UnixMilli(),
		}
	})

	It("gives the same result in any order and any number of times, within its capacity", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := rapid.SliceOfN(entries, 0, 60).Draw(t, "entries")
			shuffled := rapid.Permutation(list).Draw(t, "order")
			const capacity = 20
			now := start.Add(20 * time.Minute)
			a := quarantine.New(quarantine.Options{Capacity: capacity})
			b := quarantine.New(quarantine.Options{Capacity: capacity})
			for i := range list {
				a.Merge(quarantine.Digest{Entries: list[i : i+1]}, now)
				b.Merge(quarantine.Digest{Entries: shuffled[i : i+1]}, now)
				b.Merge(quarantine.Digest{Entries: shuffled[:min(i, 10)]}, now)
			}
			Expect(a.Digest(0).Entries).To(ConsistOf(b.Digest(0).Entries))
			Expect(len(a.Digest(0).Entries)).To(BeNumerically("<=", capacity))
		})
	})

	It("ignores entries from the future, which could evict all others", func() {
		tracker := quarantine.New(quarantine.Options{})
		entry := quarantine.Entry{Kind: quarantine.KindQuarantined, AtMillis: start.Add(time.Minute).UnixMilli()}
		tracker.Merge(quarantine.Digest{Entries: []quarantine.Entry{entry}}, start)
		Expect(tracker.Digest(0).Entries).To(BeEmpty())
	})

	It("survives encoding as JSON and rejects a truncated fingerprint", func() {
		tracker := quarantine.New(quarantine.Options{})
		crash(tracker, "e1", start, 1)
		text, err := json.Marshal(tracker.Digest(0))
		Expect(err).NotTo(HaveOccurred())
		var digest quarantine.Digest
		Expect(json.Unmarshal(text, &digest)).To(Succeed())
		Expect(digest).To(Equal(tracker.Digest(0)))
		Expect(json.Unmarshal([]byte(`{"entries":[{"fingerprint":"0102"}]}`), &digest)).NotTo(Succeed())
	})
})

var _ = Describe("Fingerprinter", func() {
	It("depends on the key and the content, and on where fields begin and end", func() {
		firstKey, secondKey := quarantine.NewFingerprinter([]byte("k1")), quarantine.NewFingerprinter([]byte("k2"))
		base := firstKey.Of("quotes", "POST", "/a", []byte("body"))
		Expect(firstKey.Of("quotes", "POST", "/a", []byte("body"))).To(Equal(base))
		Expect(secondKey.Of("quotes", "POST", "/a", []byte("body"))).NotTo(Equal(base))
		Expect(firstKey.Of("quotes", "POST", "/ab", []byte("ody"))).NotTo(Equal(base))
	})
})

func BenchmarkStatus(b *testing.B) {
	tracker := quarantine.New(quarantine.Options{})
	for i := range 4096 {
		crash(tracker, types.EndpointID(fmt.Sprint("e", i%256)), start, byte(i), byte(i>>8))
	}
	for b.Loop() {
		tracker.Status(content(250), start.Add(time.Second))
	}
}

func BenchmarkAcquireOfUnknown(b *testing.B) {
	tracker := quarantine.New(quarantine.Options{})
	hash := quarantine.Hash(content(1))
	for b.Loop() {
		tracker.Acquire(quarantine.Claim{Content: hash, Endpoint: "e1", DeadlineMillis: start.Add(time.Minute).UnixMilli()}, start)
		tracker.Release(quarantine.Release{Content: hash, Outcome: quarantine.OutcomeEnded}, start)
	}
}
