package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
)

// Habits of callers.
const (
	// callWithin is how long a caller waits.
	callWithin = 5 * time.Second
	// pauseBetween is the mean time between two calls of a caller.
	pauseBetween = 25 * time.Millisecond
	// keepFor is how long a caller stays at an entry; it goes on using its open
	// connections until then, whatever the directory says.
	keepFor = 2 * time.Second
	// askTimeout bounds a question to the directory.
	askTimeout = time.Second
)

var kinds = []struct {
	method, path string
	bodyBytes    int
}{
	{http.MethodPost, standin.OrderPath, 300},
	{http.MethodPost, standin.OrderPath, 300},
	{http.MethodGet, standin.StatusPath, 0},
	{http.MethodPost, standin.AskPath, 400},
	{http.MethodPost, standin.ReportPath, 20_000},
}

// callers sends requests from every region until ctx ends.
func (w *World) callers(ctx context.Context) {
	for _, region := range regions {
		for number := range w.opts.Callers {
			w.serving.Go(func() { w.caller(ctx, region, number) })
		}
	}
}

func (w *World) caller(ctx context.Context, region types.Region, number int) {
	rng := rand.New(rand.NewPCG(w.opts.Seed, uint64(number)))
	sent := 0
	for ctx.Err() == nil {
		one := w.entryFor(ctx, region, rng)
		if one == nil {
			time.Sleep(pauseBetween)
			continue
		}
		transport := &http.Transport{DisableCompression: true}
		for until := time.Now().Add(keepFor); time.Now().Before(until) && ctx.Err() == nil; {
			sent++
			outcome := w.call(transport, one, fmt.Sprintf("%s-%d-%d", region, number, sent), rng)
			if outcome.Status == 0 {
				break // another entry is asked for
			}
			time.Sleep(outcome.RetryAfter + time.Duration(rng.ExpFloat64()*float64(pauseBetween)))
		}
		transport.CloseIdleConnections()
	}
}

// entryFor asks a directory for the entries of a region and picks one.
func (w *World) entryFor(ctx context.Context, region types.Region, rng *rand.Rand) *daemon {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := w.daemons[rng.IntN(len(w.daemons))]
	addresses, err := standin.Resolve(ctx, asked.directory(), host, region, dataCentreOf(region))
	if err != nil || len(addresses) == 0 {
		return nil
	}
	chosen := addresses[rng.IntN(len(addresses))]
	for _, one := range w.daemons {
		if one.front() == chosen {
			return one
		}
	}
	return nil
}

// call sends one request and notes what came of it. A call that has begun is
// finished also when the run ends.
func (w *World) call(transport *http.Transport, one *daemon, id string, rng *rand.Rand) standin.Outcome {
	kind := kinds[rng.IntN(len(kinds))]
	call := check.Call{Daemon: one.name, Sent: time.Now(), Call: standin.Call{
		ID: id, Address: one.callers.Address(), Host: host, Method: kind.method, Path: kind.path + "x",
		Body: make([]byte, kind.bodyBytes), Timeout: callWithin,
	}}
	call.Outcome = call.Send(context.Background(), transport)
	call.Ended = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
	return call.Outcome
}
