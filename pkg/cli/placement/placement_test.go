package placement_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/cli/placement"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain-route")
}

var _ = Describe("explain-route", func() {
	// run asks a daemon that answers with a status and a body.
	run := func(status int, body any, args ...string) (string, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal(explain.Path))
			w.WriteHeader(status)
			if text, plain := body.(string); plain {
				_, _ = w.Write([]byte(text))
				return
			}
			_ = json.NewEncoder(w).Encode(body)
		}))
		DeferCleanup(server.Close)
		var out bytes.Buffer
		cmd := placement.Command()
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		cmd.SetArgs(append([]string{"--daemon", server.URL, "--host", "a.example"}, args...))
		err := cmd.Execute()
		return out.String(), err
	}
	answer := explain.Answer{
		API: explain.APIVersion, Outcome: explain.ToEndpoint, Reason: "least score", Daemon: "10.0.0.1:1", SelfRegion: "north", Route: "r", Endpoint: "i-1", QuotaCost: 431, QuotaCredit: 1200,
		Regions: []explain.Region{{Region: "south", Dropped: "no daemon serves there"}},
		Endpoints: []explain.Endpoint{
			{ID: "i-1", Score: 0.5, Parts: []explain.Score{{Name: "work", Seconds: 0.5}}}, {ID: "i-2", Dropped: "is suspended after failures"},
		},
		EndpointsLeftOut: 3,
	}
	exitStatus := func(err error) int {
		var status interface{ ExitStatus() int }
		ExpectWithOffset(1, errors.As(err, &status)).To(BeTrue())
		return status.ExitStatus()
	}

	It("prints a table, or JSON", func() {
		out, err := run(http.StatusOK, answer)
		Expect(err).NotTo(HaveOccurred())
		for _, text := range []string{"endpoint i-1", "work 0.500", "is suspended after failures", "no daemon serves there", "and 3 others", "takes 431 units, the daemon has 1200"} {
			Expect(out).To(ContainSubstring(text))
		}
		out, err = run(http.StatusOK, answer, "--json")
		Expect(err).NotTo(HaveOccurred())
		var decoded explain.Answer
		Expect(json.Unmarshal([]byte(out), &decoded)).To(Succeed())
		Expect(decoded).To(Equal(answer))
	})

	It("ends with a status for each outcome", func() {
		waits, refused := answer, answer
		waits.Outcome, refused.Outcome, refused.Code = explain.Waits, explain.Refused, types.CodeOverloaded
		_, err := run(http.StatusOK, waits)
		Expect(exitStatus(err)).To(Equal(3))
		out, err := run(http.StatusOK, refused)
		Expect(exitStatus(err)).To(Equal(4))
		Expect(out).To(ContainSubstring("refused: overloaded"))
	})

	It("tells a daemon that is starting, too old, of another version or unreachable", func() {
		_, err := run(http.StatusServiceUnavailable, explain.Problem{Code: types.CodeNotReady, Message: "no configuration"})
		Expect(err).To(MatchError(ContainSubstring("still starting")))
		_, err = run(http.StatusNotFound, "404 page not found")
		Expect(err).To(MatchError(ContainSubstring("older than this command")))
		newer := answer
		newer.API++
		_, err = run(http.StatusOK, newer)
		Expect(err).To(MatchError(ContainSubstring("version 2")))
		_, err = run(http.StatusOK, "no JSON")
		Expect(err).To(MatchError(ContainSubstring("can't be read")))
		cmd := placement.Command()
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		cmd.SetArgs([]string{"--daemon", "127.0.0.1:1", "--host", "a.example"})
		Expect(cmd.Execute()).To(MatchError(ContainSubstring("can't be reached")))
	})

	It("refuses parts that are none", func() {
		_, err := run(http.StatusOK, answer, "--part", "x")
		Expect(err).To(MatchError(ContainSubstring("--part")))
	})
})
