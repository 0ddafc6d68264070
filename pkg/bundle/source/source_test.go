package source_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/source"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestSource(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "source")
}

const deployment = `regions:
  - name: kathmandu
    data_centres: [ktm-1]
    weight_store: true
  - name: pokhara
    data_centres: [pkr-1]
links:
  - {from: kathmandu, to: pokhara, one_way: 55ms, bits_per_second: 140000000}
policy:
  patient_floor: 0.1
  weights: {cost: 2, sent_away: 3, urgent_tail: 1, flood: 1}
`

const quotations = `service: quotations
team: sales
kind: model
versions: ["2026-10"]
allowed_regions: [kathmandu, pokhara]
max_rank: urgent
deadlines: {urgent: 5s, patient: 20m}
objectives:
  urgent: {in_time: 0.95, first_token: 1s, between_tokens: 50ms}
replicas:
  kathmandu: {"2026-10": 2}
`

var organisations = `organisations:
  - name: field-agents
    share: 2
    home: pokhara
    credentials:
      - {sha256: ` + strings.Repeat("ab", 32) + `, services: [quotations], max_rank: urgent}
`

func load(texts ...string) []string {
	_, err := source.Load(files(texts...), 1, time.Unix(0, 0))
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}

func files(texts ...string) []source.File {
	var out []source.File
	for i, text := range texts {
		out = append(out, source.File{Name: string(rune('a'+i)) + ".yaml", Data: []byte(text)})
	}
	return out
}

var _ = Describe("Operators' files", func() {
	It("make one configuration", func() {
		config, err := source.Load(files(deployment, quotations, organisations), 3, time.Unix(0, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Revision).To(Equal(types.Revision(3)))
		Expect(config.Services["quotations"].Deadlines).To(Equal([2]time.Duration{5 * time.Second, 20 * time.Minute}))
		Expect(config.Orgs["field-agents"].Home).To(Equal(types.Region("pokhara")))
		Expect(config.Links[0].OneWay).To(Equal(55 * time.Millisecond))
		Expect(config.Placement["quotations"].Replicas["kathmandu"]["2026-10"]).To(Equal(2))
		Expect(config.Policy.Weights.SentAway).To(Equal(3.0))
	})

	It("that differ in one value differ in exactly that", func() {
		before, err := source.Load(files(deployment, quotations, organisations), 3, time.Unix(0, 0))
		Expect(err).NotTo(HaveOccurred())
		changed := strings.Replace(quotations, "urgent: 5s", "urgent: 6s", 1)
		after, err := source.Load(files(deployment, changed, organisations), 4, time.Unix(9, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.Diff(before, after)).To(Equal([]bundle.Change{
			{Path: "services.quotations.deadlines[0]", Before: "5s", After: "6s"},
		}))
	})

	It("report every problem of every file at once", func() {
		badService := strings.NewReplacer(
			"kind: model", "kind: modle", "allowed_regions: [kathmandu, pokhara]", "allowed_regions: [kathmandu, lhasa]",
			"in_time: 0.95", "in_time: 95", "patient: 20m", "patient: -20m").Replace(quotations)
		badOrgs := strings.Replace(organisations, "services: [quotations]", "services: [quotation]", 1)
		Expect(load(deployment, badService, badOrgs)).To(Equal([]string{
			`b.yaml:3: kind: is "modle"; it must be "model" or "plain"`,
			`b.yaml:5: allowed_regions: region "lhasa" is not defined in any file`,
			`b.yaml:7: deadlines.patient: is -20m0s; it must be above 0`,
			`b.yaml:9: objectives.urgent.in_time: is 95; it must be between 0 and 1`,
			`c.yaml:6: organisations.credentials.services: service "quotation" is not defined in any file`,
		}))
	})

	DescribeTable("are refused with an exact message",
		func(text, want string) {
			Expect(load(deployment, text)).To(ContainElement(want))
		},
		Entry("unknown field", strings.Replace(quotations, "team:", "taem:", 1), "b.yaml:2: taem: unknown field"),
		Entry("unknown rank", strings.Replace(quotations, "max_rank: urgent", "max_rank: high", 1), `b.yaml:6: unknown rank "high": want "urgent" or "patient"`),
		Entry("broken YAML", "service: [", "b.yaml:1: did not find expected node content"),
		Entry("empty", "", "b.yaml: the file is empty"),
		Entry("no region allowed", strings.Replace(quotations, "[kathmandu, pokhara]", "[]", 1), "b.yaml:1: allowed_regions: is empty: the service's data could go nowhere"),
		Entry("second document", quotations+"---\nservice: x\n", "b.yaml:12: a file holds one YAML document only"),
		Entry("twice defined", "regions: [{name: kathmandu, data_centres: [x]}]", `b.yaml:1: regions.name: region "kathmandu" is already defined at a.yaml:2`),
		Entry("a credential in the clear", "organisations: [{name: o, credentials: [{sha256: secret, services: [s]}]}]",
			"b.yaml:1: organisations.credentials.sha256: must be the SHA-256 of the credential, as 64 lower-case hex digits"),
	)
})
