// Package engineorders brings the model engines of the region to the published
// placement: it reads what engines hold, and gives the orders that the plan says
// are due. Every daemon works out the same plan; each gives the orders of the
// engines that rendezvous hashing assigns to it, which saves messages only.
package engineorders

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingomount/flamingomount/pkg/control/placement"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// DefaultEvery is the time between two rounds while all is as it should be.
	DefaultEvery = 5 * time.Second
	// busyEvery is the time between two rounds while an engine differs; it is
	// shorter than the part of a turn in which a pull may begin.
	busyEvery = 400 * time.Millisecond
	// callTimeout bounds one call of an engine; it is shorter than the age at
	// which the plan stops to trust a reading.
	callTimeout = 800 * time.Millisecond
	// maxAtOnce bounds the engines that are asked at the same time.
	maxAtOnce = 32
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 10
	ordersPath     = "/orders"
)

// Options configures an Issuer. Snapshot must be set.
type Options struct {
	Snapshot func() *snapshot.Snapshot
	// Every is the time between two rounds while all is as it should be; zero
	// means DefaultEvery.
	Every time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives a line for each order; nil means logrus' standard logger.
	Log logrus.FieldLogger
}

// Issuer gives orders until its context ends. One goroutine runs it.
type Issuer struct {
	opts   Options
	client *http.Client

	// plan was made for workers; it is made anew when they or the revision of
	// the placement change.
	plan    *placement.Plan
	workers []platform.VM
}

// New returns an issuer.
func New(opts Options) *Issuer {
	opts.Every = cmp.Or(opts.Every, DefaultEvery)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	return &Issuer{opts: opts, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// Run makes rounds until ctx ends.
func (i *Issuer) Run(ctx context.Context) {
	defer i.client.CloseIdleConnections()
	timer := time.NewTimer(i.opts.Every)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			next := i.opts.Every
			if i.Round(ctx) {
				next = busyEvery
			}
			timer.Reset(next)
		}
	}
}

// Round reads the engines that this daemon is responsible for. Only when one of
// them is not as it should be, it reads all engines of the region and gives the
// orders that are due. It reports whether one was not as it should be.
func (i *Issuer) Round(ctx context.Context) bool {
	view := i.opts.Snapshot()
	if view.Config == nil || len(view.Config.Placement) == 0 || view.Paused || view.Draining {
		return false
	}
	workers := workersOf(view)
	plan := i.planFor(view.Config, workers)
	workers = slices.DeleteFunc(workers, func(vm platform.VM) bool { return vm.Region != view.Self.Region })
	own := slices.DeleteFunc(slices.Clone(workers), func(vm platform.VM) bool { return !responsible(view, vm.Endpoint) })
	if !differs(plan, i.observe(ctx, plan, own)) {
		return false
	}
	observed := i.observe(ctx, plan, workers)
	for _, order := range plan.Orders(observed, i.opts.Now()) {
		if responsible(view, order.Endpoint) {
			i.give(ctx, order, addressOf(workers, order.Endpoint))
		}
	}
	return true
}

// planFor returns the plan of a configuration and a list of workers.
func (i *Issuer) planFor(config *published.Configuration, workers []platform.VM) *placement.Plan {
	if i.plan == nil || i.plan.Revision != config.Fencing() || !slices.Equal(i.workers, workers) {
		i.workers = slices.Clone(workers)
		i.plan = placement.NewPlan(config, workers)
	}
	return i.plan
}

// workersOf lists the endpoints of all regions as the platform does: the turns
// at the weight store are for the whole fleet.
func workersOf(view *snapshot.Snapshot) []platform.VM {
	var workers []platform.VM
	for _, endpoints := range view.Endpoints {
		for _, e := range endpoints {
			workers = append(workers, platform.VM{
				Role: platform.RoleEndpoint, Region: e.Region, DataCentre: e.DataCentre, Address: e.Address,
				Endpoint: e.ID, Service: e.Service, Version: e.Version, Slots: e.Slots,
				Leaving: e.State == snapshot.EndpointLeaving,
			})
		}
	}
	slices.SortFunc(workers, func(a, b platform.VM) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return workers
}

// responsible reports whether this daemon gives the engine its orders.
func responsible(view *snapshot.Snapshot, endpoint types.EndpointID) bool {
	daemons := []types.VMID{view.Self.Incarnation.VM}
	for _, member := range view.Members {
		if member.Region == view.Self.Region && member.State == snapshot.MemberAlive {
			daemons = append(daemons, member.Incarnation.VM)
		}
	}
	first, found := placement.PrimaryDaemon(endpoint, daemons)
	return found && first == view.Self.Incarnation.VM
}

func addressOf(workers []platform.VM, endpoint types.EndpointID) string {
	at := slices.IndexFunc(workers, func(vm platform.VM) bool { return vm.Endpoint == endpoint })
	return workers[at].Address
}

// differs reports whether an engine is not as the plan wants it, or has not
// heard of the plan's revision.
func differs(plan *placement.Plan, observed map[types.EndpointID]placement.Observation) bool {
	for endpoint, seen := range observed {
		desired, wanted := plan.Desired[endpoint]
		if wanted && (seen.Assignment != desired || seen.Fencing < plan.Revision) {
			return true
		}
	}
	return false
}

// stateAnswer is what an engine says of itself.
type stateAnswer struct {
	placement.Assignment
	Fencing types.Revision `json:"fencing"`
}

// observe reads engines that the plan places. One that can't be read is left
// out: the plan gives it no order.
func (i *Issuer) observe(ctx context.Context, plan *placement.Plan, workers []platform.VM) map[types.EndpointID]placement.Observation {
	var mu sync.Mutex
	observed := make(map[types.EndpointID]placement.Observation)
	readers := pool.New().WithMaxGoroutines(maxAtOnce)
	for _, vm := range workers {
		if _, wanted := plan.Desired[vm.Endpoint]; !wanted {
			continue
		}
		readers.Go(func() {
			var state stateAnswer
			if i.call(ctx, http.MethodGet, vm.Address, nil, 0, &state) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			observed[vm.Endpoint] = placement.Observation{
				Assignment: state.Assignment, Fencing: state.Fencing,
				Ready: state.Model != "", ObservedAt: i.opts.Now(),
			}
		})
	}
	readers.Wait()
	return observed
}

// give sends one order. A refusal means that the engine has heard of a newer
// revision; the next round sees what it holds.
func (i *Issuer) give(ctx context.Context, order placement.Order, address string) {
	var state stateAnswer
	err := i.call(ctx, http.MethodPost, address, &order, order.Fencing, &state)
	line := i.opts.Log.WithFields(logrus.Fields{
		"endpoint": order.Endpoint, "model": order.Model, "version": order.Version,
		"fencing": uint64(order.Fencing), "reason": order.Reason,
	})
	if err != nil {
		line.WithError(err).Warn("order to an engine failed")
		return
	}
	line.Info("order given to an engine")
}

func (i *Issuer) call(ctx context.Context, method, address string, order *placement.Order, fencing types.Revision, into *stateAnswer) error {
	var body []byte
	if order != nil {
		encoded, err := json.Marshal(order)
		if err != nil {
			return eris.Wrap(err, "encode order")
		}
		body = encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+ordersPath, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build order")
	}
	if order != nil {
		req.Header.Set(types.HeaderFencing, fencing.String())
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "call engine")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("engine answered status %d", resp.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into), "read engine's state")
}
