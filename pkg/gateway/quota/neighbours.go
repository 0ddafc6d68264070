package quota

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Daemon is a daemon with its place.
type Daemon struct {
	VM         types.VMID
	Region     types.Region
	DataCentre types.DataCentre
}

// Neighbours is whom a daemon asks for credit.
type Neighbours struct {
	Self types.VMID
	// Holder is the daemon of the own data centre that asks other data centres, and that
	// the others ask; it may be Self.
	Holder types.VMID
	// DataCentre lists the other daemons of the own data centre.
	DataCentre []types.VMID
	// Region lists the holders of the other data centres of the region, Others those of
	// other regions.
	Region, Others []types.VMID
}

// holderKey is the rendezvous key that chooses the holder of a data centre.
const holderKey = "quota"

// NeighboursOf returns the neighbours of a daemon among the other serving daemons.
func NeighboursOf(self Daemon, others []Daemon) Neighbours {
	type place struct {
		region types.Region
		dc     types.DataCentre
	}
	here := place{region: self.Region, dc: self.DataCentre}
	daemons := map[place][]types.VMID{here: {self.VM}}
	for _, other := range others {
		key := place{region: other.Region, dc: other.DataCentre}
		daemons[key] = append(daemons[key], other.VM)
	}
	neighbours := Neighbours{Self: self.VM, DataCentre: daemons[here][1:]}
	for key, vms := range daemons {
		holder := rendezvous.Top(holderKey, vms, 1)[0]
		switch {
		case key == here:
			neighbours.Holder = holder
		case key.region == self.Region:
			neighbours.Region = append(neighbours.Region, holder)
		default:
			neighbours.Others = append(neighbours.Others, holder)
		}
	}
	slices.SortFunc(neighbours.Region, cmp.Compare)
	slices.SortFunc(neighbours.Others, cmp.Compare)
	return neighbours
}

// Stage is daemons that are asked at the same time.
type Stage struct {
	To    []types.VMID
	Scope Scope
}

// Stages returns whom a daemon asks, one stage after the other until it has enough. One
// that is not the holder of its data centre asks only that, unless it asks for another
// daemon or the holder does not answer.
func (n Neighbours) Stages(asHolder bool) []Stage {
	if !asHolder && n.Holder != n.Self {
		return []Stage{{To: []types.VMID{n.Holder}, Scope: Fleet}}
	}
	return []Stage{
		{To: n.DataCentre, Scope: Spare},
		{To: n.Region, Scope: DataCentre},
		{To: n.Others, Scope: DataCentre},
	}
}

// Part returns what each daemon of a stage is asked for, so that the stage gives the need
// also if some of its daemons have little.
func (s Stage) Part(need float64) float64 {
	const margin = 2.0
	if len(s.To) <= 1 {
		return need
	}
	return min(need, margin*need/float64(len(s.To)))
}
