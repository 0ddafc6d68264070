package admin

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// operation is one call of the API. The routes and the OpenAPI description are
// both made from the list of operations.
type operation struct {
	ID           string
	Method       string
	Path         string
	Summary      string
	OperatorOnly bool
	Query        []parameter
	// Answer is an empty value of the answer's type.
	Answer any
	run    func(*API, *published.Administrator, *http.Request) (any, *Problem)
	// runBody takes the place of run for an operation that takes a body.
	runBody func(*API, []byte) (any, *Problem)
}

// answer runs the operation, after it has received the body that the operation takes.
func (op operation) answer(a *API, who *published.Administrator, w http.ResponseWriter, r *http.Request) (any, *Problem) {
	if op.runBody == nil {
		return op.run(a, who, r)
	}
	body, err := a.opts.Bodies.Receive(w, r, bodies.Limits{Bytes: maxBundleBytes, Timeout: a.opts.BodyTimeout})
	if err != nil {
		return nil, bodyProblem(err)
	}
	defer body.Release()
	if err := body.ReserveDecoded(); err != nil {
		return nil, bodyProblem(err)
	}
	return op.runBody(a, body.Bytes())
}

func bodyProblem(err error) *Problem {
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		return &Problem{Code: types.CodeTooLarge, Message: "the bundle is larger than 64 MiB"}
	case errors.Is(err, bodies.ErrNoMemory), errors.Is(err, bodies.ErrYielded):
		return &Problem{Code: types.CodeOverloaded, Message: err.Error()}
	}
	return &Problem{Code: types.CodeBadRequest, Message: "the bundle can't be read"}
}

// parameter is one query parameter.
type parameter struct {
	Name     string
	Required bool
	Help     string
}

var operations []operation

// The list refers to functions that refer to the list, so init fills it.
func init() {
	operations = []operation{
		{ID: "status", Method: http.MethodGet, Path: "/admin/v1/status", Summary: "State of this daemon and its configuration", Answer: Status{}, run: runStatus},
		{ID: "members", Method: http.MethodGet, Path: "/admin/v1/members", Summary: "Other daemons as this one sees them", OperatorOnly: true, Answer: Members{}, run: runMembers},
		{ID: "endpoints", Method: http.MethodGet, Path: "/admin/v1/endpoints", Summary: "Endpoints with the reason for each state", Query: []parameter{{Name: "service", Help: "only this service"}}, Answer: Endpoints{}, run: runEndpoints},
		{ID: "queues", Method: http.MethodGet, Path: "/admin/v1/queues", Summary: "Admission by rank", OperatorOnly: true, Answer: Queues{}, run: runQueues},
		{ID: "quarantine", Method: http.MethodGet, Path: "/admin/v1/quarantine", Summary: "Quarantined requests", OperatorOnly: true, Answer: Quarantine{}, run: runQuarantine},
		{ID: "orders", Method: http.MethodGet, Path: "/admin/v1/orders", Summary: "Remembered requests that may not be repeated", OperatorOnly: true, Answer: Orders{}, run: runOrders},
		{ID: "explain", Method: http.MethodGet, Path: "/admin/v1/explain", Summary: "Where a request would go now, and why", Query: explainQuery, Answer: Explanation{}, run: runExplain},
		{ID: "validate", Method: http.MethodPost, Path: "/admin/v1/validate", Summary: "Whether this build accepts a bundle", OperatorOnly: true, Answer: Validation{}, runBody: runValidate},
		{ID: "usage", Method: http.MethodGet, Path: "/admin/v1/usage", Summary: "Use by team, service and rank", Answer: Usage{}, run: runUsage},
		{ID: "burn", Method: http.MethodGet, Path: "/admin/v1/burn", Summary: "Counts of service-level objectives", Answer: Burn{}, run: runBurn},
		{ID: "openapi", Method: http.MethodGet, Path: "/admin/v1/openapi.json", Summary: "This description", Answer: Document{}, run: runOpenAPI},
	}
}

var explainQuery = []parameter{
	{Name: "service", Required: true, Help: "service name"},
	{Name: "organisation", Help: "organisation name"},
	{Name: "rank", Help: "urgent or patient; default urgent"},
	{Name: "tokens", Help: "length of the prompt, in tokens; default 100"},
	{Name: "version", Help: "model version"},
}

// defaultExplainTokens is the prompt's length when explain is told none.
const defaultExplainTokens = 100

// sees reports whether the administrator may read about the service.
func sees(who *published.Administrator, config *published.Configuration, name types.ServiceName) bool {
	if who.Role == published.RoleOperator {
		return true
	}
	if config == nil {
		return false
	}
	service, ok := config.Services[name]
	return ok && service.Team == who.Team
}

func runStatus(a *API, _ *published.Administrator, _ *http.Request) (any, *Problem) {
	return a.sources.Status(), nil
}

func runMembers(a *API, _ *published.Administrator, _ *http.Request) (any, *Problem) {
	members := a.sources.Snapshot().Members
	return Members{Members: slices.Clone(members)}, nil
}

func runEndpoints(a *API, who *published.Administrator, r *http.Request) (any, *Problem) {
	snap := a.sources.Snapshot()
	wanted := types.ServiceName(r.URL.Query().Get("service"))
	answer := Endpoints{Endpoints: []EndpointStatus{}}
	for service, endpoints := range snap.Endpoints {
		if wanted != "" && service != wanted {
			continue
		}
		if !sees(who, snap.Config, service) {
			continue
		}
		for _, endpoint := range endpoints {
			answer.Endpoints = append(answer.Endpoints, endpointStatus(endpoint))
		}
	}
	slices.SortFunc(answer.Endpoints, func(x, y EndpointStatus) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.ID, y.ID))
	})
	return answer, nil
}

