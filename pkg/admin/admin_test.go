package admin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/admin"
	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/usage"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "administration API")
}

const (
	operator = "operator-credential"
	team     = "team-credential"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func testSnapshot() *snapshot.Snapshot {
	endpoint := func(id types.EndpointID, service types.ServiceName) *snapshot.Endpoint {
		return &snapshot.Endpoint{ID: id, Service: service, Slots: 4, Counters: &snapshot.Counters{}}
	}
	return &snapshot.Snapshot{
		Config: &published.Configuration{
			Revision: 7,
			Services: map[types.ServiceName]*published.Service{
				"quotes": {Name: "quotes", Team: "sales"},
				"orders": {Name: "orders", Team: "warehouse"},
			},
			Administrators: map[published.CredentialHash]*published.Administrator{
				published.HashCredential(operator): {Name: "op", Role: published.RoleOperator},
				published.HashCredential(team):     {Name: "sales", Role: published.RoleTeam, Team: "sales"},
			},
		},
		Endpoints: map[types.ServiceName][]*snapshot.Endpoint{
			"quotes": {endpoint("q1", "quotes")},
			"orders": {endpoint("o1", "orders")},
		},
		Members:    []snapshot.Member{{CallerAddress: "10.0.0.2:8080", State: snapshot.MemberAlive}},
		Quarantine: map[request.Fingerprint]time.Time{{1}: now},
	}
}

func sources(snap *snapshot.Snapshot) admin.Sources {
	book := usage.NewBook()
	counts := burn.NewState(snapshot.Self{}, now)
	objective := [types.RankCount]published.Objective{{InTime: 0.9}}
	for _, name := range []types.ServiceName{"quotes", "orders"} {
		service := &published.Service{Name: name, Team: snap.Config.Services[name].Team, Objectives: objective}
		outcome := request.Outcome{Service: name, Team: service.Team, Verdict: types.Ran, FinishedAt: now}
		book.Record(outcome, service)
		counts.Record(outcome, service)
	}
	return admin.Sources{
		Snapshot: func() *snapshot.Snapshot { return snap },
		Status:   func() admin.Status { return admin.Status{Started: now, NotReady: "no configuration yet"} },
		Queues:   func() admin.Queues { return admin.Queues{Ranks: []admin.QueueStatus{{Capacity: 8}}} },
		Orders:   func() admin.Orders { return admin.Orders{Running: 1} },
		Explain: func(r *request.Request) (route.Decision, *types.Failure) {
			return route.Decision{Endpoint: snap.Endpoints[r.Service.Name][0], Reason: "least loaded"}, nil
		},
		Validate: func(map[string][]byte) admin.Validation { return admin.Validation{Problems: []string{"not signed"}} },
		Usage:    book.Lines,
		Burn:     func() (burn.DaemonReport, error) { return counts.Report(now) },
		Metrics:  http.NotFoundHandler(),
		Now:      func() time.Time { return now },
	}
}

func call(api http.Handler, method, path, credential string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader("{}"))
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	answer := httptest.NewRecorder()
	api.ServeHTTP(answer, req)
	return answer
}

var _ = Describe("the administration API", func() {
	var api http.Handler
	BeforeEach(func() {
		api = admin.New(sources(testSnapshot()), admin.Options{})
	})

	It("describes exactly the calls that it serves, with the fields they answer", func() {
		doc := admin.Describe()
		Expect(doc.Paths).To(HaveLen(11))
		for path, ops := range doc.Paths {
			for method, op := range ops {
				answer := call(api, strings.ToUpper(method), path+"?service=quotes", operator)
				Expect(answer.Code).To(Equal(200), path)
				var fields map[string]json.RawMessage
				Expect(json.Unmarshal(answer.Body.Bytes(), &fields)).To(Succeed())
				schema := op.Responses["200"].Content["application/json"].Schema
				for name := range fields {
					Expect(schema.Properties).To(HaveKey(name), path)
				}
			}
		}
	})

	It("refuses callers without an administrator's credential", func() {
		for path := range admin.Describe().Paths {
			method := http.MethodGet
			if strings.HasSuffix(path, "validate") {
				method = http.MethodPost
			}
			Expect(call(api, method, path, "").Code).To(Equal(401), path)
			Expect(call(api, method, path, "wrong").Code).To(Equal(401), path)
		}
	})

	DescribeTable("keeps the whole deployment from a team",
		func(method, path string) { Expect(call(api, method, path, team).Code).To(Equal(403)) },
		Entry("members", "GET", "/admin/v1/members"),
		Entry("queues", "GET", "/admin/v1/queues"),
		Entry("quarantine", "GET", "/admin/v1/quarantine"),
		Entry("orders", "GET", "/admin/v1/orders"),
		Entry("validate", "POST", "/admin/v1/validate"),
		Entry("explain of another team's service", "GET", "/admin/v1/explain?service=orders"),
	)

	DescribeTable("shows a team its own services only",
		func(path string) {
			body := call(api, "GET", path, team).Body.String()
			Expect(body).To(ContainSubstring("quotes"))
			Expect(body).NotTo(ContainSubstring("orders"))
			Expect(call(api, "GET", path, operator).Body.String()).To(ContainSubstring("orders"))
		},
		Entry("endpoints", "/admin/v1/endpoints"),
		Entry("usage", "/admin/v1/usage"),
		Entry("burn", "/admin/v1/burn"),
	)

	DescribeTable("names what is wrong with an explain",
		func(query, want string) {
			answer := call(api, "GET", "/admin/v1/explain?"+query, operator)
			Expect(answer.Code).To(BeNumerically(">=", 400))
			Expect(answer.Body.String()).To(ContainSubstring(want))
		},
		Entry("no such service", "service=nope", "nope"),
		Entry("rank", "service=quotes&rank=soon", "soon"),
		Entry("tokens", "service=quotes&tokens=-4", "-4"),
		Entry("organisation", "service=quotes&organisation=x", "organisation"),
	)

	It("tells readiness apart from health", func() {
		Expect(call(api, "GET", "/healthz", "").Code).To(Equal(200))
		answer := call(api, "GET", "/readyz", "")
		Expect(answer.Code).To(Equal(503))
		Expect(answer.Body.String()).To(ContainSubstring("no configuration yet"))
	})

	It("lets the local operator in before any configuration is in force", func() {
		from := sources(testSnapshot())
		from.Snapshot = func() *snapshot.Snapshot { return &snapshot.Snapshot{} }
		api = admin.New(from, admin.Options{OperatorHash: published.HashCredential("local")})
		Expect(call(api, "GET", "/admin/v1/status", "local").Code).To(Equal(200))
		Expect(call(api, "GET", "/admin/v1/status", operator).Code).To(Equal(401))
	})
})
