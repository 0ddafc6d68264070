package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/visit"
)

// Habits of visitors.
const (
	// visitStream is the part of the draws of a visitor that its number is added to.
	visitStream = 0x766973 << 16
	// mostCalls is one more than the most calls of a visit.
	mostCalls = 6
	// shortestStream and longestStream bound the length of streams.
	shortestStream = 500 * time.Millisecond
	longestStream  = 7 * time.Second
	// maxPipelinedStream bounds streams on connections whose requests do not wait for
	// answers: those behind wait for all before.
	maxPipelinedStream = 2 * time.Second
	// maxPiecePause, maxIdle and maxReadPause bound the pauses within a request, between
	// two requests and within a stream that is read slowly.
	maxPiecePause = 2500 * time.Millisecond
	maxIdle       = 3 * time.Second
	maxReadPause  = 2 * time.Second
	// slowReaderBytes is the size of an event of a stream that is read slowly, and
	// slowReaderFirst what is read before the pause.
	slowReaderBytes = 32 << 10
	slowReaderFirst = 50 << 10
	// reconnectAfter is the time before a visitor connects again.
	reconnectAfter = 50 * time.Millisecond
	// readyInterval is the time between two questions whether a daemon is ready.
	readyInterval = time.Second
)

// isLong reports whether a path asks for a stream whose length the request chooses.
func isLong(path string) bool {
	return strings.HasPrefix(path, standin.SurveyPath) || strings.HasPrefix(path, standin.DigestPath)
}

// visitors lets callers stay with each daemon that use its connections in their own
// ways, and asks each daemon meanwhile whether it is ready, until ctx ends.
func (w *World) visitors(ctx context.Context, visiting *conc.WaitGroup) {
	for at, one := range w.daemons {
		for number := range w.opts.Visitors {
			visiting.Go(func() { w.visitor(ctx, one, uint64(at*w.opts.Visitors+number)) })
		}
		visiting.Go(func() {
			for ctx.Err() == nil {
				one.ready(ctx)
				time.Sleep(readyInterval)
			}
		})
	}
}

// visitor visits a daemon again and again. Its draws are apart from other callers'.
func (w *World) visitor(ctx context.Context, one *daemon, number uint64) {
	rng := rand.New(rand.NewPCG(w.opts.Seed, visitStream+number))
	for visits := 0; ctx.Err() == nil; visits++ {
		calls, opts := w.drawVisit(fmt.Sprintf("visit-%d-%d", number, visits), rng)
		for at := range calls {
			calls[at].Daemon, calls[at].Direct, calls[at].Address = one.name, true, one.front()
		}
		sent, err := visit.Send(ctx, one.front(), calls, opts)
		w.mu.Lock()
		w.calls = append(w.calls, sent...)
		w.mu.Unlock()
		if err != nil || len(sent) == 0 || sent[len(sent)-1].Outcome.Status != http.StatusOK {
			time.Sleep(reconnectAfter)
		}
	}
}

// drawVisit draws the requests of a connection.
func (w *World) drawVisit(id string, rng *rand.Rand) ([]check.Call, visit.Options) {
	opts := visit.Options{Pipelined: rng.IntN(3) == 0, SmallWindow: rng.IntN(5) == 0}
	var calls []check.Call
	for at := range 1 + rng.IntN(mostCalls-1) {
		calls = append(calls, w.drawVisitCall(fmt.Sprintf("%s-%d", id, at), rng, opts))
		opts.Pauses = append(opts.Pauses, drawPause(rng, opts.Pipelined))
	}
	return calls, opts
}

// drawPause draws the time before a request. Most follow at once.
func drawPause(rng *rand.Rand, pipelined bool) time.Duration {
	const pauseEvery, piecewise = 4, 10
	if rng.IntN(pauseEvery) > 0 {
		return 0
	}
	if pipelined {
		return time.Duration(rng.Int64N(int64(maxIdle / piecewise)))
	}
	return time.Duration(rng.Int64N(int64(maxIdle)))
}

// drawVisitCall draws a request; over half are long streams.
func (w *World) drawVisitCall(id string, rng *rand.Rand, opts visit.Options) check.Call {
	call := w.draw(id, rng)
	call.BodyPause, call.LeaveAfter, call.Timeout = 0, 0, longTimeout
	if rng.IntN(5) < 3 {
		call = w.longCall(id, rng, opts)
	}
	framings := []check.Framing{check.Whole, check.Whole, check.Whole, check.HalfHead, check.HalfBody, check.Chunks, check.Chunks}
	call.Manner = &check.Manner{Connection: check.New, Framing: framings[rng.IntN(len(framings))]}
	if len(call.Body) == 0 && call.Manner.Framing != check.HalfHead {
		call.Manner.Framing = check.Whole
	}
	if call.Manner.Framing != check.Whole {
		call.Manner.PiecePause = time.Duration(rng.Int64N(int64(maxPiecePause)))
	}
	if opts.SmallWindow && isLong(call.Path) {
		call.Manner.ReadFirst, call.Manner.ReadPause = slowReaderFirst, time.Duration(rng.Int64N(int64(maxReadPause)))
	}
	return call
}

// longCall draws a request for a stream with a large prompt, of which the first parts
// are shared.
func (w *World) longCall(id string, rng *rand.Rand, opts visit.Options) check.Call {
	const bodyBytes, firstShare = 6000, 3
	length := shortestStream + time.Duration(rng.Int64N(int64(longestStream-shortestStream)))
	if opts.Pipelined {
		length = min(length, maxPipelinedStream)
	}
	shape := standin.LongStream{}
	if rng.IntN(firstShare) == 0 {
		shape.First = length / firstShare
	}
	shape.Interval = (length - shape.First) / standin.EventsPerStream
	if opts.SmallWindow {
		shape.PaddingBytes = slowReaderBytes
	}
	prefix := standin.SurveyPath
	if rng.IntN(2) == 0 {
		prefix = standin.DigestPath
	}
	return check.Call{Call: standin.Call{
		ID: id, Host: host, Method: http.MethodPost, Path: shape.Path(prefix, id), Body: make([]byte, bodyBytes), Timeout: longTimeout,
		Parts: fmt.Sprintf("bbbb:1500,%04x:800,%x:100", rng.IntN(secondParts), id),
	}}
}
