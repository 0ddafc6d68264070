package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/cli/trace"
)

func TestTraceCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace commands")
}

var _ = Describe("The commands that read logs", func() {
	const good = `{"time":"2026-09-09T19:43:42Z","msg":"request failed","request":"r1","status":502,"code":"endpoint_failed"}` + "\n"
	run := func(command *cobra.Command, log string, args ...string) (out, errors string) {
		path := filepath.Join(GinkgoT().TempDir(), "a.log")
		Expect(os.WriteFile(path, []byte(log), 0o600)).To(Succeed())
		var outBuffer, errBuffer bytes.Buffer
		command.SetOut(&outBuffer)
		command.SetErr(&errBuffer)
		command.SetArgs(append(args, path, path))
		Expect(command.Execute()).To(Succeed())
		return outBuffer.String(), errBuffer.String()
	}

	DescribeTable("tell how many lines they could not read", func(newCommand func() *cobra.Command, args ...string) {
		whole, errors := run(newCommand(), good, args...)
		Expect(errors).To(BeEmpty())
		out, errors := run(newCommand(), "half {\n"+good+strings.Repeat("no object\n", 2), args...)
		Expect(out).To(Equal(whole))
		Expect(errors).To(ContainSubstring("6 lines were skipped"))
	},
		Entry("trace", trace.Command, "r1"),
		Entry("losses", trace.LossesCommand),
		Entry("withheld", trace.WithheldCommand),
	)
})
