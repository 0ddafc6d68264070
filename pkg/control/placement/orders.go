package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// OrderKind is the action that an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad: load a version, or confirm it if it is loaded already.
	OrderLoad OrderKind = "load"
)

// Order is a desired state sent to one engine. It is idempotent.
type Order struct {
	Endpoint types.EndpointID   `json:"-"`
	Kind     OrderKind          `json:"kind"`
	Model    types.ServiceName  `json:"model"`
	Version  types.ModelVersion `json:"version"`
	// Fencing is the fencing number, sent as a header.
	Fencing types.Revision `json:"-"`
	// Reason is a short explanation of the order, for the log.
	Reason string `json:"-"`
}

// Observation is the state that an engine reports.
type Observation struct {
	Assignment Assignment
	// Fencing is the fencing number of the last order that the engine accepted.
	Fencing types.Revision
	// Ready is true when the engine serves requests with the assignment.
	Ready bool
	// ObservedAt is when the state was read. Plan.Orders ignores observations
	// older than MaxObservationAge.
	ObservedAt time.Time
}

// MaxObservationAge is the greatest age of an observation on which an order is
// based. It is shorter than the time between the starts of two slots, so that
// the effect of an order is observed before the order of the next slot is sent.
const MaxObservationAge = time.Second

// Orders returns the orders that are due now, sorted by endpoint. Engines
// without a recent observation get none, since what they serve is unknown. An
// engine that has accepted a newer revision gets none either, since this
// daemon's configuration is out of date.
func (p *Plan) Orders(observed map[types.EndpointID]Observation, now time.Time) []Order {
	observed = recentObservations(observed, now)
	readyCounts := p.readyCounts(observed)
	var orders []Order
	for _, endpoint := range slices.Sorted(maps.Keys(p.Desired)) {
		observation, ok := observed[endpoint]
		if !ok || observation.Fencing > p.Revision {
			continue
		}
		order, due := p.orderFor(endpoint, observed, now)
		if !due {
			continue
		}
		if observation.Assignment != p.Desired[endpoint] && observation.Ready {
			if p.isLast(observation.Assignment, readyCounts) {
				continue
			}
			readyCounts[observation.Assignment]--
		}
		orders = append(orders, order)
	}
	return orders
}

// recentObservations returns the observations not older than MaxObservationAge.
func recentObservations(observed map[types.EndpointID]Observation, now time.Time) map[types.EndpointID]Observation {
	fresh := make(map[types.EndpointID]Observation, len(observed))
	for endpoint, observation := range observed {
		if now.Sub(observation.ObservedAt) <= MaxObservationAge {
			fresh[endpoint] = observation
		}
	}
	return fresh
}

// orderFor returns the order for an engine, and whether one is due now.
func (p *Plan) orderFor(endpoint types.EndpointID, observed map[types.EndpointID]Observation, now time.Time) (Order, bool) {
	observation, desired := observed[endpoint], p.Desired[endpoint]
	order := Order{
		Endpoint: endpoint, Kind: OrderLoad, Fencing: p.Revision,
		Model: desired.Model, Version: desired.Version,
	}
	switch {
	case observation.Assignment != desired && p.mayStart(endpoint, observed, now):
		order.Reason = "holds another version than is wanted"
		return order, true
	case observation.Assignment == desired && observation.Fencing < p.Revision:
		order.Reason = "raises the fencing number"
		return order, true
	}
	return Order{}, false
}

// readyCounts counts the observed engines that are ready and not leaving, by
// assignment and over all regions.
func (p *Plan) readyCounts(observed map[types.EndpointID]Observation) map[Assignment]int {
	counts := make(map[Assignment]int)
	for endpoint, observation := range observed {
		worker, listed := p.workers[endpoint]
		if observation.Ready && listed && !worker.Leaving {
			counts[observation.Assignment]++
		}
	}
	return counts
}

// isLast reports whether changing one engine would leave a desired version, or a
// version whose replacement is not ready, without a ready engine.
func (p *Plan) isLast(assignment Assignment, readyCounts map[Assignment]int) bool {
	if readyCounts[assignment] > 1 {
		return false
	}
	if p.isDesired(assignment) {
		return true
	}
	// The last engine of an old version may change once a desired version of
	// the same model is ready on another engine.
	for other, count := range readyCounts {
		if other.Model == assignment.Model && other != assignment && count > 0 && p.isDesired(other) {
			return false
		}
	}
	return p.isModelDesired(assignment.Model)
}

func (p *Plan) isDesired(assignment Assignment) bool {
	for _, desired := range p.Desired {
		if desired == assignment {
			return true
		}
	}
	return false
}

func (p *Plan) isModelDesired(model types.ServiceName) bool {
	for _, desired := range p.Desired {
		if desired.Model == model {
			return true
		}
	}
	return false
}

// PrimaryDaemon returns the daemon that sends an engine its orders first, by
// rendezvous hashing over the live daemons; false when there are none. It only
// saves messages, since all daemons compute the same orders.
func PrimaryDaemon(endpoint types.EndpointID, daemons []types.VMID) (types.VMID, bool) {
	if len(daemons) == 0 {
		return "", false
	}
	return slices.MinFunc(daemons, func(a, b types.VMID) int {
		return cmp.Or(
			cmp.Compare(weight(endpoint, Assignment{Model: types.ServiceName(b)}), weight(endpoint, Assignment{Model: types.ServiceName(a)})),
			cmp.Compare(a, b),
		)
	}), true
}
