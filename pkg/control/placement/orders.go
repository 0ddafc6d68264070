package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// OrderKind is what an order tells an engine to do.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad: load a version, or confirm the one that is loaded.
	OrderLoad OrderKind = "load"
)

// Order is a desired state sent to one engine. Giving it again does no harm.
type Order struct {
	Endpoint types.EndpointID   `json:"-"`
	Kind     OrderKind          `json:"kind"`
	Model    types.ServiceName  `json:"model"`
	Version  types.ModelVersion `json:"version"`
	// Fencing is the fencing number, sent as a header.
	Fencing types.Revision `json:"-"`
	// Reason says in one phrase why the order is given.
	Reason string `json:"-"`
}

// Observation is what an engine reports of itself.
type Observation struct {
	Assignment Assignment
	// Fencing is the number of the last order that it accepted.
	Fencing types.Revision
	// Ready is true when it serves requests with the assignment.
	Ready bool
	// ObservedAt is when it was read; what is older than MaxObservationAge is not
	// acted on.
	ObservedAt time.Time
}

// MaxObservationAge is how old a reading may be when an order is based on it. It
// is shorter than the time between the starts of two turns, so that the effect
// of one turn's order is seen before the next one's.
const MaxObservationAge = time.Second

// Orders returns the orders that are due now, sorted by endpoint. Engines
// without an observation get none: nothing is known of what they serve. An
// engine that has accepted a newer revision gets none either, since this
// daemon's configuration is old.
func (p *Plan) Orders(observed map[types.EndpointID]Observation, now time.Time) []Order {
	observed = recent(observed, now)
	serving := p.serving(observed)
	var orders []Order
	for _, endpoint := range slices.Sorted(maps.Keys(p.Desired)) {
		seen, known := observed[endpoint]
		if !known || seen.Fencing > p.Revision {
			continue
		}
		order, due := p.orderFor(endpoint, observed, now)
		if !due {
			continue
		}
		if seen.Assignment != p.Desired[endpoint] && seen.Ready {
			if p.isLast(seen.Assignment, serving) {
				continue
			}
			serving[seen.Assignment]--
		}
		orders = append(orders, order)
	}
	return orders
}

// recent returns the readings that are new enough to act on.
func recent(observed map[types.EndpointID]Observation, now time.Time) map[types.EndpointID]Observation {
	found := make(map[types.EndpointID]Observation, len(observed))
	for endpoint, seen := range observed {
		if now.Sub(seen.ObservedAt) <= MaxObservationAge {
			found[endpoint] = seen
		}
	}
	return found
}

// orderFor returns the order that an engine needs, if one is due.
func (p *Plan) orderFor(endpoint types.EndpointID, observed map[types.EndpointID]Observation, now time.Time) (Order, bool) {
	seen, desired := observed[endpoint], p.Desired[endpoint]
	order := Order{
		Endpoint: endpoint, Kind: OrderLoad, Fencing: p.Revision,
		Model: desired.Model, Version: desired.Version,
	}
	switch {
	case seen.Assignment != desired && p.mayStart(endpoint, observed, now):
		order.Reason = "holds another version than is wanted"
		return order, true
	case seen.Assignment == desired && seen.Fencing < p.Revision:
		order.Reason = "raises the fencing number"
		return order, true
	}
	return Order{}, false
}

// serving counts the ready engines of each assignment, over all regions,
// of those that were read lately.
func (p *Plan) serving(observed map[types.EndpointID]Observation) map[Assignment]int {
	counts := make(map[Assignment]int)
	for endpoint, seen := range observed {
		worker, listed := p.workers[endpoint]
		if seen.Ready && listed && !worker.Leaving {
			counts[seen.Assignment]++
		}
	}
	return counts
}

// isLast reports whether taking one engine away would leave a wanted version,
// or a version whose replacement is not ready, without an engine.
func (p *Plan) isLast(assignment Assignment, serving map[Assignment]int) bool {
	if serving[assignment] > 1 {
		return false
	}
	if p.wanted(assignment) {
		return true
	}
	// The last engine of an old version goes once a wanted version of the
	// same model is served elsewhere.
	for other, count := range serving {
		if other.Model == assignment.Model && other != assignment && count > 0 && p.wanted(other) {
			return false
		}
	}
	return p.modelWanted(assignment.Model)
}

func (p *Plan) wanted(assignment Assignment) bool {
	for _, desired := range p.Desired {
		if desired == assignment {
			return true
		}
	}
	return false
}

func (p *Plan) modelWanted(model types.ServiceName) bool {
	for _, desired := range p.Desired {
		if desired.Model == model {
			return true
		}
	}
	return false
}

// PrimaryDaemon returns the daemon that gives an engine its orders first, by
// rendezvous hashing over the live daemons. It saves messages only: orders by
// several daemons are the same.
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
