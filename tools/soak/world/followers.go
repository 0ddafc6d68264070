package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
)

// homesHost is the host of the routes with homes, in runs with homes.
const homesHost = "homes.example"

// Habits of callers that follow the directory.
const (
	// followStream is the part of the draws of a follower that its number is added to,
	// homeRoutesStream that of the routes with homes.
	followStream     = 0x666f6c << 16
	homeRoutesStream = 0x686f7374
	// Of so many followers one keeps answers for longKeep times as long, and of so many
	// one keeps its connections for as long as it can.
	longEvery, longKeep = 3, 3
	keepEvery           = 2
	// The others connect anew for one of so many calls.
	anewEvery = 8
	// connectTimeout is the time that a new connection gets.
	connectTimeout = time.Second
	// askAgain is the time after which a follower that got no answer asks again.
	askAgain = 250 * time.Millisecond
	// followBytes is the size of the body of a request.
	followBytes = 200
)

// homeRoute is a route of homesHost.
type homeRoute struct {
	name string
	// homes lists the regions that it is restricted to; none if it isn't.
	homes []types.Region
	// share is its part of the requests.
	share int
}

func (r *homeRoute) prefix() string {
	return "/" + r.name + "/"
}

// allows reports whether the route may run in a data centre.
func (r *homeRoute) allows(dc types.DataCentre) bool {
	return len(r.homes) == 0 || slices.ContainsFunc(r.homes, func(home types.Region) bool { return dataCentreOf(home) == dc })
}

// drawHomeRoutes draws the homes of the routes of homesHost: two for the busy one, one for
// the one with a twelfth of the requests that have homes, and another for those without
// requests.
func drawHomeRoutes(seed uint64) []homeRoute {
	rng := rand.New(rand.NewPCG(seed, homeRoutesStream))
	order := rng.Perm(len(regions))
	busy := []types.Region{regions[order[0]], regions[order[1]]}
	lone := rng.IntN(len(regions))
	idle := regions[(lone+1+rng.IntN(len(regions)-1))%len(regions)]
	routes := []homeRoute{
		{name: "busy", homes: busy, share: 11}, {name: "lone", homes: regions[lone : lone+1], share: 1},
		{name: "free", share: 4}, {name: "idle", homes: []types.Region{idle}},
	}
	if rng.IntN(2) == 0 {
		routes = append(routes, homeRoute{name: "unused", homes: []types.Region{idle}})
	}
	return routes
}

// HomeRoutes describes the routes of the host with homes.
func (w *World) HomeRoutes() string {
	var found []string
	for _, one := range w.homeRoutes {
		found = append(found, fmt.Sprintf("%s %v %d", one.name, one.homes, one.share))
	}
	return strings.Join(found, ", ")
}

// homeRouteOf returns the route with homes of a path; nil if it has another one.
func (w *World) homeRouteOf(path string) *homeRoute {
	for at := range w.homeRoutes {
		if strings.HasPrefix(path, w.homeRoutes[at].prefix()) {
			return &w.homeRoutes[at]
		}
	}
	return nil
}

// homesOf returns the regions that a call's route is restricted to.
func (w *World) homesOf(call check.Call) []types.Region {
	if route := w.homeRouteOf(call.Path); route != nil {
		return route.homes
	}
	if strings.HasPrefix(call.Path, standin.ReportPath) {
		return []types.Region{homeRegion}
	}
	return nil
}

// follower is a caller that uses the entries that the directory names, as the platform's
// callers do.
type follower struct {
	w      *World
	region types.Region
	rng    *rand.Rand
	// keeps is how often the time to live of an answer it keeps it.
	keeps     time.Duration
	transport *http.Transport

	mu sync.Mutex
	// entries holds the answer without those that failed the caller, connected the one
	// to which its newest connection leads.
	entries   []string
	connected string
	until     time.Time
}

