package forward_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/forward"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

var (
	now    = time.UnixMilli(1_800_000_000_000)
	sender = types.Incarnation{VM: "10.0.0.1:1", Boot: "a"}
	self   = types.Incarnation{VM: "10.0.0.2:1", Boot: "b"}
	keys   = []forward.Key{{ID: "new", Secret: bytes.Repeat([]byte("n"), 32)}, {ID: "old", Secret: bytes.Repeat([]byte("o"), 32)}}
)

func envelope() *forward.Envelope {
	return &forward.Envelope{
		To: self.VM, SentAt: now.UnixMilli(), ID: "r1", Service: "quotes", Org: "bagmati",
		TimeLeftMS: 1000, Repeatable: true, Path: []types.Incarnation{sender}, Method: "POST",
	}
}

func view() *snapshot.Snapshot {
	return &snapshot.Snapshot{
		Self: snapshot.Self{Incarnation: self, Region: "pokhara"},
		Config: &published.Configuration{
			Services: map[types.ServiceName]*published.Service{"quotes": {Name: "quotes", Regions: []types.Region{"pokhara"}}},
			Orgs:     map[types.OrgName]*published.Organisation{"bagmati": {Name: "bagmati"}},
		},
	}
}

var _ = Describe("an envelope", func() {
	body := []byte("body")

	It("opens under any accepted key", func() {
		for _, key := range keys {
			text, err := forward.Seal(key, envelope(), body)
			Expect(err).NotTo(HaveOccurred())
			opened, err := forward.Open(keys, text, body, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(opened).To(Equal(envelope()))
		}
	})

	DescribeTable("is refused",
		func(change func(text *string, body *[]byte, at *time.Time), want error) {
			text, err := forward.Seal(keys[0], envelope(), body)
			Expect(err).NotTo(HaveOccurred())
			carried, at := append([]byte(nil), body...), now
			change(&text, &carried, &at)
			_, err = forward.Open(keys, text, carried, at)
			Expect(err).To(MatchError(want))
		},
		Entry("with another body", func(_ *string, b *[]byte, _ *time.Time) { (*b)[0]++ }, forward.ErrForged),
		Entry("when changed", func(t *string, _ *[]byte, _ *time.Time) { *t = (*t)[:8] + "X" + (*t)[9:] }, forward.ErrForged),
		Entry("under an unknown key", func(t *string, _ *[]byte, _ *time.Time) { *t = "x" + *t }, forward.ErrUnknownKey),
		Entry("without its parts", func(t *string, _ *[]byte, _ *time.Time) { *t = "new" }, forward.ErrMalformed),
		Entry("when old", func(_ *string, _ *[]byte, at *time.Time) { *at = at.Add(time.Hour) }, forward.ErrStale),
	)
})

var _ = Describe("Accept", func() {
	It("takes a request that is meant for this daemon", func() {
		req, failure := forward.Accept(envelope(), nil, view(), now)
		Expect(failure).To(BeNil())
		Expect(req.Path).To(Equal([]types.Incarnation{sender}))
		Expect(req.Deadline).To(Equal(now.Add(time.Second)))
	})

	DescribeTable("checks for itself",
		func(change func(*forward.Envelope, *snapshot.Snapshot), code types.Code, verdict types.Verdict) {
			e, v := envelope(), view()
			change(e, v)
			_, failure := forward.Accept(e, nil, v, now)
			Expect(failure).NotTo(BeNil())
			Expect(failure.Code).To(Equal(code))
			Expect(failure.Verdict).To(Equal(verdict))
		},
		Entry("a second hop", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.Path = append(e.Path, sender) }, types.CodeLoop, types.NotRun),
		Entry("no path", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.Path = nil }, types.CodeLoop, types.NotRun),
		Entry("its own request", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.Path[0] = self }, types.CodeLoop, types.NotRun),
		Entry("another receiver", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.To = "10.0.0.3:1" }, types.CodeForbidden, types.NotRun),
		Entry("an earlier incarnation", func(e *forward.Envelope, _ *snapshot.Snapshot) {
			e.Owner = types.Incarnation{VM: self.VM, Boot: "gone"}
		}, types.CodeOwnerGone, types.MayHaveRun),
		Entry("residency", func(_ *forward.Envelope, v *snapshot.Snapshot) { v.Self.Region = "colombo" }, types.CodeResidency, types.NotRun),
		Entry("the organisation's home", func(_ *forward.Envelope, v *snapshot.Snapshot) { v.Config.Orgs["bagmati"].Home = "kathmandu" }, types.CodeResidency, types.NotRun),
		Entry("no configuration", func(_ *forward.Envelope, v *snapshot.Snapshot) { v.Config = nil }, types.CodeNotReady, types.NotRun),
	)
})

// FuzzOpen checks that nothing opens but what was sealed.
func FuzzOpen(f *testing.F) {
	sealed, err := forward.Seal(keys[0], envelope(), []byte("body"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed, []byte("body"))
	f.Add("new..", []byte(""))
	f.Add("old.e30.AAAA", []byte("body"))
	f.Fuzz(func(t *testing.T, text string, body []byte) {
		_, err := forward.Open(keys, text, body, now)
		if (err == nil) != (text == sealed && string(body) == "body") {
			t.Fatalf("opened %q: %v", text, err)
		}
	})
}
