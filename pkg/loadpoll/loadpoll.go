// Package loadpoll reads the endpoints' load reports and cache events, one
// endpoint after the other, at a rate that does not grow with their number. A
// report therefore lags by the number of endpoints over the rate; routing
// corrects it by the attempts made since.
package loadpoll

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// DefaultEvery is the time between two endpoints.
	DefaultEvery = 250 * time.Millisecond
	// readTimeout bounds the reading of one endpoint.
	readTimeout = 2 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 256 << 10
	// idleConns bounds the kept connections; each endpoint is read seldom.
	idleConns = 8
)

// Options configures a Poller. Snapshot and Submit must be set.
type Options struct {
	Snapshot func() *snapshot.Snapshot
	Submit   func(event.Event) bool
	// Every is the time between two endpoints; zero means DefaultEvery.
	Every time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Poller reads endpoints until its context ends. One goroutine runs it.
type Poller struct {
	opts   Options
	client *http.Client
	// last is the endpoint that was read last; the next one follows by ID.
	last types.EndpointID
	// after is the number of each engine's newest known cache event.
	after map[types.EndpointID]uint64
}

// New returns a poller.
func New(opts Options) *Poller {
	opts.Every = cmp.Or(opts.Every, DefaultEvery)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	transport := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &Poller{
		opts:   opts,
		client: &http.Client{Transport: transport, Timeout: readTimeout},
		after:  make(map[types.EndpointID]uint64),
	}
}

// Run reads one endpoint after the other until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(p.opts.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.readNext(ctx)
		}
	}
}

// readNext reads the next endpoint of the own region. An endpoint that can't be
// read keeps its last report, whose age routing sees.
func (p *Poller) readNext(ctx context.Context) {
	view := p.opts.Snapshot()
	endpoint := next(view, p.last)
	if endpoint == nil {
		return
	}
	p.last = endpoint.ID
	if err := p.readLoad(ctx, endpoint); err != nil {
		return
	}
	service := view.Config.Services[endpoint.Service]
	if service.Kind == published.KindModel {
		_ = p.readCache(ctx, endpoint)
	}
}

// next returns the endpoint of the own region that follows last by ID, or the
// first one; nil when there is none.
func next(view *snapshot.Snapshot, last types.EndpointID) *snapshot.Endpoint {
	if view.Config == nil {
		return nil
	}
	var first, following *snapshot.Endpoint
	for service, endpoints := range view.Endpoints {
		if view.Config.Services[service] == nil {
			continue
		}
		first = smaller(first, ownAfter(view, endpoints, ""))
		following = smaller(following, ownAfter(view, endpoints, last))
	}
	if following != nil {
		return following
	}
	return first
}

// ownAfter returns the first endpoint of the own region after an ID.
func ownAfter(view *snapshot.Snapshot, endpoints []*snapshot.Endpoint, after types.EndpointID) *snapshot.Endpoint {
	start, found := slices.BinarySearchFunc(endpoints, after, func(e *snapshot.Endpoint, id types.EndpointID) int {
		return cmp.Compare(e.ID, id)
	})
	if found {
		start++
	}
	for _, endpoint := range endpoints[start:] {
		if endpoint.Region == view.Self.Region && endpoint.State != snapshot.EndpointGone {
			return endpoint
		}
	}
	return nil
}

func smaller(a, b *snapshot.Endpoint) *snapshot.Endpoint {
	if a == nil || (b != nil && b.ID < a.ID) {
		return b
	}
	return a
}

// loadAnswer is an endpoint's report of itself.
type loadAnswer struct {
	TakenAt   time.Time `json:"taken_at"`
	Running   int       `json:"running"`
	Queued    int       `json:"queued"`
	CacheUsed float64   `json:"cache_used"`
}

func (p *Poller) readLoad(ctx context.Context, endpoint *snapshot.Endpoint) error {
	var answer loadAnswer
	if err := p.get(ctx, endpoint, "/load", &answer); err != nil {
		return err
	}
	p.opts.Submit(event.LoadReported{
		At:       p.opts.Now(),
		Endpoint: endpoint.ID,
		Load: snapshot.Load{
			TakenAt:   answer.TakenAt,
			Running:   max(answer.Running, 0),
			Queued:    max(answer.Queued, 0),
			CacheUsed: answer.CacheUsed,
		},
	})
	return nil
}

// readCache reads the cache events after the newest known one. Engines number
// events from one and name the newest; the view wants the number after it.
func (p *Poller) readCache(ctx context.Context, endpoint *snapshot.Endpoint) error {
	after := p.after[endpoint.ID]
	var batch cacheview.Batch
	if err := p.get(ctx, endpoint, fmt.Sprintf("/cache/events?after=%d", after), &batch); err != nil {
		return err
	}
	p.after[endpoint.ID] = batch.Next
	if batch.Next == after && len(batch.Events) == 0 {
		return nil
	}
	batch.Next++
	p.opts.Submit(event.CacheEventsRead{At: p.opts.Now(), Endpoint: endpoint.ID, Batch: batch})
	return nil
}

func (p *Poller) get(ctx context.Context, endpoint *snapshot.Endpoint, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+path, nil)
	if err != nil {
		return eris.Wrap(err, "build report request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "read report of %s", endpoint.ID)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("report of %s: status %d", endpoint.ID, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into), "report of %s", endpoint.ID)
}
