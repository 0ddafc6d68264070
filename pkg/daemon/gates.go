package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/admission/gate"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// tickInterval is how often waiting requests are looked through and capacities
// are set anew.
const tickInterval = 200 * time.Millisecond

// gates holds the admission gate of each service that is in use.
type gates struct {
	snapshot func() *snapshot.Snapshot
	build    func(service types.ServiceName) admission.Admitter
	now      func() time.Time
	loads    *loads

	mu        sync.RWMutex
	byService map[types.ServiceName]*serviceGate
}

// serviceGate is the gate of one service and the controller behind it.
type serviceGate struct {
	*gate.Gate
	admitter admission.Admitter
	// waits holds how long requests really waited, for predictions.
	waits spill.WaitEstimator
}

func newGates(opts *Options, current func() *snapshot.Snapshot) *gates {
	g := &gates{
		snapshot:  current,
		build:     opts.NewAdmitter,
		now:       opts.Now,
		loads:     newLoads(),
		byService: make(map[types.ServiceName]*serviceGate),
	}
	if g.build == nil {
		g.build = func(types.ServiceName) admission.Admitter {
			return admission.New(admissionOptions(current().Config), opts.Rand)
		}
	}
	return g
}

func admissionOptions(config *published.Configuration) admission.Options {
	if config == nil {
		return admission.Options{}
	}
	return admission.Options{PatientFloor: config.Policy.PatientFloor}
}

// acquire waits until the request may run.
func (g *gates) acquire(ctx context.Context, req *request.Request) (*gate.Permit, *types.Failure) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	one, offered := g.of(req.Service.Name), g.now()
	pass, failure := one.Acquire(ctx, admission.Offer{
		Rank:     req.Rank,
		Org:      req.Org.Name,
		Share:    req.Org.Share,
		Cost:     float64(req.InputTokens + req.OutputTokens),
		Bytes:    int64(len(req.Body)),
		Deadline: req.Deadline,
	})
	if failure == nil {
		now := g.now()
		one.waits.RecordWait(req.Rank, now.Sub(offered), now)
	}
	return pass, failure
}

func (g *gates) of(service types.ServiceName) *serviceGate {
	g.mu.RLock()
	found := g.byService[service]
	g.mu.RUnlock()
	if found != nil {
		return found
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if found = g.byService[service]; found == nil {
		admitter := g.build(service)
		found = &serviceGate{Gate: gate.New(admitter, g.now), admitter: admitter}
		found.SetCapacity(g.loads.capacity(g.snapshot(), service, g.now()))
		g.byService[service] = found
	}
	return found
}

// tick sets capacities anew and refuses requests that waited too long.
func (g *gates) tick() {
	view, now := g.snapshot(), g.now()
	g.loads.refresh(view, now)
	g.mu.RLock()
	defer g.mu.RUnlock()
	for service, one := range g.byService {
		one.SetCapacity(g.loads.capacity(view, service, now))
		one.setFloor(view.Config)
		one.Tick()
	}
}

// setFloor takes the published share of the patient rank.
func (s *serviceGate) setFloor(config *published.Configuration) {
	controller, ok := s.admitter.(*admission.Controller)
	if !ok || config == nil {
		return
	}
	s.WithLock(func() { controller.SetPatientFloor(config.Policy.PatientFloor) })
}

// run ticks until ctx ends.
func (g *gates) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.tick()
		case <-ctx.Done():
			return
		}
	}
}

// daemonsOf counts the daemons that share the region's endpoints.
func daemonsOf(view *snapshot.Snapshot) int {
	daemons := 1
	for i := range view.Members {
		member := &view.Members[i]
		live := member.State == snapshot.MemberAlive || member.State == snapshot.MemberListed
		if live && member.Region == view.Self.Region {
			daemons++
		}
	}
	return daemons
}

// waiting counts queued requests by rank, over all services.
func (g *gates) waiting() [types.RankCount]int {
	var sum [types.RankCount]int
	g.each(func(controller *admission.Controller) {
		for _, rank := range types.Ranks() {
			sum[rank] += controller.Queued(rank)
		}
	})
	return sum
}

// each reads every controller.
func (g *gates) each(read func(*admission.Controller)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, one := range g.byService {
		if controller, ok := one.admitter.(*admission.Controller); ok {
			one.WithLock(func() { read(controller) })
		}
	}
}