func endpointStatus(endpoint *snapshot.Endpoint) EndpointStatus {
	status := EndpointStatus{
		ID:         endpoint.ID,
		Service:    endpoint.Service,
		Version:    endpoint.Version,
		Region:     endpoint.Region,
		DataCentre: endpoint.DataCentre,
		Address:    endpoint.Address,
		State:      endpoint.State.String(),
		Reason:     endpoint.Reason,
		Slots:      endpoint.Slots,
		Running:    endpoint.Load.Running,
		Queued:     endpoint.Load.Queued,
		LoadAt:     endpoint.Load.TakenAt,
	}
	if endpoint.Counters != nil {
		status.Limit = endpoint.Counters.Limit.Load()
		status.InFlight = endpoint.Counters.InFlight.Load()
	}
	return status
}

func runQueues(a *API, _ *published.Administrator, _ *http.Request) (any, *Problem) {
	return a.sources.Queues(), nil
}

func runQuarantine(a *API, _ *published.Administrator, _ *http.Request) (any, *Problem) {
	answer := Quarantine{Requests: []QuarantinedRequest{}}
	for fingerprint, until := range a.sources.Snapshot().Quarantine {
		answer.Requests = append(answer.Requests, QuarantinedRequest{
			Fingerprint: hex.EncodeToString(fingerprint[:]),
			Until:       until,
		})
	}
	slices.SortFunc(answer.Requests, func(x, y QuarantinedRequest) int {
		return cmp.Compare(x.Fingerprint, y.Fingerprint)
	})
	return answer, nil
}

func runOrders(a *API, _ *published.Administrator, _ *http.Request) (any, *Problem) {
	return a.sources.Orders(), nil
}

func runExplain(a *API, who *published.Administrator, r *http.Request) (any, *Problem) {
	config := a.sources.Snapshot().Config
	if config == nil {
		return nil, &Problem{Code: types.CodeNotReady, Message: "no configuration is in force"}
	}
	made, problem := explainRequest(a, config, r.URL.Query())
	if problem != nil {
		return nil, problem
	}
	if !sees(who, config, made.Service.Name) {
		return nil, &Problem{Code: types.CodeForbidden, Message: "the service belongs to another team"}
	}
	decision, failure := a.sources.Explain(made)
	answer := Explanation{Region: decision.Region, Reason: decision.Reason, Steps: decision.Trace}
	if answer.Steps == nil {
		answer.Steps = []route.Step{}
	}
	if decision.Endpoint != nil {
		answer.Chosen = decision.Endpoint.ID
	}
	if failure != nil {
		answer.Code, answer.Reason = failure.Code, failure.Message
	}
	return answer, nil
}

func explainRequest(a *API, config *published.Configuration, query url.Values) (*request.Request, *Problem) {
	bad := func(message string) (*request.Request, *Problem) {
		return nil, &Problem{Code: types.CodeBadRequest, Message: message}
	}
	name := types.ServiceName(query.Get("service"))
	service, ok := config.Services[name]
	if !ok {
		return nil, &Problem{Code: types.CodeUnknownService, Message: "no published service is named " + strconv.Quote(string(name))}
	}
	rank := types.RankUrgent
	if text := query.Get("rank"); text != "" {
		parsed, err := types.ParseRank(text)
		if err != nil {
			return bad(err.Error())
		}
		rank = parsed
	}
	tokens := defaultExplainTokens
	if text := query.Get("tokens"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 0 {
			return bad("tokens: want a whole number that is not negative, got " + strconv.Quote(text))
		}
		tokens = parsed
	}
	org := &published.Organisation{Name: "explain", Share: 1}
	if text := query.Get("organisation"); text != "" {
		org, ok = config.Orgs[types.OrgName(text)]
		if !ok {
			return bad("no published organisation is named " + strconv.Quote(text))
		}
	}
	now := a.sources.Now()
	return &request.Request{
		ID:          "explain",
		Service:     service,
		Org:         org,
		Rank:        rank,
		Arrived:     now,
		Deadline:    now.Add(service.Deadlines[rank]),
		Repeatable:  true,
		Version:     types.ModelVersion(query.Get("version")),
		InputTokens: tokens,
	}, nil
}

func runValidate(a *API, body []byte) (any, *Problem) {
	var upload BundleUpload
	err := json.Unmarshal(body, &upload)
	if err != nil {
		return nil, &Problem{Code: types.CodeBadRequest, Message: `want JSON {"values":{key:base64}}: ` + err.Error()}
	}
	return a.sources.Validate(upload.Values), nil
}

func runUsage(a *API, who *published.Administrator, _ *http.Request) (any, *Problem) {
	lines := a.sources.Usage(who.Team)
	return Usage{Since: a.sources.Status().Started, Lines: lines}, nil
}

func runBurn(a *API, who *published.Administrator, _ *http.Request) (any, *Problem) {
	report, err := a.sources.Burn()
	if err != nil {
		return nil, &Problem{Code: types.CodeInternal, Message: "the counts can't be read"}
	}
	config := a.sources.Snapshot().Config
	report.Series = slices.DeleteFunc(report.Series, func(one burn.Series) bool { return !sees(who, config, one.Service) })
	report.Latency = slices.DeleteFunc(report.Latency, func(one burn.Latency) bool { return !sees(who, config, one.Service) })
	return report, nil
}

func runOpenAPI(*API, *published.Administrator, *http.Request) (any, *Problem) {
	return Describe(), nil
}
