// Package placement works out which model version each engine should hold and
// which orders bring it there.
//
// The desired placement is a function of the published configuration and the
// published list of workers alone, so that two daemons that act at once give
// the same orders. The fencing number of an order is the revision that last
// changed what the placement depends on, which only the publisher moves. Orders state what is desired, are
// compared with what the engine reports, and are given again until it agrees;
// an engine that ignores fencing numbers is put right that way.
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

// Plan is the desired placement of one revision and one list of workers.
type Plan struct {
	Revision types.Revision
	// Desired names what each engine should hold. Engines that no service
	// wants are left out and keep what they have.
	Desired map[types.EndpointID]Assignment
	// Unmet lists wishes that the region has too few engines for.
	Unmet []Unmet

	workers map[types.EndpointID]platform.VM
	order   []types.EndpointID // desired engines in the order of their turns
	pulls   []pull
	repair  pull
}

// Unmet is a wish that could not be met in full.
type Unmet struct {
	Region     types.Region `json:"region"`
	Assignment Assignment   `json:"assignment"`
	// Missing is the number of engines short.
	Missing int `json:"missing"`
}

// wish is a number of engines that should hold an assignment.
type wish struct {
	assignment Assignment
	replicas   int
}

// NewPlan works out the desired placement. An engine that holds a wanted
// version, by the published list, keeps it, so that few change; the others are
// taken in hash order.
func NewPlan(config *published.Configuration, workers []platform.VM) *Plan {
	plan := &Plan{
		Revision: config.Fencing(),
		Desired:  make(map[types.EndpointID]Assignment),
		workers:  make(map[types.EndpointID]platform.VM),
	}
	engines := engines(config, workers)
	for _, region := range slices.Sorted(maps.Keys(engines)) {
		for _, worker := range engines[region] {
			plan.workers[worker.Endpoint] = worker
		}
		plan.place(region, wishes(config, region), engines[region])
	}
	plan.schedule(config)
	return plan
}

// engines groups the model engines that stay by region.
func engines(config *published.Configuration, workers []platform.VM) map[types.Region][]platform.VM {
	found := make(map[types.Region][]platform.VM)
	for _, worker := range workers {
		service := config.Services[worker.Service]
		isEngine := worker.Role == platform.RoleEndpoint && service != nil && service.Kind == published.KindModel
		if isEngine && !worker.Leaving {
			found[worker.Region] = append(found[worker.Region], worker)
		}
	}
	return found
}

// wishes returns what is wanted in a region, sorted. Where a service may not
// send its data nothing is placed for it.
func wishes(config *published.Configuration, region types.Region) []wish {
	var found []wish
	for _, name := range slices.Sorted(maps.Keys(config.Placement)) {
		service := config.Services[name]
		if service == nil || !service.Allows(region) {
			continue
		}
		versions := config.Placement[name].Replicas[region]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			if versions[version] > 0 {
				found = append(found, wish{Assignment{name, version}, versions[version]})
			}
		}
	}
	return found
}

// place meets a region's wishes, first with the engines that need no change.
// Wishes that can't all be met each get one engine before any gets a second.
func (p *Plan) place(region types.Region, wishes []wish, workers []platform.VM) {
	free := make(map[types.EndpointID]platform.VM, len(workers))
	for _, worker := range workers {
		free[worker.Endpoint] = worker
	}
	given := make([]int, len(wishes))
	ranked := make([][]platform.VM, len(wishes))
	for i, wish := range wishes {
		ranked[i] = rank(workers, wish.assignment, wishes)
	}
	for round := 1; ; round++ {
		wanted := false
		for i, wish := range wishes {
			if given[i] >= round || wish.replicas < round {
				continue
			}
			wanted = true
			ranked[i] = p.give(wish.assignment, ranked[i], free)
			if len(ranked[i]) > 0 {
				given[i]++
			}
		}
		if !wanted || len(free) == 0 {
			break
		}
	}
	for i, wish := range wishes {
		if missing := wish.replicas - given[i]; missing > 0 {
			p.Unmet = append(p.Unmet, Unmet{region, wish.assignment, missing})
		}
	}
}

// rank sorts the engines by how well they suit an assignment, best first.
func rank(workers []platform.VM, assignment Assignment, wishes []wish) []platform.VM {
	return slices.SortedFunc(slices.Values(workers), func(a, b platform.VM) int {
		return cmp.Or(
			cmp.Compare(effort(a, assignment, wishes), effort(b, assignment, wishes)),
			cmp.Compare(weight(b.Endpoint, assignment), weight(a.Endpoint, assignment)),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
}

// give assigns the first engine of the ranking that is free. It returns the
// ranking from that engine on; empty when none was free.
func (p *Plan) give(assignment Assignment, ranked []platform.VM, free map[types.EndpointID]platform.VM) []platform.VM {
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

// The efforts of giving an assignment to an engine, least first.
const (
	effortNone    = iota // it is published as holding it
	effortPull           // it holds something that nobody wants
	effortReplace        // it holds something that another wish could use
)

func effort(worker platform.VM, assignment Assignment, wishes []wish) int {
	holds := listed(worker)
	if holds == assignment {
		return effortNone
	}
	for _, wish := range wishes {
		if wish.assignment == holds {
			return effortReplace
		}
	}
	return effortPull
}

// listed returns what the published list says that a worker holds.
func listed(worker platform.VM) Assignment {
	return Assignment{worker.Service, worker.Version}
}

// weight is the rendezvous weight of an engine for an assignment.
func weight(endpoint types.EndpointID, assignment Assignment) uint64 {
	return xxhash.Sum64String(string(endpoint) + "\x00" + string(assignment.Model) + "\x00" + string(assignment.Version))
}
