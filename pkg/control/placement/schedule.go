package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	bitsPerByte = 8
	// clockGuard is the idle time at both ends of a slot. It absorbs the clock
	// skew between daemons.
	clockGuard = time.Second
	// maxSlot limits the pull time in a slot when the rate is very low or zero.
	maxSlot = 24 * time.Hour
)

// slot is the time in which one engine may pull weights from the weight store,
// within a cycle that contains all slots.
type slot struct {
	endpoint types.EndpointID
	// offset is the start of the slot, relative to the start of the cycle.
	offset time.Duration
	length time.Duration
}

// schedule gives every engine that the published list shows without its desired
// version a slot of its own at the weight store. The slots follow each other
// without overlap, and the cycle repeats, so that a failed pull is retried. All
// daemons compute the same slots, so they agree without messages. One more slot
// at the end of the cycle, the repair slot, is for engines whose assignment
// differs from the one that the published list shows.
func (p *Plan) schedule(config *published.Configuration) {
	endpoints := slices.SortedFunc(maps.Keys(p.Desired), func(a, b types.EndpointID) int {
		return cmp.Or(cmp.Compare(weight(a, Assignment{}), weight(b, Assignment{})), cmp.Compare(a, b))
	})
	p.slotOrder = endpoints
	var offset time.Duration
	for _, endpoint := range endpoints {
		worker, desired := p.workers[endpoint], p.Desired[endpoint]
		length := slotLength(config, worker.Region, config.Placement[desired.Model].WeightBytes)
		p.repairSlot.length = max(p.repairSlot.length, length)
		if publishedAssignment(worker) == desired {
			continue
		}
		p.pullSlots = append(p.pullSlots, slot{endpoint, offset, length})
		offset += length
	}
	p.repairSlot.offset = offset
}

// slotLength returns the time that an engine in the region needs to pull that
// many bytes at its permitted rate, plus the guard at both ends.
func slotLength(config *published.Configuration, region types.Region, bytes int64) time.Duration {
	rate := pullRate(config, region)
	if rate <= 0 {
		return maxSlot
	}
	pullSeconds := min(float64(bytes)/rate, maxSlot.Seconds())
	return time.Duration(pullSeconds*float64(time.Second)) + 2*clockGuard
}

// pullRate returns the bytes per second at which an engine in the region may
// pull: the rate of the weight store or, across a link, the share of the link
// that is not reserved for requests if that is lower. It returns zero when the
// region neither has a weight store nor a link to one.
func pullRate(config *published.Configuration, region types.Region) float64 {
	rate := float64(config.Policy.WeightStoreBytesPerSecond)
	local := config.Regions[region]
	if local != nil && local.WeightStore {
		return rate
	}
	for _, link := range config.Links {
		peer := link.To
		if link.To == region {
			peer = link.From
		} else if link.From != region {
			continue
		}
		if remote := config.Regions[peer]; remote != nil && remote.WeightStore {
			available := (1 - config.Policy.LinkShare) * float64(link.BitsPerSecond) / bitsPerByte
			return min(rate, available)
		}
	}
	return 0
}

// cycleLength returns the length of all slots together; zero if there are none.
func (p *Plan) cycleLength() time.Duration {
	return p.repairSlot.offset + p.repairSlot.length
}

// PullSlot returns when an engine may pull weights: the slot that contains now,
// or else the next one, without its guards. Engines that the published list
// shows with their desired version share the repair slot. PullSlot returns false
// for an engine without a desired assignment.
func (p *Plan) PullSlot(endpoint types.EndpointID, now time.Time) (start, end time.Time, ok bool) {
	if _, desired := p.Desired[endpoint]; !desired {
		return time.Time{}, time.Time{}, false
	}
	selected := p.repairSlot
	for _, candidate := range p.pullSlots {
		if candidate.endpoint == endpoint {
			selected = candidate
		}
	}
	cycleLength := p.cycleLength()
	slotStart := now.Truncate(cycleLength).Add(selected.offset)
	if !now.Before(slotStart.Add(selected.length)) {
		slotStart = slotStart.Add(cycleLength)
	}
	return slotStart.Add(clockGuard), slotStart.Add(selected.length - clockGuard), true
}

// mayStart reports whether an engine may start to pull now. A pull starts only
// at the start of a slot, so that it ends within the slot. The repair slot goes
// to the first engine in hash order that needs it.
func (p *Plan) mayStart(endpoint types.EndpointID, observed map[types.EndpointID]Observation, now time.Time) bool {
	start, _, ok := p.PullSlot(endpoint, now)
	if !ok || now.Before(start) || !now.Before(start.Add(startWindow)) {
		return false
	}
	return publishedAssignment(p.workers[endpoint]) != p.Desired[endpoint] || p.nextToRepair(observed) == endpoint
}

// nextToRepair returns the engine to which the next repair slot belongs; empty
// when no engine needs it.
func (p *Plan) nextToRepair(observed map[types.EndpointID]Observation) types.EndpointID {
	for _, endpoint := range p.slotOrder {
		observation, ok := observed[endpoint]
		desired := p.Desired[endpoint]
		if ok && observation.Assignment != desired && publishedAssignment(p.workers[endpoint]) == desired {
			return endpoint
		}
	}
	return ""
}

// startWindow is the part of a slot in which a pull may start. Together with the
// clock skew between daemons it fits into the guards.
const startWindow = clockGuard
