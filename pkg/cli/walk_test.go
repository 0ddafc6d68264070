package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
	"github.com/flamingomount/flamingomount/pkg/bundle/keyfile"
	"github.com/flamingomount/flamingomount/pkg/cli"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

// patience bounds how long the walk waits; no check depends on it.
const patience = 2 * time.Minute

const deploymentFile = `
regions:
  - name: kathmandu
    data_centres: [kathmandu-1]
administrators:
  - name: operations
    role: operator
    sha256: ADMIN
organisations:
  - name: field-agents
    credentials:
      - sha256: CALLER
        services: [liner-assistant, liner-orders]
        max_rank: urgent
`

const modelFile = `
service: liner-assistant
team: quotations
kind: model
versions: ["2026-10"]
allowed_regions: [kathmandu]
max_rank: urgent
`

const ordersFile = `
service: liner-orders
team: orders
kind: plain
allowed_regions: [kathmandu]
max_rank: urgent
calls:
  - {method: GET, path_prefix: /orders, repeatable: true}
`

// operator is one operator with files in a directory of its own.
type operator struct {
	dir string
	all *deployment.Deployment
}

func (o *operator) path(name string) string { return filepath.Join(o.dir, name) }

func (o *operator) write(name, text string) {
	text = strings.NewReplacer("ADMIN", string(published.HashCredential(deployment.AdminCredential)),
		"CALLER", string(published.HashCredential(deployment.Credential))).Replace(text)
	Expect(os.MkdirAll(filepath.Dir(o.path(name)), 0o755)).To(Succeed())
	Expect(os.WriteFile(o.path(name), []byte(text), 0o600)).To(Succeed())
}

// run runs one command of the tool and returns what it printed.
func (o *operator) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := cli.NewRoot()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	return out.String(), err
}

func (o *operator) must(args ...string) string {
	out, err := o.run(args...)
	Expect(err).NotTo(HaveOccurred(), strings.Join(args, " ")+"\n"+out)
	return out
}

// ask runs a command that asks every running daemon.
func (o *operator) ask(args ...string) string {
	for _, entry := range o.all.Entries() {
		args = append(args, "--daemon", entry.AdminAddress())
	}
	return o.must(args...)
}

// call sends a caller's request and returns its status.
func (o *operator) call(method, path, body string) int {
	req, err := http.NewRequest(method, o.all.Entries()[0].URL()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+deployment.Credential)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode
}

func (o *operator) question() int {
	return o.call("POST", "/v1/chat/completions", `{"model":"liner-assistant","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`)
}

