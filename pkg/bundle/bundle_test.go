package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/fakenet"
	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bundle")
}

func signer(name string, fill byte) bundle.Signer {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = fill
	return bundle.Signer{ID: bundle.KeyID(name), Key: ed25519.NewKeyFromSeed(seed)}
}

func publicKeysOf(signers ...bundle.Signer) bundle.Keys {
	keys := bundle.Keys{}
	for _, s := range signers {
		keys[s.ID] = s.Key.Public().(ed25519.PublicKey)
	}
	return keys
}

func configuration(organisations int) *published.Configuration {
	config := fakenet.Configuration(organisations, 1, fakenet.StandardLayout(8))
	config.Revision = 7
	return config
}

func signedBundle(config *published.Configuration, signers ...bundle.Signer) *bundle.Bundle {
	b, err := bundle.Build(config, "")
	Expect(err).NotTo(HaveOccurred())
	b.Signed = bundle.Sign(b.Signed, signers...)
	return b
}

var (
	oldKey = signer("old", 1)
	newKey = signer("new", 2)
)

var _ = Describe("A bundle", func() {
	It("holds 39,000 organisations in values under the platform's limit", func() {
		b := signedBundle(configuration(39_000), oldKey)
		values, err := b.Values()
		Expect(err).NotTo(HaveOccurred())
		for key, data := range values {
			Expect(len(data)).To(BeNumerically("<", platform.MaxValueBytes), key)
		}
		opened, err := bundle.OpenAll(b, publicKeysOf(oldKey))
		Expect(err).NotTo(HaveOccurred())
		Expect(opened.Orgs).To(HaveLen(39_000))
		Expect(opened.Credentials).To(HaveLen(39_000))
	})

	It("survives being written as values and read again", func() {
		b := signedBundle(configuration(50), oldKey)
		values, err := b.Values()
		Expect(err).NotTo(HaveOccurred())
		parsed, err := bundle.FromValues(values)
		Expect(err).NotTo(HaveOccurred())
		opened, err := bundle.OpenAll(parsed, publicKeysOf(oldKey))
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.Diff(configuration(50), opened)).To(BeEmpty())
		manifest, err := parsed.Signed.Decode()
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.CheckPacks(manifest)).To(Succeed())
	})

	It("with a pack that holds more than its index and the leaves is refused", func() {
		b := signedBundle(configuration(50), oldKey)
		manifest, err := b.Signed.Decode()
		Expect(err).NotTo(HaveOccurred())
		for hash, data := range b.Packs {
			var pack bundle.Pack
			Expect(json.Unmarshal(data, &pack)).To(Succeed())
			pack.Blobs = append(pack.Blobs, json.RawMessage(`{"orgs":[]}`))
			b.Packs[hash], err = json.Marshal(pack)
			Expect(err).NotTo(HaveOccurred())
			break
		}
		Expect(b.CheckPacks(manifest)).To(MatchError(bundle.ErrMalformed))
	})

	It("is refused without a signature of an accepted key, or when changed", func() {
		b := signedBundle(configuration(5), oldKey)
		_, err := bundle.OpenAll(b, publicKeysOf(newKey))
		Expect(err).To(MatchError(bundle.ErrNoAcceptedSignature))
		impostor := signer("old", 9)
		_, err = bundle.OpenAll(signedBundle(configuration(5), impostor), publicKeysOf(oldKey))
		Expect(err).To(MatchError(bundle.ErrNoAcceptedSignature))
		b.Signed.Manifest = bytes.Replace(b.Signed.Manifest, []byte(`"revision":7`), []byte(`"revision":8`), 1)
		_, err = bundle.OpenAll(b, publicKeysOf(oldKey))
		Expect(err).To(MatchError(bundle.ErrNoAcceptedSignature))
	})

	It("is refused whole when one blob is missing or changed", func() {
		for _, corrupt := range []func(*bundle.Bundle, bundle.Hash){
			func(b *bundle.Bundle, hash bundle.Hash) { delete(b.Blobs, hash) },
			func(b *bundle.Bundle, hash bundle.Hash) { b.Blobs[hash] = []byte("{}") },
		} {
			for hash := range signedBundle(configuration(20), oldKey).Blobs {
				b := signedBundle(configuration(20), oldKey)
				corrupt(b, hash)
				config, err := bundle.OpenAll(b, publicKeysOf(oldKey))
				Expect(err).To(HaveOccurred())
				Expect(config).To(BeNil())
			}
		}
	})

	It("is accepted at each step of a rotation of keys", func() {
		config := configuration(5)
		steps := []struct {
			sign   []bundle.Signer
			accept bundle.Keys
		}{
			{[]bundle.Signer{oldKey}, publicKeysOf(oldKey)},
			{[]bundle.Signer{oldKey, newKey}, publicKeysOf(oldKey)},
			{[]bundle.Signer{oldKey, newKey}, publicKeysOf(oldKey, newKey)},
			{[]bundle.Signer{newKey}, publicKeysOf(oldKey, newKey)},
			{[]bundle.Signer{newKey}, publicKeysOf(newKey)},
		}
		for _, step := range steps {
			_, err := bundle.OpenAll(signedBundle(config, step.sign...), step.accept)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("shows exactly the one value that differs, and re-uses every other blob", func() {
		before, after := configuration(2000), configuration(2000)
		after.Orgs["organisation-00007"].Share = 3
		Expect(bundle.Diff(before, after)).To(Equal([]bundle.Change{
			{Path: "organisations.organisation-00007.share", Before: "1", After: "3"},
		}))
		old, next := signedBundle(before, oldKey), signedBundle(after, oldKey)
		newBlobs := 0
		for hash := range next.Blobs {
			if _, reused := old.Blobs[hash]; !reused {
				newBlobs++
			}
		}
		Expect(newBlobs).To(Equal(2), "one index and one leaf")
	})

	DescribeTable("shows one changed value of a service or of the policy",
		func(change func(*published.Configuration), want bundle.Change) {
			before, after := configuration(5), configuration(5)
			change(after)
			Expect(bundle.Diff(before, after)).To(Equal([]bundle.Change{want}))
		},
		Entry("rank", func(c *published.Configuration) { c.Services["model-0"].MaxRank = types.RankPatient },
			bundle.Change{Path: "services.model-0.max_rank", Before: "urgent", After: "patient"}),
		Entry("regions", func(c *published.Configuration) { c.Services["model-1"].Regions = []types.Region{"region-00"} },
			bundle.Change{Path: "services.model-1.regions", Before: "[region-00 region-01 region-02]", After: "[region-00]"}),
		Entry("policy", func(c *published.Configuration) { c.Policy.RetryBudget = 0.2 },
			bundle.Change{Path: "policy.retry_budget", Before: "0", After: "0.2"}),
		Entry("removal", func(c *published.Configuration) { delete(c.Orgs, "organisation-00001") },
			bundle.Change{Path: "organisations.organisation-00001", Before: "{Name:organisation-00001 Share:1 Home:}", After: "-"}),
	)
})

// BenchmarkAcceptChange measures how long a daemon takes to accept a change of
// one organisation among 39,000.
func BenchmarkAcceptChange(b *testing.B) {
	config := fakenet.Configuration(39_000, 1, fakenet.StandardLayout(8))
	config.Revision = 1
	first, err := bundle.Build(config, "")
	if err != nil {
		b.Fatal(err)
	}
	manifest, _ := first.Signed.Decode()
	_, tree, err := (&bundle.Tree{}).Open(manifest, "", first.Blobs)
	if err != nil {
		b.Fatal(err)
	}
	config.Revision = 2
	config.Orgs["organisation-00007"].Share = 3
	second, err := bundle.Build(config, "")
	if err != nil {
		b.Fatal(err)
	}
	second.Signed = bundle.Sign(second.Signed, oldKey)
	data, _ := json.Marshal(second.Signed)
	for b.Loop() {
		manifest, hash, err := bundle.VerifySigned(data, publicKeysOf(oldKey))
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := tree.Open(manifest, hash, second.Blobs); err != nil {
			b.Fatal(err)
		}
	}
}
