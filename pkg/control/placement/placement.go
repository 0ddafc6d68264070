// Package placement computes which model version each engine should hold and
// which orders to send so that it does.
//
// The desired placement depends only on the published configuration and the
// published list of workers, so two daemons that act at the same time send the
// same orders. The fencing number of an order is the revision that last changed
// what the placement depends on; only the publisher advances it. An order
// states the desired assignment. It is compared with what the engine reports
// and sent again until the engine reports that assignment, which also corrects
// engines that ignore fencing numbers.
package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Assignment is what an engine holds or should hold.
type Assignment struct {
	Model   types.ServiceName  `json:"model"`
	Version types.ModelVersion `json:"version"`
}

// Plan is the desired placement for one revision and one list of workers.
type Plan struct {
	Revision types.Revision
	// Desired maps each engine to the assignment that it should hold. Engines
	// that no service needs are left out and keep what they hold.
	Desired map[types.EndpointID]Assignment
	// Unmet lists the demands for which a region has too few engines.
	Unmet []Unmet

	workers    map[types.EndpointID]platform.VM
	slotOrder  []types.EndpointID // engines in Desired, in the order of their slots
	pullSlots  []slot
	repairSlot slot
}

// Unmet is a demand that could not be met in full.
type Unmet struct {
	Region     types.Region `json:"region"`
	Assignment Assignment   `json:"assignment"`
	// Missing is the number of engines that are missing.
	Missing int `json:"missing"`
}

// demand is the number of engines in a region that should hold an assignment.
type demand struct {
	assignment Assignment
	replicas   int
}

// NewPlan computes the desired placement. An engine that holds a demanded
// version according to the published list keeps it where possible, so that few
// engines change. Other engines are chosen in rendezvous hash order.
func NewPlan(config *published.Configuration, workers []platform.VM) *Plan {
	plan := &Plan{
		Revision: config.FencingNumber(),
		Desired:  make(map[types.EndpointID]Assignment),
		workers:  make(map[types.EndpointID]platform.VM),
	}
	engines := engines(config, workers)
	for _, region := range slices.Sorted(maps.Keys(engines)) {
		for _, worker := range engines[region] {
			plan.workers[worker.Endpoint] = worker
		}
		plan.place(region, demandsIn(config, region), engines[region])
	}
	plan.schedule(config)
	return plan
}

// engines groups the model engines by region and omits those that are leaving.
func engines(config *published.Configuration, workers []platform.VM) map[types.Region][]platform.VM {
	byRegion := make(map[types.Region][]platform.VM)
	for _, worker := range workers {
		service := config.Services[worker.Service]
		isEngine := worker.Role == platform.RoleEndpoint && service != nil && service.Kind == published.KindModel
		if isEngine && !worker.Leaving {
			byRegion[worker.Region] = append(byRegion[worker.Region], worker)
		}
	}
	return byRegion
}

// demandsIn returns the demands in a region, sorted by service and version. A
// service has no demand in a region to which it may not send its data.
func demandsIn(config *published.Configuration, region types.Region) []demand {
	var demands []demand
	for _, name := range slices.Sorted(maps.Keys(config.Placement)) {
		service := config.Services[name]
		if service == nil || !service.Allows(region) {
			continue
		}
		versions := config.Placement[name].Replicas[region]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			if versions[version] > 0 {
				demands = append(demands, demand{Assignment{name, version}, versions[version]})
			}
		}
	}
	return demands
}

// place assigns engines to a region's demands and prefers engines that need no
// change. When there are too few engines, each demand gets one before any gets
// a second.
func (p *Plan) place(region types.Region, demands []demand, workers []platform.VM) {
	free := make(map[types.EndpointID]platform.VM, len(workers))
	for _, worker := range workers {
		free[worker.Endpoint] = worker
	}
	assigned := make([]int, len(demands))
	ranked := make([][]platform.VM, len(demands))
	for i, demand := range demands {
		ranked[i] = rank(workers, demand.assignment, demands)
	}
	for round := 1; ; round++ {
		unmet := false
		for i, demand := range demands {
			if assigned[i] >= round || demand.replicas < round {
				continue
			}
			unmet = true
			ranked[i] = p.assignFirstFree(demand.assignment, ranked[i], free)
			if len(ranked[i]) > 0 {
				assigned[i]++
			}
		}
		if !unmet || len(free) == 0 {
			break
		}
	}
	for i, demand := range demands {
		if missing := demand.replicas - assigned[i]; missing > 0 {
			p.Unmet = append(p.Unmet, Unmet{region, demand.assignment, missing})
		}
	}
}

// rank sorts the engines by the cost of giving them an assignment, cheapest
// first, then by rendezvous weight.
func rank(workers []platform.VM, assignment Assignment, demands []demand) []platform.VM {
	return slices.SortedFunc(slices.Values(workers), func(a, b platform.VM) int {
		return cmp.Or(
			cmp.Compare(changeCost(a, assignment, demands), changeCost(b, assignment, demands)),
			cmp.Compare(weight(b.Endpoint, assignment), weight(a.Endpoint, assignment)),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
}

// assignFirstFree gives the assignment to the first free engine of the ranking.
// It returns the ranking from that engine on, or nil when no engine is free.
func (p *Plan) assignFirstFree(assignment Assignment, ranked []platform.VM, free map[types.EndpointID]platform.VM) []platform.VM {
	for len(ranked) > 0 {
		endpoint := ranked[0].Endpoint
		if _, isFree := free[endpoint]; isFree {
			delete(free, endpoint)
			p.Desired[endpoint] = assignment
			return ranked
		}
		ranked = ranked[1:]
	}
	return nil
}

// The costs of giving an assignment to an engine, lowest first.
const (
	costNone    = iota // the published list shows that the engine holds it
	costPull           // the engine holds an assignment without demand
	costReplace        // the engine holds an assignment that another demand asks for
)

func changeCost(worker platform.VM, assignment Assignment, demands []demand) int {
	current := publishedAssignment(worker)
	if current == assignment {
		return costNone
	}
	for _, demand := range demands {
		if demand.assignment == current {
			return costReplace
		}
	}
	return costPull
}

// publishedAssignment returns the assignment that the published list shows for a
// worker.
func publishedAssignment(worker platform.VM) Assignment {
	return Assignment{worker.Service, worker.Version}
}

// weight is the rendezvous weight of an engine for an assignment.
func weight(endpoint types.EndpointID, assignment Assignment) uint64 {
	return xxhash.Sum64String(string(endpoint) + "\x00" + string(assignment.Model) + "\x00" + string(assignment.Version))
}
