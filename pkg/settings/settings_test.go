package settings_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const valid = `region: kathmandu
data_centre: ktm-1
caller: {address: "127.0.0.1:8080"}
peer:
  address: "127.0.0.1:8081"
  keys: [{id: k1, file: /run/key}]
platform: {url: "http://127.0.0.1:9000"}
`

var _ = Describe("Parse", func() {
	It("keeps the defaults of fields that the file does not set", func() {
		parsed, err := settings.Parse("d.yaml", []byte(valid+"timeouts: {body: 5s}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Timeouts.Body).To(Equal(5 * time.Second))
		Expect(parsed.Timeouts.Write).To(Equal(settings.Defaults().Timeouts.Write))
		Expect(parsed.CallerAddress()).To(Equal("127.0.0.1:8080"))
	})

	It("reports all problems at once, each with line, field, value and accepted values", func() {
		_, err := settings.Parse("d.yaml", []byte(`region: kathmandu
regions: x
caller: {address: "localhost:80", tls: {key: a.pem}}
peer:
  address: "127.0.0.1:8081"
  keys: [{id: "a b", file: /k}]
limits: {requests: many, body_bytes: 1}
timeouts: {body: 5}
region: again
`))
		Expect(err).To(BeAssignableToTypeOf(settings.Problems{}))
		text := err.Error()
		for _, line := range []string{
			`d.yaml: data_centre: got nothing, accepts the name of a published data centre`,
			`d.yaml:2: regions: got an unknown field, accepts the fields region, data_centre,`,
			`d.yaml:3: caller.address: got "localhost:80", accepts an address ip:port`,
			`d.yaml:3: caller.tls.certificate: got nothing, accepts the path of a PEM file`,
			`d.yaml:6: peer.keys[0].id: got "a b", accepts 1 to 32 letters and digits`,
			`d.yaml:7: limits.requests: got "many", accepts a whole number`,
			`d.yaml:7: limits.body_bytes: got "1", accepts 1024 to`,
			`d.yaml:8: timeouts.body: got "5", accepts a duration`,
			`d.yaml:9: region: got the field a second time`,
			`d.yaml: platform.url: got nothing`,
		} {
			Expect(text).To(ContainSubstring(line))
		}
	})

	DescribeTable("rejects files that are not a YAML mapping or lack required fields",
		func(data, want string) {
			_, err := settings.Parse("d.yaml", []byte(data))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("a list", "- a\n", "got a list, accepts a mapping"),
		Entry("not YAML", "a: [", "accepts YAML"),
		Entry("an empty file", "", "region: got nothing"),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("limits: {requests: 99999999999999999999}\n? [a]\n: b"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := settings.Parse("f", data)
		if (parsed == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
