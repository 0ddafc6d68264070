package fakenet

import (
	"fmt"
	"math"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Layout spreads so many daemons over regions and data centres. The largest
// region has ten times the daemons of the smallest one where there are enough.
func Layout(daemons, regions, dataCentres int) []Place {
	weights := make([]float64, regions)
	total := 0.0
	for i := range weights {
		weights[i] = 1
		if regions > 1 {
			weights[i] = math.Pow(10, float64(i)/float64(regions-1))
		}
		total += weights[i]
	}
	var places []Place
	left, leftDCs := daemons, dataCentres
	for i, weight := range weights {
		after := regions - i - 1
		size := min(max(1, int(math.Round(float64(daemons)*weight/total))), left-after)
		dcs := min(max(1, int(math.Round(float64(dataCentres)*math.Sqrt(weight)/rootSum(weights)))), leftDCs-after, size)
		if after == 0 {
			size, dcs = left, min(leftDCs, left)
		}
		left, leftDCs = left-size, leftDCs-dcs
		places = append(places, regionPlaces(i, size, dcs)...)
	}
	return places
}

func rootSum(weights []float64) float64 {
	sum := 0.0
	for _, w := range weights {
		sum += math.Sqrt(w)
	}
	return sum
}

func regionPlaces(region, size, dcs int) []Place {
	places := make([]Place, size)
	for j := range places {
		dc := j % dcs
		places[j] = Place{
			VM:         types.VMID(fmt.Sprintf("10.%d.%d.%d:7000", region+1, dc, j+1)),
			Address:    fmt.Sprintf("10.%d.%d.%d:80", region+1, dc, j+1),
			Region:     types.Region(fmt.Sprintf("region-%02d", region)),
			DataCentre: types.DataCentre(fmt.Sprintf("dc-%02d-%d", region, dc)),
		}
	}
	return places
}

// StandardLayout returns the layout of one of the measured sizes: three regions
// with a data centre each up to 24 daemons, and 17 regions with 43 data centres
// from 360 on.
func StandardLayout(daemons int) []Place {
	switch {
	case daemons <= 24:
		return evenLayout(daemons)
	case daemons < 360:
		return Layout(daemons, 7, 14)
	default:
		return Layout(daemons, 17, 43)
	}
}

func evenLayout(daemons int) []Place {
	var places []Place
	for region := range 3 {
		size := daemons / 3
		if region < daemons%3 {
			size++
		}
		places = append(places, regionPlaces(region, size, 1)...)
	}
	return places
}
