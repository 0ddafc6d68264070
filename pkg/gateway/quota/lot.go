package quota

import (
	"cmp"
	"slices"
	"time"
)

// Lot is units that have left the stock of the daemon that minted them.
type Lot struct {
	Units float64
	// Expires is when the units can no longer be used.
	Expires time.Time
}

// Gift is units that one daemon gives to another.
type Gift struct {
	Units float64 `json:"u"`
	// Life is how long the units can be used, from the moment at which they were asked
	// for on.
	Life time.Duration `json:"l"`
}

// mergeWithin is the difference of expiry up to which lots are merged.
const mergeWithin = 20 * time.Millisecond

// loose holds lots in the order of their expiry.
type loose []Lot

// add adds a lot. Lots that expire at nearly the same time become one, with the earlier
// expiry, so that the number of lots is bounded by the life of units.
func (l *loose) add(lot Lot) {
	index, _ := slices.BinarySearchFunc(*l, lot, func(a, b Lot) int { return cmp.Compare(a.Expires.Sub(b.Expires), 0) })
	if index > 0 && lot.Expires.Sub((*l)[index-1].Expires) <= mergeWithin {
		(*l)[index-1].Units += lot.Units
		return
	}
	*l = slices.Insert(*l, index, lot)
}

// expire removes the lots that can no longer be used.
func (l *loose) expire(now time.Time) {
	*l = slices.DeleteFunc(*l, func(lot Lot) bool { return !lot.Expires.After(now) })
}

// units returns the sum of the lots.
func (l *loose) units() float64 {
	sum := 0.0
	for _, lot := range *l {
		sum += lot.Units
	}
	return sum
}

// take removes up to the units, those that expire first, and returns them.
func (l *loose) take(units float64) []Lot {
	var taken []Lot
	for units > 0 && len(*l) > 0 {
		first := &(*l)[0]
		part := min(units, first.Units)
		taken = append(taken, Lot{Units: part, Expires: first.Expires})
		first.Units -= part
		units -= part
		if first.Units <= 0 {
			*l = (*l)[1:]
		}
	}
	return taken
}

// cut keeps a part of all lots, until a time at the latest.
func (l *loose) cut(part float64, latest time.Time) {
	for index, lot := range *l {
		(*l)[index] = Lot{Units: lot.Units * part, Expires: earlier(lot.Expires, latest)}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
