package daemon

import (
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

// recorder counts and logs how requests ended. It is safe for concurrent use.
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

// record takes one request that passed ingress.
func (r *recorder) record(req *request.Request, ended result, view *snapshot.Snapshot) {
	outcome := r.outcome(req, ended)
	outcome.Cost = usage.Cost(outcome, req.Service)
	r.metrics.Record(outcome)
	r.mu.Lock()
	r.book.Record(outcome, req.Service)
	r.burn.Record(outcome, req.Service)
	r.mu.Unlock()
	r.logRequest(req, ended, outcome, view)
}

func (r *recorder) outcome(req *request.Request, ended result) request.Outcome {
	finished := r.now()
	outcome := request.Outcome{
		Service: req.Service.Name, Team: req.Service.Team, Org: req.Org.Name, Rank: req.Rank,
		Verdict: ended.Verdict, FinishedAt: finished,
		Allowed: req.Deadline.Sub(req.Arrived), Took: finished.Sub(req.Arrived), Queued: ended.queued,
		InputTokens: req.InputTokens, OutputTokens: ended.Tokens, Attempts: ended.Attempts,
		SentAway: ended.Region != "" && ended.Region != r.self,
	}
	if ended.Failure != nil {
		outcome.Code = ended.Failure.Code
	}
	if !ended.FirstByte.IsZero() {
		outcome.FirstToken = ended.FirstByte.Sub(req.Arrived)
	}
	if ended.Tokens > 1 && !ended.FirstByte.IsZero() {
		outcome.BetweenTokens = finished.Sub(ended.FirstByte) / time.Duration(ended.Tokens-1)
	}
	return outcome
}

// logRequest writes one line. It holds no prompt and no credential.
func (r *recorder) logRequest(req *request.Request, ended result, outcome request.Outcome, view *snapshot.Snapshot) {
	line := &requestLine{req: req, ended: ended, outcome: outcome}
	if view.Config != nil {
		line.revision = view.Config.Revision
	}
	if ended.Failure == nil {
		r.log.WithField(jsonlog.FieldLine, line).Info("request served")
		return
	}
	r.log.WithField(jsonlog.FieldLine, line).Warn("request failed")
}

// Refused takes a request that ingress refused.
func (r *recorder) Refused(id types.RequestID, service types.ServiceName, failure *types.Failure) {
	if !r.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request_id": id, "service": clip(string(service)), "code": failure.Code,
		"verdict": failure.Verdict.String(), "reason": failure.Message,
	}).Debug("request refused")
}

// clip bounds text that a caller chose.
func clip(text string) string {
	const maxLogged = 64
	return text[:min(len(text), maxLogged)]
}

// usage returns the lines of one team, or of all teams when team is empty.
func (r *recorder) usage(team types.TeamName) []usage.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Lines(team)
}

// report returns the counts of service-level objectives.
func (r *recorder) report() (burn.DaemonReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.burn.Report(r.now())
}
