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

var _ = Describe("Open", func() {
	body := []byte("body")

	It("accepts an envelope sealed with any accepted key", func() {
		for _, key := range keys {
			text, err := forward.Seal(key, envelope(), body)
			Expect(err).NotTo(HaveOccurred())
			opened, err := forward.Open(keys, text, body, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(opened).To(Equal(envelope()))
		}
	})

	DescribeTable("refuses an envelope",
		func(mutate func(text *string, body *[]byte, receivedAt *time.Time), want error) {
			text, err := forward.Seal(keys[0], envelope(), body)
			Expect(err).NotTo(HaveOccurred())
			receivedBody, receivedAt := append([]byte(nil), body...), now
			mutate(&text, &receivedBody, &receivedAt)
			_, err = forward.Open(keys, text, receivedBody, receivedAt)
			Expect(err).To(MatchError(want))
		},
		Entry("with another body", func(_ *string, b *[]byte, _ *time.Time) { (*b)[0]++ }, forward.ErrForged),
		Entry("with a changed text", func(t *string, _ *[]byte, _ *time.Time) { *t = (*t)[:8] + "X" + (*t)[9:] }, forward.ErrForged),
		Entry("sealed with an unknown key", func(t *string, _ *[]byte, _ *time.Time) { *t = "x" + *t }, forward.ErrUnknownKey),
		Entry("without its parts", func(t *string, _ *[]byte, _ *time.Time) { *t = "new" }, forward.ErrMalformed),
		Entry("older than the limit", func(_ *string, _ *[]byte, receivedAt *time.Time) { *receivedAt = receivedAt.Add(time.Hour) }, forward.ErrStale),
	)
})

var _ = Describe("Accept", func() {
	It("accepts a request that is addressed to this daemon", func() {
		req, failure := forward.Accept(envelope(), nil, view(), now)
		Expect(failure).To(BeNil())
		Expect(req.Path).To(Equal([]types.Incarnation{sender}))
		Expect(req.Deadline).To(Equal(now.Add(time.Second)))
	})

	DescribeTable("refuses without relying on the sender's checks",
		func(mutate func(*forward.Envelope, *snapshot.Snapshot), code types.Code, verdict types.Verdict) {
			e, v := envelope(), view()
			mutate(e, v)
			_, failure := forward.Accept(e, nil, v, now)
			Expect(failure).NotTo(BeNil())
			Expect(failure.Code).To(Equal(code))
			Expect(failure.Verdict).To(Equal(verdict))
		},
		Entry("a second hop", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.Path = append(e.Path, sender) }, types.CodeLoop, types.NotRun),
		Entry("no path", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.Path = nil }, types.CodeLoop, types.NotRun),
		Entry("a request that this daemon forwarded", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.Path[0] = self }, types.CodeLoop, types.NotRun),
		Entry("a request addressed to another daemon", func(e *forward.Envelope, _ *snapshot.Snapshot) { e.To = "10.0.0.3:1" }, types.CodeForbidden, types.NotRun),
		Entry("a request for an earlier incarnation", func(e *forward.Envelope, _ *snapshot.Snapshot) {
			e.Owner = types.Incarnation{VM: self.VM, Boot: "gone"}
		}, types.CodeOwnerGone, types.MayHaveRun),
		Entry("a region that the service does not allow", func(_ *forward.Envelope, v *snapshot.Snapshot) { v.Self.Region = "colombo" }, types.CodeResidency, types.NotRun),
		Entry("a region that is not the organisation's home", func(_ *forward.Envelope, v *snapshot.Snapshot) { v.Config.Orgs["bagmati"].Home = "kathmandu" }, types.CodeResidency, types.NotRun),
		Entry("a request before the configuration is loaded", func(_ *forward.Envelope, v *snapshot.Snapshot) { v.Config = nil }, types.CodeNotReady, types.NotRun),
	)
})

// FuzzOpen checks that Open accepts only the sealed text with its own body.
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
