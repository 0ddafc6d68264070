package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// relayStream relays events as they arrive. It never sends part of an event, so
// that the stream can resume at another endpoint after the last complete event.
func (r *run) relayStream(response *http.Response, w *attemptConn) (*types.Failure, balance.Result) {
	if !r.out.committed {
		r.status = response.StatusCode
		r.out.writeHeader(response, -1)
		if !r.out.flush() {
			return r.callerGone()
		}
	}
	reader := newEventReader(response.Body)
	detector := r.startStallDetector(w)
	defer detector.stop()
	firstEvent, previous := time.Time{}, time.Time{}
	for {
		events, err := reader.next()
		if errors.Is(err, io.EOF) {
			if !framed(response) && firstEvent.IsZero() {
				return r.handleBrokenResponse(errNoEvent)
			}
			r.verdict = types.Ran
			if framed(response) {
				r.reportGotOn()
			}
			return nil, balance.Succeeded
		}
		if err != nil {
			return r.handleBrokenResponse(err)
		}
		if !detector.beginRelay() {
			return r.handleBrokenResponse(errMoved)
		}
		if !r.out.write(events) || !r.out.flush() {
			return r.callerGone()
		}
		count := r.recordLastEvent(events)
		previous = r.recordGap(previous)
		w.pace.add(count, previous)
		if firstEvent.IsZero() {
			firstEvent = previous
		}
		r.noteProgress(firstEvent)
		detector.reset(r.canResume())
	}
}

// errMoved means that another daemon has taken the rest of a stream, so that nothing
// more of the attempt may be passed on.
var errMoved = errors.New("another daemon has taken the rest of the stream")

// errNoEvent means that a stream that ends with its connection brought no event.
var errNoEvent = errors.New("stream without events ended with its connection")

// framed reports whether the end of a response differs from that of its connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// recordGap records, for the log, the time to the first event and the longest gap
// between two events. It returns the time of the current event.
func (r *run) recordGap(previous time.Time) time.Time {
	now := r.h.opts.Now()
	r.lastEventAt = now
	if previous.IsZero() && r.timeToFirstEvent == 0 {
		r.timeToFirstEvent = now.Sub(r.req.Arrived)
	}
	if !previous.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(previous))
	}
	return now
}

// recordLastEvent records the ID of the last event sent, and returns the number of events.
func (r *run) recordLastEvent(events []byte) int {
	count := 0
	eachEvent(events, func(event []byte) {
		count++
		if id := r.h.opts.Dialect.EventID(event); id != "" {
			r.lastEvent = id
		}
	})
	return count
}

// callerGone ends an attempt whose caller no longer reads the response.
func (r *run) callerGone() (*types.Failure, balance.Result) {
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	return types.NewFailure(types.MayHaveRun, types.CodeCallerGone, "the caller stopped reading"), balance.Abandoned
}
