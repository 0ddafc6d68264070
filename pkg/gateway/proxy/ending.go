package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Log fields of requests without a whole answer and of requests during a stop.
const (
	// FieldEndedBy tells what ended a request that got no whole answer of an endpoint.
	FieldEndedBy = "ended_by"
	// FieldStop is the time in milliseconds from the begin of this daemon's stop until
	// the end of the request; it is set while the daemon stops.
	FieldStop = "stop_ms"
	// fieldStopArrival is the time from the begin of the stop until the request was
	// complete at this daemon; it is negative for a request from before the stop.
	fieldStopArrival = "stop_arrival_ms"
	// fieldEndedAt is the daemon that ended the request.
	fieldEndedAt = "ended_at"
	// fieldAnswer tells how much of the endpoint's answer had arrived.
	fieldAnswer = "answer"
	// fieldBrokenOff is set if the connection ended inside the response.
	fieldBrokenOff = "broken_off"
	// fieldConnection tells by which connection the request came.
	fieldConnection = "connection"
	// fieldLastEvent is the time in milliseconds since the last event was passed on.
	fieldLastEvent = "last_event_ms"
)

// ender is what ended a request that got no whole answer of an endpoint.
type ender string

const (
	// endedBySchedule: the schedule of this daemon's stop cancelled it.
	endedBySchedule ender = "schedule"
	// endedByCut: this daemon closed the connection at the end of its stop.
	endedByCut ender = "cut"
	// endedByPanic: the handler panicked.
	endedByPanic ender = "panic"
	// endedByCaller: the caller, or the daemon that forwarded it, closed its connection.
	endedByCaller ender = "caller"
	// endedByDeadline: the time allowed was over.
	endedByDeadline ender = "deadline"
	// endedByDaemon: the other daemon refused it or broke off its answer.
	endedByDaemon ender = "daemon"
	// endedByEndpoint: the endpoint failed it or broke off its answer.
	endedByEndpoint ender = "endpoint"
	// endedByGateway: this daemon could not send it.
	endedByGateway ender = "gateway"
)

// enders lists all enders.
var enders = []ender{
	endedBySchedule, endedByCut, endedByPanic, endedByCaller,
	endedByDeadline, endedByDaemon, endedByEndpoint, endedByGateway,
}

// connectionKind tells by which connection a request came.
type connectionKind string

const (
	// newConnection: the first request of a caller's connection.
	newConnection connectionKind = "new"
	// keptConnection: a later request of a caller's connection.
	keptConnection connectionKind = "kept"
	// peerConnection: the request was forwarded by another daemon.
	peerConnection connectionKind = "forwarded"
)

// answerState tells how much of an endpoint's answer had arrived.
type answerState string

const (
	answerNone     answerState = "none"
	answerBegun    answerState = "begun"
	answerComplete answerState = "complete"
)

// stopState is how far the stop of the daemon has got.
type stopState struct {
	// began is when the stop began, in budget time; nil if it did not.
	began atomic.Pointer[time.Time]
	// cut is true once the daemon closes the connections that are left.
	cut atomic.Bool
}

// StopBegan records that the stop of the daemon began some time ago.
func (h *Handler) StopBegan(ago time.Duration) {
	began := h.budgetTime().Add(-ago)
	h.stop.began.Store(&began)
}

// CutOff records that the daemon is about to close all connections, so that this counts
// as the end of their requests.
func (h *Handler) CutOff() {
	h.stop.cut.Store(true)
}

// SinceStop returns the time since the begin of the stop; false if it has not begun.
func (h *Handler) SinceStop() (time.Duration, bool) {
	began := h.stop.began.Load()
	if began == nil {
		return 0, false
	}
	return h.budgetTime().Sub(*began), true
}

// incomplete reports whether the request ended without a whole answer of an endpoint,
// although it was sent or was about to be sent to one.
func (r *run) incomplete(failure *types.Failure) bool {
	return r.panicked || r.out.broken || failure != nil && (r.sent > 0 || r.ctx.Err() != nil)
}

// endedBy tells what ended an incomplete request.
func (r *run) endedBy(failure *types.Failure) ender {
	switch {
	case r.panicked:
		return endedByPanic
	case r.h.stop.cut.Load() && (r.ctx.Err() != nil || r.out.writeFailed):
		return endedByCut
	case errors.Is(context.Cause(r.ctx), graceful.ErrStopping):
		return endedBySchedule
	case failure == nil, failure.Code == types.CodeCallerGone:
		return endedByCaller
	case failure.Code == types.CodeDeadline:
		return endedByDeadline
	case failure.Code == types.CodeInternal:
		return endedByGateway
	case r.region != "":
		return endedByDaemon
	}
	return endedByEndpoint
}

// endedAt returns the daemon that ended the request.
func (r *run) endedAt(by ender) string {
	if by == endedByDaemon && len(r.tried) > 0 {
		return string(r.tried[len(r.tried)-1])
	}
	return string(r.h.opts.Snapshot().Self.VM)
}

// connectionKind returns by which connection the request came.
func (r *run) connectionKind() connectionKind {
	switch {
	case r.req.ForwardedBy != "":
		return peerConnection
	case graceful.Kept(r.ctx):
		return keptConnection
	}
	return newConnection
}

// answerState returns how much of the endpoint's answer had arrived.
func (r *run) answerState() answerState {
	switch {
	case r.verdict == types.Ran:
		return answerComplete
	case r.answerBegun:
		return answerBegun
	}
	return answerNone
}

// recordEnding counts an incomplete request and adds what ended it to the fields of its
// line.
func (r *run) recordEnding(fields logrus.Fields, failure *types.Failure) {
	sinceStop, stopping := r.h.SinceStop()
	if stopping {
		fields[FieldStop] = sinceStop.Milliseconds()
		fields[fieldStopArrival] = (sinceStop - r.h.opts.Now().Sub(r.complete)).Milliseconds()
	}
	if !r.incomplete(failure) {
		return
	}
	by := r.endedBy(failure)
	r.h.opts.Metrics.countIncomplete(by, stopping)
	fields[FieldEndedBy], fields[fieldEndedAt] = by, r.endedAt(by)
	fields[fieldAnswer], fields[fieldConnection] = r.answerState(), r.connectionKind()
	if r.out.broken {
		fields[fieldBrokenOff] = true
	}
	if !r.lastEventAt.IsZero() {
		fields[fieldLastEvent] = r.h.opts.Now().Sub(r.lastEventAt).Milliseconds()
	}
}

// recordPanic records a request whose handler panicked.
func (r *run) recordPanic() {
	if !r.recorded {
		r.panicked = true
		r.record(nil)
	}
}
