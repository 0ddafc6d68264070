// Package engineorders reconciles the model engines of the local region with the
// published placement: it reads the state of the engines and sends the orders
// that are due under the placement plan. Every daemon computes the same plan.
// Each daemon sends orders only to the engines that rendezvous hashing assigns to
// it; this only saves messages and is not needed for correctness.
package engineorders

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
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
	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

const (
	// DefaultEvery is the default interval between rounds while all engines
	// match the plan.
	DefaultEvery = 5 * time.Second
	// convergeEvery is the interval between rounds while an engine deviates from
	// the plan. It is shorter than the part of a pull slot in which a pull may
	// start.
	convergeEvery = 400 * time.Millisecond
	// callTimeout is the timeout of one HTTP request to an engine. It is
	// shorter than placement.MaxObservationAge, the age beyond which the plan
	// ignores an observation.
	callTimeout = 800 * time.Millisecond
	// maxConcurrentReads is the maximum number of engines that are read at the
	// same time.
	maxConcurrentReads = 32
	// maxResponseBytes is the maximum size of a response body that is read.
	maxResponseBytes = 64 << 10
	// maxResponseHeaderBytes is the maximum size of the head of a response.
	maxResponseHeaderBytes = 64 << 10
	ordersPath             = "/orders"
)

// Options configures an Issuer. Snapshot must be set.
type Options struct {
	Snapshot func() *snapshot.Snapshot
	// Every is the interval between rounds while all engines match the plan;
	// zero means DefaultEvery.
	Every time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives a line for each order; nil means the standard logger of
	// logrus.
	Log logrus.FieldLogger
}

// Issuer sends placement orders to engines. It is not safe for concurrent use.
type Issuer struct {
	opts   Options
	client *http.Client

	// plan is computed for vms, and computed again when vms or the revision of
	// the placement changes.
	plan *placement.Plan
	vms  []platform.VM
}

// New returns an Issuer.
func New(opts Options) *Issuer {
	opts.Every = cmp.Or(opts.Every, DefaultEvery)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	transport := &http.Transport{MaxResponseHeaderBytes: maxResponseHeaderBytes}
	return &Issuer{opts: opts, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// Run calls Round periodically until ctx is cancelled.
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
				next = convergeEvery
			}
			timer.Reset(next)
		}
	}
}

// Round reads the engines that are assigned to this daemon. Only if one of them
// deviates from the plan, it reads all engines of the region, computes the orders
// that are due and sends those for the assigned engines. It reports whether an
// assigned engine deviated.
func (i *Issuer) Round(ctx context.Context) bool {
	view := i.opts.Snapshot()
	if view.Config == nil || len(view.Config.Placement) == 0 || view.Paused || view.Draining {
		return false
	}
	vms := endpointVMs(view)
	plan := i.planFor(view.Config, vms)
	vms = slices.DeleteFunc(vms, func(vm platform.VM) bool { return vm.Region != view.Self.Region })
	assigned := slices.DeleteFunc(slices.Clone(vms), func(vm platform.VM) bool { return !isPrimary(view, vm.Endpoint) })
	if !deviates(plan, i.observe(ctx, plan, assigned)) {
		return false
	}
	observed := i.observe(ctx, plan, vms)
	for _, order := range plan.Orders(observed, i.opts.Now()) {
		if isPrimary(view, order.Endpoint) {
			i.sendOrder(ctx, order, addressOf(vms, order.Endpoint))
		}
	}
	return true
}

// planFor returns the plan for a configuration and a list of endpoint VMs. It
// reuses the last plan if neither has changed.
func (i *Issuer) planFor(config *published.Configuration, vms []platform.VM) *placement.Plan {
	if i.plan == nil || i.plan.Revision != config.FencingNumber() || !slices.Equal(i.vms, vms) {
		i.vms = slices.Clone(vms)
		i.plan = placement.NewPlan(config, vms)
	}
	return i.plan
}

// endpointVMs returns the endpoints of all regions in the form of the platform's VM
// list. All regions are included because the slots for pulling from the weight
// store are shared by the whole fleet.
func endpointVMs(view *snapshot.Snapshot) []platform.VM {
	var vms []platform.VM
	for _, endpoints := range view.Endpoints {
		for _, e := range endpoints {
			vms = append(vms, platform.VM{
				Role: platform.RoleEndpoint, Region: e.Region, DataCentre: e.DataCentre, Address: e.Address,
				Endpoint: e.ID, Service: e.Service, Version: e.Version, Slots: e.Slots,
				Leaving: e.State == snapshot.EndpointLeaving,
			})
		}
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return vms
}

// isPrimary reports whether this daemon sends the orders to the engine.
func isPrimary(view *snapshot.Snapshot, endpoint types.EndpointID) bool {
	daemons := []types.VMID{view.Self.Incarnation.VM}
	for _, member := range view.Members {
		if member.Region == view.Self.Region && member.State == snapshot.MemberAlive {
			daemons = append(daemons, member.Incarnation.VM)
		}
	}
	primary, found := placement.PrimaryDaemon(endpoint, daemons)
	return found && primary == view.Self.Incarnation.VM
}

func addressOf(vms []platform.VM, endpoint types.EndpointID) string {
	index := slices.IndexFunc(vms, func(vm platform.VM) bool { return vm.Endpoint == endpoint })
	return vms[index].Address
}

// deviates reports whether a planned engine has another assignment than the plan,
// or has not yet accepted an order of the plan's revision.
func deviates(plan *placement.Plan, observed map[types.EndpointID]placement.Observation) bool {
	for endpoint, observation := range observed {
		desired, planned := plan.Desired[endpoint]
		if planned && (observation.Assignment != desired || observation.Fencing < plan.Revision) {
			return true
		}
	}
	return false
}

// engineState is the state that an engine returns.
type engineState struct {
	placement.Assignment
	Fencing types.Revision `json:"fencing"`
}

// observe reads the state of those engines that the plan covers. It omits engines
// that can't be read, so the plan has no orders for them.
func (i *Issuer) observe(ctx context.Context, plan *placement.Plan, vms []platform.VM) map[types.EndpointID]placement.Observation {
	var mu sync.Mutex
	observed := make(map[types.EndpointID]placement.Observation)
	readers := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for _, vm := range vms {
		if _, planned := plan.Desired[vm.Endpoint]; !planned {
			continue
		}
		readers.Go(func() {
			var state engineState
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

// sendOrder sends one order. An engine rejects it if it has accepted a newer
// revision; the next round observes its state.
func (i *Issuer) sendOrder(ctx context.Context, order placement.Order, address string) {
	var state engineState
	err := i.call(ctx, http.MethodPost, address, &order, order.Fencing, &state)
	logger := i.opts.Log.WithFields(logrus.Fields{
		"endpoint": order.Endpoint, "model": order.Model, "version": order.Version,
		"fencing": uint64(order.Fencing), "reason": order.Reason,
	})
	if err != nil {
		logger.WithError(err).Warn("sending a placement order to an engine failed")
		return
	}
	logger.Info("placement order sent to an engine")
}

func (i *Issuer) call(ctx context.Context, method, address string, order *placement.Order, fencing types.Revision, into *engineState) error {
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
		return eris.Wrap(err, "build request to engine")
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
		return eris.Errorf("engine returned status %d", resp.StatusCode)
	}
	return eris.Wrap(wholebody.DecodeJSON(resp.Body, maxResponseBytes, into), "decode engine state")
}
