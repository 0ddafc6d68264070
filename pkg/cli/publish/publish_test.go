package publish_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/cli"
)

func TestPublish(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "publish")
}

const file = `regions:
  - {name: kathmandu, data_centres: [ktm-1]}
service: orders
team: sales
kind: plain
allowed_regions: [kathmandu]
calls:
  - {method: GET, path_prefix: /stock, repeatable: true}
`

func run(args ...string) (string, error) {
	var out bytes.Buffer
	root := cli.NewRoot()
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

var _ = Describe("The publishing commands", func() {
	var dir string
	at := func(name string) string { return filepath.Join(dir, name) }
	write := func(text string) { Expect(os.WriteFile(at("orders.yaml"), []byte(text), 0o600)).To(Succeed()) }
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		write(file)
	})
	must := func(args ...string) string {
		out, err := run(args...)
		Expect(err).NotTo(HaveOccurred())
		return out
	}

	It("build, sign, verify and compare two revisions", func() {
		must("bundle", "keygen", at("key"))
		must("bundle", "build", "--revision", "1", "--out", at("one"), at("orders.yaml"))
		_, err := run("bundle", "verify", "--key", at("key.public.pem"), at("one"))
		Expect(err).To(MatchError(ContainSubstring("no signature under an accepted key")))
		must("bundle", "sign", "--key", at("key.private.pem"), at("one"))
		Expect(must("bundle", "verify", "--key", at("key.public.pem"), at("one"))).To(HavePrefix("revision 1, hash "))
		write(strings.Replace(file, "repeatable: true", "repeatable: false", 1))
		must("bundle", "build", "--previous", at("one"), "--out", at("two"), at("orders.yaml"))
		Expect(must("bundle", "diff", at("one"), at("two"))).To(Equal("services.orders.calls[0].repeatable: true -> false\n"))
	})

	It("refuse a revision that does not grow", func() {
		must("bundle", "build", "--revision", "5", "--out", at("one"), at("orders.yaml"))
		_, err := run("bundle", "build", "--previous", at("one"), "--revision", "5", "--out", at("two"), at("orders.yaml"))
		Expect(err).To(MatchError(ContainSubstring("revision 5 is not above the previous bundle's 5")))
	})

	It("refuse a bundle of which one file was changed", func() {
		must("bundle", "keygen", at("key"))
		must("bundle", "build", "--revision", "1", "--out", at("one"), at("orders.yaml"))
		must("bundle", "sign", "--key", at("key.private.pem"), at("one"))
		blobs, err := filepath.Glob(at("one/blob-*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(blobs[0], []byte("{}"), 0o600)).To(Succeed())
		_, err = run("bundle", "verify", "--key", at("key.public.pem"), at("one"))
		Expect(err).To(MatchError(ContainSubstring("a blob does not match its hash")))
	})

	It("check files and name file and line", func() {
		write(strings.Replace(file, "kind: plain", "kind: other", 1))
		_, err := run("config", "check", dir)
		Expect(err).To(MatchError(ContainSubstring(`orders.yaml:5: kind: is "other"`)))
	})

	It("never overwrite a key", func() {
		must("bundle", "keygen", at("key"))
		_, err := run("bundle", "keygen", at("key"))
		Expect(err).To(MatchError(os.ErrExist))
	})
})
