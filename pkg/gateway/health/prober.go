// Package health checks endpoints that may or may not be cold. Those of a data
// centre that is being evacuated, or has just returned, may have become cold, and
// so may all while there is no news of the store, and each one to which a new
// connection may lead to a process that has just started. What they have published does
// not tell; their health checks do. An endpoint that does not answer counts as cold.
package health

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

const (
	// settleDelay is how long after a new view the checks begin, so that an
	// endpoint that becomes cold on its return has done so.
	settleDelay = 100 * time.Millisecond
	// confirmInterval is the time between two looks for endpoints to check while
	// some may turn cold at any moment.
	confirmInterval = 50 * time.Millisecond
	// checkTimeout bounds one check: a busy endpoint lets it wait for a slot.
	checkTimeout = 500 * time.Millisecond
	// maxChecks bounds the concurrent checks of this daemon.
	maxChecks = 32
	// maxBodyBytes bounds the body of a response; nothing in it is used.
	maxBodyBytes = 64 << 10
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
	// DueConfirmations returns the endpoints that may turn cold at any moment that
	// are to be checked now; pending is true if there may be others before the pool
	// is updated again.
	DueConfirmations() (due []balance.Probe, pending bool)
	// Takes reports whether an endpoint takes requests now, by what it said of itself.
	Takes(endpoint *catalog.Endpoint) bool
	// Note records what an endpoint said of itself.
	Note(endpoint *catalog.Endpoint, notice balance.Notice)
	// RecordProbe records the end of an endpoint's cold time; zero if it is warm.
	RecordProbe(probe balance.Probe, coldUntil time.Time)
}

// Confirmer is a connection that takes note that the endpoint at its other end has
// answered that it is warm.
type Confirmer interface {
	// Asking is called before a health check is sent on the connection. The returned
	// function is called if the answer is that the endpoint is warm.
	Asking() (confirm func())
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
	checks := pool.New().WithMaxGoroutines(maxChecks)
	defer checks.Wait()
	var panicked panics.Catcher
	start := func(due []balance.Probe) {
		panicked.Repanic()
		for _, probe := range due {
			checks.Go(func() { panicked.Try(func() { p.check(ctx, probe) }) })
		}
	}
	var settled, confirm <-chan time.Time
	for {
		select {
		case <-p.wake:
			if settled == nil {
				settled = time.After(settleDelay)
			}
		case <-settled:
			settled = nil
			start(p.pool.DueProbes())
		case <-confirm:
		case <-ctx.Done():
			return
		}
		due, pending := p.pool.DueConfirmations()
		start(due)
		confirm = nil
		if pending {
			confirm = time.After(confirmInterval)
		}
	}
}

// logResult logs what a check found; of endpoints that may turn cold at any moment,
// only that one is cold, since checks are frequent then.
func (p *Prober) logResult(probe balance.Probe, info Info) {
	fields := logrus.Fields{"endpoint": probe.Endpoint.ID, "cold": info.Cold.String()}
	switch {
	case !probe.Confirms:
		p.log.WithFields(fields).Info("endpoint checked after an evacuation")
	case info.Cold > 0 && probe.InDoubt:
		p.log.WithFields(fields).Info("endpoint had started again before its entry told")
	case info.Cold > 0 && !probe.Endpoint.LastRequestAt.IsZero():
		p.log.WithFields(fields).Info("endpoint turned cold during an evacuation")
	case info.Cold > 0:
		p.log.WithFields(fields).Info("endpoint turned cold without news of the store")
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
	confirm := func() {}
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if confirmer, ok := got.Conn.(Confirmer); ok {
			confirm = confirmer.Asking()
		}
	}}
	response, err := p.roundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		p.log.WithError(err).WithField("endpoint", endpoint.ID).Debug("health check failed")
		return
	}
	info := p.dialect.HealthInfo(response.StatusCode, response.Header)
	if info.Endpoint == endpoint.ID || info.Endpoint == "" {
		p.pool.Note(endpoint.Endpoint, balance.Notice{Leaving: info.Leaving, Backoff: info.Backoff})
	}
	if !info.Healthy || info.Endpoint != endpoint.ID {
		return
	}
	var coldUntil time.Time
	if info.Cold > 0 {
		coldUntil = p.now().Add(info.Cold)
	} else {
		confirm()
	}
	p.pool.RecordProbe(probe, coldUntil)
	p.logResult(probe, info)
}

// roundTrip returns the response to a check once its body has been read to its end, and an
// error if it is none: a part of a response tells nothing of the endpoint.
func (p *Prober) roundTrip(request *http.Request) (*http.Response, error) {
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if !relay.IsFinalStatus(response.StatusCode) {
		return nil, relay.ErrNoStatus
	}
	if _, err := wholebody.Read(response.Body, maxBodyBytes); err != nil {
		return nil, err
	}
	return response, nil
}
