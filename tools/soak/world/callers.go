package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

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
	// askTimeout bounds a question to the directory; a caller asks so many daemons.
	askTimeout = time.Second
	askedMost  = 3
	// directPause is the time between two calls of a caller that stays with its
	// daemon whatever happens.
	directPause = 20 * time.Millisecond
	// maxBodyPause bounds the pause of a caller that sends half a body first,
	// maxStay the time after which one leaves that does not wait for its answer.
	maxBodyPause = 400 * time.Millisecond
	maxStay      = 200 * time.Millisecond
	// Of so many calls one pauses in its body, and one leaves early.
	pauseEvery, leaveEvery = 12, 20
	// longestReturn bounds how long a caller waits before it returns.
	longestReturn = callWithin / 3
	// secondParts is the number of second parts of prompts; of so many prompts one has
	// the deadly part.
	secondParts, deadlyEvery = 40, 15
)

var kinds = []struct {
	method, path string
	bodyBytes    int
}{
	{http.MethodPost, standin.OrderPath, 300},
	{http.MethodPost, standin.OrderPath, 300},
	{http.MethodGet, standin.StatusPath, 0},
	{http.MethodGet, standin.FetchPath, 0},
	{http.MethodPost, standin.FetchPath, 200},
	{http.MethodPost, standin.AskPath, 400},
	{http.MethodPost, standin.ReportPath, 20_000},
}

// newTransport returns a transport that sends what it has at once, so that half a
// body is half a body on the connection.
func newTransport() *http.Transport {
	const writeBufferBytes = 128
	return &http.Transport{DisableCompression: true, WriteBufferSize: writeBufferBytes}
}

// callers sends requests from every region until ctx ends.
func (w *World) callers(ctx context.Context) {
	for _, region := range w.regions() {
		for number := range w.opts.Callers {
			w.serving.Go(func() { w.caller(ctx, region, number) })
		}
	}
}

// directCallers lets two callers stay with each daemon, without asking whether it
// takes callers: one keeps its connection for as long as it can, the other
// connects anew for each call.
func (w *World) directCallers(ctx context.Context) {
	for _, one := range w.daemons {
		for _, anew := range []bool{false, true} {
			w.serving.Go(func() { w.directCaller(ctx, one, anew) })
		}
	}
}

func (w *World) directCaller(ctx context.Context, one *daemon, anew bool) {
	seed := uint64(len(one.name)) << 1
	rng := rand.New(rand.NewPCG(w.opts.Seed^seed, 1))
	transport := newTransport()
	transport.DisableKeepAlives = anew
	defer transport.CloseIdleConnections()
	for sent := 0; ctx.Err() == nil; sent++ {
		call := w.draw(fmt.Sprintf("direct-%s-%t-%d", one.name, anew, sent), rng)
		call.Daemon, call.Direct, call.Address = one.name, true, one.front()
		w.send(call, transport)
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(directPause)))
	}
}

func (w *World) caller(ctx context.Context, region types.Region, number int) {
	rng := rand.New(rand.NewPCG(w.opts.Seed, uint64(number)))
	sent := 0
	for ctx.Err() == nil {
		entries := w.entriesFor(ctx, region, rng)
		transport := newTransport()
		for until := time.Now().Add(keepFor); time.Now().Before(until) && ctx.Err() == nil; {
			sent++
			var outcome standin.Outcome
			call := w.draw(fmt.Sprintf("%s-%d-%d", region, number, sent), rng)
			call.Region = region
			entries, outcome = w.sendToFirst(call, entries, transport)
			time.Sleep(min(outcome.RetryAfter, longestReturn) + time.Duration(rng.ExpFloat64()*float64(pauseBetween)))
			if outcome.Status == 0 {
				break // other entries are asked for
			}
		}
		transport.CloseIdleConnections()
	}
}

