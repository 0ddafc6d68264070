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

// tickInterval is how often queued requests are checked for expiry and
// capacities are recomputed.
const tickInterval = 200 * time.Millisecond

// gates holds one admission gate for each service that has received a request.
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
	// waits predicts queue waits from the measured waits of earlier requests.
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

// acquire queues the request until it is admitted, refused or past its
// deadline. It records the wait of an admitted request.
func (g *gates) acquire(ctx context.Context, req *request.Request) (*gate.Permit, *types.Failure) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	sg, enqueuedAt := g.gateFor(req.Service.Name), g.now()
	permit, failure := sg.Acquire(ctx, admission.Offer{
		Rank:     req.Rank,
		Org:      req.Org.Name,
		Share:    req.Org.Share,
		Cost:     float64(req.InputTokens + req.OutputTokens),
		Bytes:    int64(len(req.Body)),
		Deadline: req.Deadline,
	})
	if failure == nil {
		now := g.now()
		sg.waits.RecordWait(req.Rank, now.Sub(enqueuedAt), now)
	}
	return permit, failure
}

func (g *gates) gateFor(service types.ServiceName) *serviceGate {
	g.mu.RLock()
	sg := g.byService[service]
	g.mu.RUnlock()
	if sg != nil {
		return sg
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if sg = g.byService[service]; sg == nil {
		admitter := g.build(service)
		sg = &serviceGate{Gate: gate.New(admitter, g.now), admitter: admitter}
		sg.SetCapacity(g.loads.capacity(g.snapshot(), service, g.now()))
		g.byService[service] = sg
	}
	return sg
}

// tick recomputes capacities, applies the published patient floor and refuses
// requests that have waited too long.
func (g *gates) tick() {
	view, now := g.snapshot(), g.now()
	g.loads.refresh(view, now)
	g.mu.RLock()
	defer g.mu.RUnlock()
	for service, sg := range g.byService {
		sg.SetCapacity(g.loads.capacity(view, service, now))
		sg.setPatientFloor(view.Config)
		sg.Tick()
	}
}

// setPatientFloor applies the published capacity share of the patient rank. It
// does nothing without a configuration.
func (s *serviceGate) setPatientFloor(config *published.Configuration) {
	controller, ok := s.admitter.(*admission.Controller)
	if !ok || config == nil {
		return
	}
	s.WithLock(func() { controller.SetPatientFloor(config.Policy.PatientFloor) })
}

// run calls tick every tickInterval until ctx ends.
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

// daemonsInRegion counts the daemons, including this one, that share the
// endpoints of the local region.
func daemonsInRegion(view *snapshot.Snapshot) int {
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

// queuedByRank returns the number of queued requests of each rank, summed over
// all services.
func (g *gates) queuedByRank() [types.RankCount]int {
	var sum [types.RankCount]int
	g.forEachController(func(controller *admission.Controller) {
		for _, rank := range types.Ranks() {
			sum[rank] += controller.Queued(rank)
		}
	})
	return sum
}

// forEachController calls fn for the admission controller of each service, with
// its gate locked. It skips admitters of other types.
func (g *gates) forEachController(fn func(*admission.Controller)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, sg := range g.byService {
		if controller, ok := sg.admitter.(*admission.Controller); ok {
			sg.WithLock(func() { fn(controller) })
		}
	}
}
