package daemon

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/jsonlog"
	"github.com/flamingomount/flamingomount/pkg/metrics"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/usage"
)

// recorder records the outcomes of requests in metrics, usage, objectives and the
// log. It is safe for concurrent use.
type recorder struct {
	log     *logrus.Logger
	metrics *metrics.Metrics
	self    types.Region
	now     func() time.Time

	// mu guards book and burn.
	mu   sync.Mutex
	book *usage.Book
	burn *burn.State
}

var _ ingress.Observer = (*recorder)(nil)

// record records the outcome of one request that passed ingress.
func (r *recorder) record(req *request.Request, result requestResult, view *snapshot.Snapshot) {
	outcome := r.outcome(req, result)
	outcome.Cost = usage.Cost(outcome, req.Service)
	r.metrics.Record(outcome)
	r.mu.Lock()
	r.book.Record(outcome, req.Service)
	r.burn.Record(outcome, req.Service)
	r.mu.Unlock()
	r.logRequest(req, result, outcome, view)
}

func (r *recorder) outcome(req *request.Request, result requestResult) request.Outcome {
	finished := r.now()
	outcome := request.Outcome{
		Service: req.Service.Name, Team: req.Service.Team, Org: req.Org.Name, Rank: req.Rank,
		Verdict: result.Verdict, FinishedAt: finished,
		TimeAllowed: req.Deadline.Sub(req.Arrived), Took: finished.Sub(req.Arrived), Queued: result.queued,
		InputTokens: req.InputTokens, OutputTokens: result.Tokens, Attempts: result.Attempts,
		SentAway: result.Region != "" && result.Region != r.self,
	}
	if result.Failure != nil {
		outcome.Code = result.Failure.Code
	}
	if !result.FirstToken.IsZero() {
		outcome.FirstToken = result.FirstToken.Sub(req.Arrived)
	}
	if result.Tokens > 1 && !result.FirstToken.IsZero() {
		outcome.BetweenTokens = finished.Sub(result.FirstToken) / time.Duration(result.Tokens-1)
	}
	return outcome
}

// logRequest writes one log line. The line contains no prompt and no credential.
func (r *recorder) logRequest(req *request.Request, result requestResult, outcome request.Outcome, view *snapshot.Snapshot) {
	line := &requestLine{req: req, result: result, outcome: outcome}
	if view.Config != nil {
		line.revision = view.Config.Revision
	}
	if result.Failure == nil {
		r.log.WithField(jsonlog.FieldLine, line).Info("request served")
		return
	}
	r.log.WithField(jsonlog.FieldLine, line).Warn("request failed")
}

// RequestRefused logs a request that ingress refused, at debug level.
func (r *recorder) RequestRefused(id types.RequestID, service types.ServiceName, failure *types.Failure) {
	if !r.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request_id": id, "service": truncate(string(service)), "code": failure.Code,
		"verdict": failure.Verdict.String(), "reason": failure.Message,
	}).Debug("request refused")
}

// truncate limits the length of text that a caller supplied, for logging, and
// drops bytes that are no part of a character.
func truncate(text string) string {
	const maxLogged = 64
	return strings.ToValidUTF8(text[:min(len(text), maxLogged)], "")
}

// usage returns the usage lines of one team, or of all teams if team is empty.
func (r *recorder) usage(team types.TeamName) []usage.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Lines(team)
}

// report returns this daemon's counts for service-level objectives.
func (r *recorder) report() (burn.DaemonReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.burn.Report(r.now())
}
