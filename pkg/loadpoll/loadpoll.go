// Package loadpoll polls the endpoints of the local region for load reports and
// cache events, one endpoint at a time. The poll rate is constant, so the age of
// a report grows up to the number of endpoints divided by the rate. Routing
// corrects for this with the attempts sent since the report.
package loadpoll

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

const (
	// DefaultEvery is the default interval between the polls of two endpoints.
	DefaultEvery = 250 * time.Millisecond
	// readTimeout is the timeout of one HTTP request to an endpoint.
	readTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response body that is read.
	maxResponseBytes = 256 << 10
	// maxResponseHeaderBytes is the maximum size of the head of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxIdleConns is the maximum number of idle connections. It is small,
	// because each endpoint is polled rarely.
	maxIdleConns = 8
)

// Options configures a Poller. Snapshot and Submit must be set.
type Options struct {
	Snapshot func() *snapshot.Snapshot
	Submit   func(event.Event) bool
	// Every is the interval between the polls of two endpoints; zero means
	// DefaultEvery.
	Every time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Poller polls endpoints. It is not safe for concurrent use.
type Poller struct {
	opts   Options
	client *http.Client
	// lastRead is the endpoint polled last. Endpoints are polled in the order of
	// their IDs.
	lastRead types.EndpointID
	// newestEvent is the sequence number of the newest cache event read from each
	// engine.
	newestEvent map[types.EndpointID]uint64
}

// New returns a Poller.
func New(opts Options) *Poller {
	opts.Every = cmp.Or(opts.Every, DefaultEvery)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	transport := &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: 1, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &Poller{
		opts:        opts,
		client:      &http.Client{Transport: transport, Timeout: readTimeout},
		newestEvent: make(map[types.EndpointID]uint64),
	}
}

// Run polls one endpoint per interval until ctx is cancelled.
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

// readNext polls the next endpoint of the local region. If the request fails, the
// last report of the endpoint stays in use; routing takes its age into account.
func (p *Poller) readNext(ctx context.Context) {
	view := p.opts.Snapshot()
	endpoint := nextEndpoint(view, p.lastRead)
	if endpoint == nil {
		return
	}
	p.lastRead = endpoint.ID
	if err := p.readLoad(ctx, endpoint); err != nil {
		return
	}
	service := view.Config.Services[endpoint.Service]
	if service.Kind == published.KindModel {
		_ = p.readCache(ctx, endpoint)
	}
}

// nextEndpoint returns the endpoint of the local region with the next ID after
// last. It wraps around to the lowest ID and returns nil if there is no endpoint.
func nextEndpoint(view *snapshot.Snapshot, last types.EndpointID) *snapshot.Endpoint {
	if view.Config == nil {
		return nil
	}
	var first, following *snapshot.Endpoint
	for service, endpoints := range view.Endpoints {
		if view.Config.Services[service] == nil {
			continue
		}
		first = lowerID(first, firstLocalAfter(view, endpoints, ""))
		following = lowerID(following, firstLocalAfter(view, endpoints, last))
	}
	if following != nil {
		return following
	}
	return first
}

// firstLocalAfter returns the endpoint of the local region with the lowest ID
// greater than after, or nil. The endpoints must be sorted by ID.
func firstLocalAfter(view *snapshot.Snapshot, endpoints []*snapshot.Endpoint, after types.EndpointID) *snapshot.Endpoint {
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

func lowerID(a, b *snapshot.Endpoint) *snapshot.Endpoint {
	if a == nil || (b != nil && b.ID < a.ID) {
		return b
	}
	return a
}

// loadReport is the response body of an endpoint's /load resource.
type loadReport struct {
	TakenAt   time.Time `json:"taken_at"`
	Running   int       `json:"running"`
	Queued    int       `json:"queued"`
	CacheUsed float64   `json:"cache_used"`
}

func (p *Poller) readLoad(ctx context.Context, endpoint *snapshot.Endpoint) error {
	var report loadReport
	if err := p.getJSON(ctx, endpoint, "/load", &report); err != nil {
		return err
	}
	p.opts.Submit(event.LoadReported{
		At:       p.opts.Now(),
		Endpoint: endpoint.ID,
		Load: snapshot.Load{
			TakenAt:   report.TakenAt,
			Running:   max(report.Running, 0),
			Queued:    max(report.Queued, 0),
			CacheUsed: report.CacheUsed,
		},
	})
	return nil
}

// readCache reads the cache events that follow the newest known one. Engines
// number events from 1 and return the number of the newest as Next; the cache
// view expects the number after it.
func (p *Poller) readCache(ctx context.Context, endpoint *snapshot.Endpoint) error {
	newestEvent := p.newestEvent[endpoint.ID]
	var batch cacheview.Batch
	if err := p.getJSON(ctx, endpoint, fmt.Sprintf("/cache/events?after=%d", newestEvent), &batch); err != nil {
		return err
	}
	p.newestEvent[endpoint.ID] = batch.Next
	if batch.Next == newestEvent && len(batch.Events) == 0 {
		return nil
	}
	batch.Next++
	p.opts.Submit(event.CacheEventsRead{At: p.opts.Now(), Endpoint: endpoint.ID, Batch: batch})
	return nil
}

func (p *Poller) getJSON(ctx context.Context, endpoint *snapshot.Endpoint, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+path, nil)
	if err != nil {
		return eris.Wrap(err, "build poll request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "poll %s", endpoint.ID)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("poll %s: status %d", endpoint.ID, resp.StatusCode)
	}
	return eris.Wrapf(wholebody.DecodeJSON(resp.Body, maxResponseBytes, into), "decode response of %s", endpoint.ID)
}