var _ = It("walks an operator from service files to a burn report", func() {
	o := &operator{dir: GinkgoT().TempDir()}
	GinkgoT().Setenv("FLAMINGOMOUNT_CREDENTIAL", deployment.AdminCredential)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	By("checking, building, signing and verifying the files")
	o.write("files/deployment.yaml", deploymentFile)
	o.write("files/model.yaml", modelFile)
	o.write("files/orders.yaml", ordersFile)
	o.must("bundle", "keygen", o.path("publisher"))
	o.must("config", "check", o.path("files"))
	o.must("bundle", "build", o.path("files"), "--revision", "1", "--out", o.path("bundle-1"))
	o.must("bundle", "sign", o.path("bundle-1"), "--key", o.path("publisher.private.pem"))
	o.must("bundle", "verify", o.path("bundle-1"), "--key", o.path("publisher.public.pem"))

	By("running a fleet that accepts the publisher's key")
	private, err := os.ReadFile(o.path("publisher.private.pem"))
	Expect(err).NotTo(HaveOccurred())
	signer, err := keyfile.ParseSigner(private)
	Expect(err).NotTo(HaveOccurred())
	first, err := bundledir.ReadValues(o.path("bundle-1"))
	Expect(err).NotTo(HaveOccurred())
	o.all, err = deployment.Start(deployment.Plan{
		Values: first, Signer: &signer, Model: deployment.Model, Orders: deployment.Orders, Version: deployment.Version,
		Regions: []deployment.RegionPlan{{Region: "kathmandu", Daemons: 2, Engines: 2, Workers: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	defer o.all.Close()
	Expect(o.all.WaitReady(ctx)).To(Succeed())
	Expect(strings.Count(o.ask("status"), "true")).To(BeNumerically(">=", 2))
	Expect(o.question()).To(Equal(200))

	By("refusing a bad change, with file, line and field")
	o.write("bad/deployment.yaml", deploymentFile)
	o.write("bad/model.yaml", strings.Replace(modelFile, "[kathmandu]", "[pokhara]", 1))
	out, err := o.run("bundle", "build", o.path("bad"), "--revision", "2", "--out", o.path("bundle-bad"))
	Expect(err).To(HaveOccurred())
	Expect(out + err.Error()).To(And(ContainSubstring("model.yaml:6"), ContainSubstring("pokhara")))
	out, err = o.run("validate", "--bundle", o.path("bundle-1"), "--daemon", o.all.Entries()[0].AdminAddress())
	Expect(err).To(HaveOccurred())
	Expect(out).To(ContainSubstring("not above 1"))

	By("putting a good change in force everywhere")
	o.write("files/model.yaml", modelFile+"deadlines: {urgent: 5s}\n")
	o.must("bundle", "build", o.path("files"), "--previous", o.path("bundle-1"), "--out", o.path("bundle-2"))
	o.must("bundle", "sign", o.path("bundle-2"), "--key", o.path("publisher.private.pem"))
	Expect(o.must("bundle", "diff", o.path("bundle-1"), o.path("bundle-2"))).To(ContainSubstring("liner-assistant"))
	o.ask("validate", "--bundle", o.path("bundle-2"))
	second, err := bundledir.ReadValues(o.path("bundle-2"))
	Expect(err).NotTo(HaveOccurred())
	o.all.PublishValues(second)
	inForce := func(e *deployment.Entry) bool { return e.Load().Config.Revision == 2 }
	Expect(o.all.Wait(ctx, inForce)).To(Succeed())

	By("draining an endpoint, and explaining why it gets nothing")
	o.all.LeaveEndpoint("kathmandu-engine-1")
	leaves := func(e *deployment.Entry) bool { return leaving(e, "kathmandu-engine-1") }
	Expect(o.all.Wait(ctx, leaves)).To(Succeed())
	Expect(o.ask("endpoints", "--service", "liner-assistant")).To(ContainSubstring("leaving"))
	explained := o.ask("explain", "--service", "liner-assistant", "--organisation", "field-agents")
	Expect(explained).To(MatchRegexp(`candidates\s+drain\s+kathmandu-engine-1\s+true`))
	Expect(explained).To(MatchRegexp(`choice\s+kathmandu-engine-2`))

	By("reporting an outage of the order worker and nothing else")
	for range 3 {
		Expect(o.question()).To(Equal(200))
		Expect(o.call("GET", "/v1/services/liner-orders/orders/7", "")).To(Equal(200))
	}
	o.all.CrashEndpoint("kathmandu-orders-1")
	for range 5 {
		Expect(o.call("GET", "/v1/services/liner-orders/orders/7", "")).To(BeNumerically(">=", 500))
		Expect(o.question()).To(Equal(200))
	}
	report := o.ask("report", "burn", "--html", o.path("burn.html"))
	Expect(report).To(MatchRegexp(`liner-orders\s+urgent\s+in_time\s+0.99\s+[1-9]`))
	Expect(report).To(MatchRegexp(`liner-assistant\s+urgent\s+in_time\s+0.99\s+0.00\s+0.00\s+0.00\s+0.00\s+\d+%\s+100.0%\s+none`))
	page, err := os.ReadFile(o.path("burn.html"))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(page)).To(ContainSubstring("liner-orders"))
	Expect(o.ask("usage")).To(ContainSubstring("quotations"))

	By("marking a daemon that does not answer")
	dead := o.ask("status", "--daemon", "127.0.0.1:1")
	Expect(dead).To(ContainSubstring("no answer from http://127.0.0.1:1"))

	By("reading JSON")
	Expect(json.Valid([]byte(o.ask("status", "--output", "json")))).To(BeTrue())

	By("reading admission, the quarantine and the order memory")
	Expect(o.ask("queues")).To(MatchRegexp(`urgent\s+0\s+0\s+0\s+[1-9]`))
	Expect(o.ask("quarantine")).To(ContainSubstring("FINGERPRINT"))
	Expect(o.ask("orders")).To(MatchRegexp(`0\s+0\s+0\s+[1-9]`))
})

func leaving(entry *deployment.Entry, id types.EndpointID) bool {
	for _, endpoint := range entry.Load().Endpoints[deployment.Model] {
		if endpoint.ID == id {
			return endpoint.State.String() == "leaving"
		}
	}
	return false
}
