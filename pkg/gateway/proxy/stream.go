package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// stream relays events as they arrive. No part of an event is ever sent, so
// that a stream can go on at another endpoint after the last whole one.
func (r *run) stream(response *http.Response, w *wire) (*types.Failure, balance.Result) {
	if !r.out.committed {
		r.status = response.StatusCode
		r.out.begin(response, -1)
		if !r.out.flush() {
			return r.callerGone(w)
		}
	}
	events := newEventReader(response.Body)
	watch := r.watchStream(w)
	defer watch.stop()
	last := time.Time{}
	for {
		part, err := events.next()
		if errors.Is(err, io.EOF) {
			r.verdict = types.Ran
			r.completed()
			return nil, balance.Succeeded
		}
		if err != nil {
			return r.brokeOff(w, err)
		}
		if !r.out.write(part) || !r.out.flush() {
			return r.callerGone(w)
		}
		r.noteEvents(part)
		last = r.noteGap(last)
		watch.progress()
	}
}

// noteGap keeps when the first event was sent and the longest pause between two,
// for the log, and returns the time of this one.
func (r *run) noteGap(last time.Time) time.Time {
	now := r.h.opts.Now()
	if last.IsZero() && r.firstEvent == 0 {
		r.firstEvent = now.Sub(r.req.Arrived)
	}
	if !last.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(last))
	}
	return now
}

// noteEvents keeps the ID of the last event sent.
func (r *run) noteEvents(part []byte) {
	eachEvent(part, func(event []byte) {
		if id := r.h.opts.Dialect.EventID(event); id != "" {
			r.lastEvent = id
		}
	})
}

// callerGone ends an attempt whose answer nobody takes.
func (r *run) callerGone(w *wire) (*types.Failure, balance.Result) {
	w.drop()
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	return types.NewFailure(types.MayHaveRun, types.CodeCallerGone, "the caller stopped reading"), balance.Abandoned
}
