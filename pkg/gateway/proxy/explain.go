package proxy

import (
	"context"
	"net/http"
	"net/url"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// explainedID is the request ID of questions; it chooses among the services of a route.
const explainedID = types.RequestID("explain-route")

// Explain tells where a request would go now, by the same decisions that place requests.
// It sends, reserves, counts and learns nothing. The failure says why there is no answer:
// the daemon knows no configuration, or the question can't be used.
func (h *Handler) Explain(ctx context.Context, question explain.Question) (*explain.Answer, *types.Failure) {
	snap := h.opts.Snapshot()
	if snap.View.Config == nil {
		return nil, notRunFailure(types.CodeNotReady, "this daemon knows no configuration yet", notReadyRetryAfter)
	}
	if question.Region != "" && question.Region != snap.Self.Region {
		return nil, badQuestion("this daemon is in region " + string(snap.Self.Region) + "; ask one of region " + string(question.Region))
	}
	asked, failure := h.askedRequest(question)
	if failure != nil {
		return nil, failure
	}
	e := explanation{answer: &explain.Answer{
		API: explain.APIVersion, Daemon: snap.Self.VM, SelfRegion: snap.Self.Region,
		ConfigVersion: snap.View.Config.Version, Revision: snap.View.AppliedRevision,
	}}
	req, failure := h.acceptAs(question.Organisation, asked, snap, h.opts.Now())
	if failure != nil {
		e.refuse(failure)
		return e.answer, nil
	}
	e.run = &run{h: h, ctx: ctx, req: req, out: &responseWriter{}}
	e.describe()
	e.place(snap)
	return e.answer, nil
}

func badQuestion(message string) *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeBadRequest, message)
}

// askedRequest builds the request that a question describes, as its caller would send it.
func (h *Handler) askedRequest(question explain.Question) (*http.Request, *types.Failure) {
	target, err := url.ParseRequestURI(question.Path)
	if err != nil {
		return nil, badQuestion("the path can't be used")
	}
	header := http.Header{}
	h.opts.Dialect.Describe(header, Prompt{
		ID: explainedID, PromptTokens: question.PromptTokens, OutputTokens: question.OutputTokens, Parts: question.Parts,
	})
	return &http.Request{Method: question.Method, Host: question.Host, URL: target, RequestURI: question.Path, Header: header}, nil
}

// explanation builds an answer.
type explanation struct {
	answer *explain.Answer
	run    *run
}

func (e *explanation) describe() {
	req, answer := e.run.req, e.answer
	answer.Route, answer.Service, answer.Rank = string(req.Route.Name), req.Service, req.Route.Rank
	if req.Organisation != nil {
		answer.Organisation = req.Organisation.Name
	}
}

func (e *explanation) refuse(failure *types.Failure) {
	e.answer.Outcome, e.answer.Reason = explain.Refused, failure.Message
	e.answer.Code, e.answer.RetryAfterMs = failure.Code, failure.RetryAfter.Milliseconds()
}

// place goes through the steps of run.place.
func (e *explanation) place(snap *control.Snapshot) {
	r := e.run
	if trait, withheld := r.withheld(); withheld {
		e.refuse(r.withheldFailure(trait))
		return
	}
	if !e.placeWithinQuota() {
		return
	}
	e.describeRegions(snap)
	if r.req.PrefixTokens >= balance.MinLargePrefixTokens {
		e.placeLargePrompt(snap)
		return
	}
	if !r.req.allows(snap.Self.Region) {
		e.placeElsewhere(snap, remoteOnlyMinFree)
		return
	}
	found := e.placeLocally()
	if found.Chosen != "" {
		return
	}
	leastFree := spilloverMinFree
	if found.Refusal != nil && found.Refusal.NoneHere() {
		leastFree = remoteOnlyMinFree
	}
	if len(r.spilloverRegions(snap, leastFree)) > 0 {
		e.placeElsewhere(snap, leastFree)
	}
}

// placeWithinQuota goes through the steps of run.chargeQuota, and reports whether the
// request has its units at once.
func (e *explanation) placeWithinQuota() bool {
	r, answer := e.run, e.answer
	cost, limited := r.quotaCost()
	if !limited {
		return true
	}
	quote := r.h.opts.Quotas.Quote(r.req.Organisation.Name, cost)
	answer.QuotaCost, answer.QuotaCredit = quote.Cost, quote.Credit
	switch {
	case quote.Covered:
		return true
	case quote.Asks:
		answer.Outcome, answer.MaxWaitMs = explain.Waits, r.quotaWait().Milliseconds()
		answer.Reason = "its organisation lacks credit here; other daemons are asked for theirs, and it is refused if they give too little"
	default:
		e.refuse(overQuota(quote.RetryAfter))
	}
	return false
}

// placeLargePrompt finds the home of the prefix and the daemon that sends it large prompts.
func (e *explanation) placeLargePrompt(snap *control.Snapshot) {
	home, found := e.run.nextHome(snap)
	if found {
		e.answer.Home = home.ID
		owner, known := ownerOf(home, e.run.serving(snap, home.Region))
		if known && owner.VM != snap.Self.VM {
			e.answer.Outcome, e.answer.NextDaemon = explain.ToDaemon, owner.VM
			e.answer.Reason = "that daemon sends the home of the prefix its large prompts; ask it for what follows"
			return
		}
	}
	if !e.run.req.allows(snap.Self.Region) {
		e.refuse(notRunFailure(types.CodeResidency, "the request's data may not be used in this region", notReadyRetryAfter))
		return
	}
	e.placeLocally()
}

// placeLocally explains the choice among the endpoints of the local region.
func (e *explanation) placeLocally() balance.Explanation {
	found := e.run.h.opts.Gate.Explain(e.run.balancerRequest())
	e.describeEndpoints(found)
	answer := e.answer
	answer.Ahead = found.Ahead
	answer.PredictedWaitMs, answer.MaxWaitMs = found.PredictedWait.Milliseconds(), found.MaxWait.Milliseconds()
	if found.Home != "" {
		answer.Home = found.Home
	}
	switch {
	case found.Chosen != "":
		answer.Outcome, answer.Endpoint = explain.ToEndpoint, found.Chosen
		answer.Reason = "it has the least score of the endpoints that have room"
	case found.Refusal != nil:
		e.refuse(refusalFailure(found.Refusal))
	case found.WaitsForHome:
		answer.Outcome, answer.Reason = explain.Waits, "held for the home of its prefix, although others have room"
	case found.Held:
		answer.Outcome, answer.Reason = explain.Waits, "held until an engine has room"
	default:
		answer.Outcome, answer.Reason = explain.Waits, "no endpoint has room; it waits for capacity"
	}
	return found
}

// placeElsewhere explains that the request goes to another region, if one may take it.
func (e *explanation) placeElsewhere(snap *control.Snapshot, leastFree float64) {
	candidates := e.run.spilloverRegions(snap, leastFree)
	if len(candidates) == 0 {
		e.refuse(notRunFailure(types.CodeNoEndpoint, "no region that may run the request can be reached", notReadyRetryAfter))
		return
	}
	for i := range e.answer.Regions {
		for _, region := range candidates {
			e.answer.Regions[i].Candidate = e.answer.Regions[i].Candidate || e.answer.Regions[i].Region == region
		}
	}
	answer := e.answer
	answer.Outcome, answer.Reason = explain.ToRegion, "one of the candidates, drawn by their free slots"
	answer.Code, answer.RetryAfterMs, answer.PredictedWaitMs, answer.MaxWaitMs = "", 0, 0, 0
}
