package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// ResponseStarted records that the endpoint started the response of a request that it runs.
func (p *Pool) ResponseStarted(permit *Permit, now time.Time) {
	if !permit.responseSeen {
		permit.state.observeFirstEvent(permit, now)
		p.observeResponse(permit, now)
	}
	p.endPending(permit, now)
}

// ResponseFailed records that the endpoint started a response that tells that the request
// failed.
func (p *Pool) ResponseFailed(permit *Permit, now time.Time) {
	if !permit.responseSeen {
		permit.state.speed.ObserveFailure(permit.prefillBacklog, permit.running, permit.req.large(), now.Sub(permit.grantedAt), now)
	}
	p.endPending(permit, now)
}

// endPending records that a request waits for its response no longer.
func (p *Pool) endPending(permit *Permit, now time.Time) {
	if permit.markResponseStarted() {
		permit.state.removePending(permit)
		permit.state.lastResponseAt = now
		p.letGo(p.queueOf(permit.req.Service), false, now)
	}
}

// observeFirstEvent learns from the time until a response started.
func (s *endpointState) observeFirstEvent(permit *Permit, now time.Time) {
	s.speed.ObserveFirstEvent(permit.prefillBacklog, permit.running, permit.req.large(), now.Sub(permit.grantedAt), now)
}

// observeResponse learns from the time until the response to a small request started.
func (p *Pool) observeResponse(permit *Permit, now time.Time) {
	if !permit.req.large() {
		p.speeds.of(permit.req.Service).ObserveResponse(now.Sub(permit.grantedAt), now)
	}
}

// refusedTime is what a refusal by a full endpoint counts as: the request would have waited
// longer than those that the endpoint took.
const refusedTime = 600 * time.Millisecond

// observeRefusal records that a full endpoint refused a request.
func (p *Pool) observeRefusal(permit *Permit, now time.Time) {
	if !permit.req.large() {
		p.speeds.of(permit.req.Service).ObserveResponse(max(refusedTime, now.Sub(permit.grantedAt)), now)
	}
	if !permit.state.isEngine() {
		permit.state.speed.ObserveFirstEvent(0, permit.running, false, refusedTime, now)
	}
}

// Response returns the average time until the responses to small requests of a service
// started lately in the local region; zero if this daemon saw none.
func (p *Pool) Response(service types.ServiceName, now time.Time) time.Duration {
	return p.speeds.of(service).Response(now)
}

// observePace learns from the pace of the events of a complete response.
func (s *endpointState) observePace(permit *Permit, now time.Time) {
	if s.isEngine() {
		s.speed.ObservePace(permit.running, permit.pace.Mean, permit.pace.Longest, now)
	}
}
