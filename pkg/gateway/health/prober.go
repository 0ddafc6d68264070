// Package health checks endpoints whose cold time is only assumed. After the
// evacuation of a data centre its endpoints may or may not be cold, and what they
// have published does not tell; their health checks do. An endpoint that does not
// answer keeps the assumed cold time.
package health

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// settleDelay is how long after a new view the checks begin, so that an
	// endpoint that becomes cold on its return has done so.
	settleDelay = 100 * time.Millisecond
	// checkTimeout bounds one check: a busy endpoint lets it wait for a slot.
	checkTimeout = 500 * time.Millisecond
	// maxChecks bounds the concurrent checks of this daemon.
	maxChecks = 32
)

// Info is the decoded response to a health check.
type Info struct {
	// Endpoint is the ID of the endpoint that answered.
	Endpoint types.EndpointID
	Healthy  bool
	// Cold is how long the endpoint stays cold; zero if it is warm.
	Cold time.Duration
	// Leaving is true if the endpoint is leaving.
	Leaving bool
	// Backoff is how long the endpoint wants no further request from this daemon;
	// zero if it asks for no pause.
	Backoff time.Duration
}

// Dialect decodes responses to health checks.
type Dialect interface {
	HealthInfo(status int, header http.Header) Info
}

// Pool names the endpoints to check and receives the results. Its methods are
// safe for concurrent use.
type Pool interface {
	DueProbes() []balance.Probe
	// Takes reports whether an endpoint takes requests now, by what it said of itself.
	Takes(endpoint *catalog.Endpoint) bool
	// Note records what an endpoint said of itself.
	Note(endpoint *catalog.Endpoint, notice balance.Notice)
	RecordProbe(probe balance.Probe, coldUntil time.Time)
}

// Prober checks endpoints each time that it is woken.
type Prober struct {
	pool      Pool
	dialect   Dialect
	transport http.RoundTripper
	log       logrus.FieldLogger
	now       func() time.Time
	wake      chan struct{}
}

// NewProber returns a prober that sends its checks through the transport.
func NewProber(pool Pool, dialect Dialect, transport http.RoundTripper, log logrus.FieldLogger, now func() time.Time) *Prober {
	return &Prober{pool: pool, dialect: dialect, transport: transport, log: log, now: now, wake: make(chan struct{}, 1)}
}

// Wake makes Run look for endpoints to check. It does not block.
func (p *Prober) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run checks endpoints until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(settleDelay):
		case <-ctx.Done():
			return
		}
		checks := pool.New().WithMaxGoroutines(maxChecks)
		for _, probe := range p.pool.DueProbes() {
			checks.Go(func() { p.check(ctx, probe) })
		}
		checks.Wait()
	}
}

// check checks one endpoint. A failure is no news: the assumed cold time stays.
// An endpoint that asked for a pause since the check became due is left alone.
func (p *Prober) check(ctx context.Context, probe balance.Probe) {
	endpoint := probe.Endpoint
	if !p.pool.Takes(endpoint.Endpoint) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+probe.Path, nil)
	if err != nil {
		p.log.WithError(err).WithField("endpoint", endpoint.ID).Warn("health check can't be sent")
		return
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		p.log.WithError(err).WithField("endpoint", endpoint.ID).Debug("health check failed")
		return
	}
	defer func() { _ = response.Body.Close() }()
	info := p.dialect.HealthInfo(response.StatusCode, response.Header)
	if info.Endpoint == endpoint.ID || info.Endpoint == "" {
		p.pool.Note(endpoint.Endpoint, balance.Notice{Leaving: info.Leaving, Backoff: info.Backoff})
	}
	if !info.Healthy || info.Endpoint != endpoint.ID {
		return
	}
	p.pool.RecordProbe(probe, p.now().Add(info.Cold))
	p.log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "cold": info.Cold.String()}).Info("endpoint checked after an evacuation")
}