// entriesFor asks up to askedMost directories for the entries of a region, and
// returns them in the order in which a caller tries them; none if nobody names any.
func (w *World) entriesFor(ctx context.Context, region types.Region, rng *rand.Rand) (entries []*daemon) {
	for _, asked := range rng.Perm(len(w.daemons))[:min(askedMost, len(w.daemons))] {
		addresses, _ := w.resolve(ctx, w.daemons[asked], host, region)
		for _, at := range rng.Perm(len(w.daemons)) {
			if slices.Contains(addresses, w.daemons[at].front()) {
				entries = append(entries, w.daemons[at])
			}
		}
		if len(entries) > 0 {
			break
		}
	}
	return entries
}

// resolve asks a daemon's directory for the entries of a host for a region's callers, and
// returns their addresses and the time to keep them; none if there is no answer.
func (w *World) resolve(ctx context.Context, asked *daemon, of string, region types.Region) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	addresses, keep, err := standin.Resolve(ctx, asked.directory(), of, region, dataCentreOf(region))
	if err != nil {
		return nil, 0 // another directory is asked
	}
	return addresses, keep
}

// sendToFirst sends a call to the first of the entries that takes the connection, and
// returns the entries without those that failed the caller. A call for which there is
// no entry is noted as one without an answer.
func (w *World) sendToFirst(call check.Call, entries []*daemon, transport *http.Transport) ([]*daemon, standin.Outcome) {
	call.Sent = time.Now()
	call.Outcome.Err = errNoEntry
	for ; len(entries) > 0; entries = entries[1:] {
		call.Daemon, call.Address = entries[0].name, entries[0].callers.Address()
		call.Sent = time.Now()
		call.Outcome = call.Send(context.Background(), transport)
		if call.Outcome.Left || call.Outcome.Connected && !refusedBy(entries[0], call.Outcome.Err) {
			break
		}
	}
	call.Ended = time.Now()
	return entries, w.note(call)
}

// refusedBy reports whether a call failed since the daemon took no connection.
func refusedBy(one *daemon, err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Source != nil && one.callers.Refused(failed.Source)
}

// errNoEntry is the outcome of a call for which the caller knows no daemon.
var errNoEntry = eris.New("no entry")

// draw returns a call of a random kind, which some callers send in two halves and
// some do not wait for.
func (w *World) draw(id string, rng *rand.Rand) check.Call {
	kind := kinds[rng.IntN(len(kinds))]
	call := check.Call{Call: standin.Call{
		// No two requests are alike: what breaks one endpoint after the other would
		// be refused from then on.
		ID: id, Host: host, Method: kind.method, Path: kind.path + id, Body: make([]byte, kind.bodyBytes), Timeout: callWithin,
	}}
	if kind.path == standin.AskPath || kind.path == standin.ReportPath {
		call.Parts = w.parts(id, rng)
	}
	if kind.bodyBytes > 0 && rng.IntN(pauseEvery) == 0 {
		call.BodyPause = time.Duration(rng.Int64N(int64(maxBodyPause)))
	}
	if rng.IntN(leaveEvery) == 0 {
		call.LeaveAfter = time.Millisecond + time.Duration(rng.Int64N(int64(maxStay)))
	}
	return call
}

// parts returns the parts of a prompt. All share the first, some the second one; the
// last one is the request's own.
func (w *World) parts(id string, rng *rand.Rand) string {
	second := fmt.Sprintf("%04x", rng.IntN(secondParts))
	if w.tainted.Load() && rng.IntN(deadlyEvery) == 0 {
		second = check.DeadlyPart
	}
	return fmt.Sprintf("aaaa:40,%s:20,%x:10", second, id)
}

// send sends a call and notes what came of it. A call that has begun is finished
// also when the run ends.
func (w *World) send(call check.Call, transport *http.Transport) standin.Outcome {
	call.Sent = time.Now()
	call.Outcome = call.Send(context.Background(), transport)
	call.Ended = time.Now()
	return w.note(call)
}

// note notes a call that has ended.
func (w *World) note(call check.Call) standin.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
	return call.Outcome
}