// followers sends requests from every region, as the directory says, until ctx ends.
func (w *World) followers(ctx context.Context) {
	for place, region := range w.regions() {
		for number := range w.opts.Callers {
			f := &follower{w: w, region: region, keeps: 1, transport: newTransport()}
			f.rng = rand.New(rand.NewPCG(w.opts.Seed, followStream+uint64(place*w.opts.Callers+number)))
			if number%longEvery == 0 {
				f.keeps = longKeep
			}
			f.transport.DialContext = f.connect
			w.serving.Go(func() { f.run(ctx, number) })
		}
	}
}

// run sends requests until ctx ends.
func (f *follower) run(ctx context.Context, number int) {
	defer f.transport.CloseIdleConnections()
	for sent := 0; ctx.Err() == nil; sent++ {
		if time.Now().After(f.until) {
			f.ask(ctx)
		}
		if number%keepEvery != 0 && f.rng.IntN(anewEvery) == 0 {
			f.transport.CloseIdleConnections()
		}
		outcome := f.send(f.draw(fmt.Sprintf("follow-%s-%d-%d", f.region, number, sent)))
		time.Sleep(min(outcome.RetryAfter, longestReturn) + time.Duration(f.rng.ExpFloat64()*float64(pauseBetween)))
	}
}

// ask asks up to askedMost directories, those of its own region first, and keeps what it
// has if none answers. Connections to entries that are no longer named are given up.
func (f *follower) ask(ctx context.Context) {
	for _, asked := range f.nearest()[:min(askedMost, len(f.w.daemons))] {
		entries, keep := f.w.resolve(ctx, asked, homesHost, f.region)
		if len(entries) == 0 {
			continue
		}
		f.mu.Lock()
		f.entries, f.until = entries, time.Now().Add(keep*f.keeps)
		stays := slices.Contains(entries, f.connected)
		f.mu.Unlock()
		if !stays {
			f.transport.CloseIdleConnections()
		}
		return
	}
	f.until = time.Now().Add(askAgain)
}

// nearest returns all daemons, those of the caller's region first.
func (f *follower) nearest() []*daemon {
	var near, far []*daemon
	for _, at := range f.rng.Perm(len(f.w.daemons)) {
		if one := f.w.daemons[at]; one.region == f.region {
			near = append(near, one)
		} else {
			far = append(far, one)
		}
	}
	return append(near, far...)
}

// connect opens a connection to one of the entries that have not failed the caller.
func (f *follower) connect(ctx context.Context, network, _ string) (net.Conn, error) {
	f.mu.Lock()
	entries := f.entries
	f.connected = ""
	if len(entries) > 0 {
		f.connected = entries[f.rng.IntN(len(entries))]
	}
	chosen := f.connected
	f.mu.Unlock()
	if chosen == "" {
		return nil, errNoEntry
	}
	return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, chosen)
}

// draw returns a request of a route that is drawn by the routes' shares.
func (f *follower) draw(id string) check.Call {
	total := 0
	for _, route := range f.w.homeRoutes {
		total += route.share
	}
	drawn := f.rng.IntN(total)
	for _, route := range f.w.homeRoutes {
		if drawn < route.share {
			return check.Call{Region: f.region, Call: standin.Call{
				ID: id, Host: homesHost, Address: homesHost, Method: http.MethodPost, Path: route.prefix() + id,
				Body: make([]byte, followBytes), Timeout: callWithin,
			}}
		}
		drawn -= route.share
	}
	panic("the shares add up to the total")
}

// send sends a call on the open connection or a new one, and notes what came of it. An
// entry that did not answer is not used again until the next answer of the directory.
func (f *follower) send(call check.Call) standin.Outcome {
	call.Sent = time.Now()
	call.Outcome = call.Send(context.Background(), f.transport)
	call.Ended = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.w.daemons {
		if one.front() == f.connected {
			call.Daemon = one.name
		}
	}
	if call.Outcome.Status == 0 {
		f.entries = slices.DeleteFunc(slices.Clone(f.entries), func(entry string) bool { return entry == f.connected })
	}
	if errors.Is(call.Outcome.Err, errNoEntry) || len(f.entries) == 0 {
		f.until = time.Now()
	}
	return f.w.note(call)
}
