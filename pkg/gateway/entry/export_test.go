package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
)

// Internals of the package that the tests use.
const (
	SuccessLines = successLines
	LineBuffer   = lineBuffer
	NoticeLines  = noticeLines
	RestartLines = restartLines
)

var (
	NewLog        = newLog
	NewRequestLog = newRequestLog
	NewNoticeLog  = newNoticeLog
	NewLineWriter = newLineWriter
)

// VisitTime is how long callers may go on using another region's daemons.
const VisitTime = maxLifetimes * substituteLifetime

// LookupLog logs answers of the directory.
type LookupLog struct{ *lookupLog }

// NewLookupLog returns a log of answers.
func NewLookupLog(log logrus.FieldLogger) LookupLog {
	return LookupLog{newLookupLog(log, prometheus.NewRegistry())}
}

// Record logs an answer.
func (l LookupLog) Record(snap *control.Snapshot, lookup Lookup, given Answer, counts demand.Counts) {
	l.record(snap, lookup, given, counts)
}

// Dropped returns the number of dropped lines.
func (w *lineWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Observe passes on what an endpoint said of itself.
func (l *noticeLog) Observe(endpoint *catalog.Endpoint, notice balance.Notice, change balance.Change) {
	l.observe(endpoint, notice, change)
}

// RestartLog logs restarts of endpoints.
type RestartLog struct{ *restartLog }

// NewRestartLog returns a log of restarts.
func NewRestartLog(log logrus.FieldLogger) RestartLog {
	return RestartLog{newRestartLog(log)}
}

// Record logs restarts.
func (l RestartLog) Record(restarts []balance.Restart) {
	l.record(restarts)
}

// SignalDelay is the delay of a stop signal that the schedule allows for.
const SignalDelay = signalDelay

// StopSchedule is the schedule of a stop.
type StopSchedule struct{ stopSchedule }

// NewStopSchedule returns the schedule of a stop.
func NewStopSchedule(grace, admissionLimit time.Duration) StopSchedule {
	return StopSchedule{newStopSchedule(grace, admissionLimit)}
}

// The moments of a schedule.
func (s StopSchedule) CloseCallers() time.Duration { return s.closeCallers }
func (s StopSchedule) AdmitUntil() time.Duration   { return s.admitUntil }
func (s StopSchedule) EndFresh() time.Duration     { return s.endFresh }
func (s StopSchedule) ClosePeers() time.Duration   { return s.closePeers }
func (s StopSchedule) Cancel() time.Duration       { return s.cancel }
func (s StopSchedule) Cut() time.Duration          { return s.cut }
func (s StopSchedule) Handshakes() time.Duration   { return s.shutdownTimes().Handshakes }
