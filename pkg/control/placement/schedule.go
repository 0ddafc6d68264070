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
	// clockGuard is kept free at both ends of a slot, since clocks differ.
	clockGuard = time.Second
	// maxSlot bounds the length of a slot when a rate is very small.
	maxSlot = 24 * time.Hour
)

// pull is one engine's turn at the weight store within a cycle of all turns.
type pull struct {
	endpoint types.EndpointID
	// offset is where the turn starts in the cycle.
	offset time.Duration
	length time.Duration
}

// schedule gives every engine that the published list shows without its
// desired version a turn of its own at the weight store. The turns follow each
// other without overlap and the cycle repeats, so that a failed pull is tried
// again. All daemons compute the same turns and agree without a message. One
// more turn at the end of the cycle repairs engines that differ from what the
// published list shows of them.
func (p *Plan) schedule(config *published.Configuration) {
	endpoints := slices.SortedFunc(maps.Keys(p.Desired), func(a, b types.EndpointID) int {
		return cmp.Or(cmp.Compare(weight(a, Assignment{}), weight(b, Assignment{})), cmp.Compare(a, b))
	})
	p.order = endpoints
	var offset time.Duration
	for _, endpoint := range endpoints {
		worker, desired := p.workers[endpoint], p.Desired[endpoint]
		length := slotLength(config, worker.Region, config.Placement[desired.Model].WeightBytes)
		p.repair.length = max(p.repair.length, length)
		if listed(worker) == desired {
			continue
		}
		p.pulls = append(p.pulls, pull{endpoint, offset, length})
		offset += length
	}
	p.repair.offset = offset
}

// slotLength returns how long a region's engine pulls that many bytes at the
// rate that it may use, with the guard at both ends.
func slotLength(config *published.Configuration, region types.Region, bytes int64) time.Duration {
	rate := pullRate(config, region)
	if rate <= 0 {
		return maxSlot
	}
	pulling := min(float64(bytes)/rate, maxSlot.Seconds())
	return time.Duration(pulling*float64(time.Second)) + 2*clockGuard
}

// pullRate returns the bytes per second at which a region's engine may pull:
// the store's rate or, across a link, what requests leave of the link if that
// is less.
func pullRate(config *published.Configuration, region types.Region) float64 {
	rate := float64(config.Policy.WeightStoreBytesPerSecond)
	here := config.Regions[region]
	if here != nil && here.WeightStore {
		return rate
	}
	for _, link := range config.Links {
		other := link.To
		if link.To == region {
			other = link.From
		} else if link.From != region {
			continue
		}
		if far := config.Regions[other]; far != nil && far.WeightStore {
			left := (1 - config.Policy.LinkShare) * float64(link.BitsPerSecond) / bitsPerByte
			return min(rate, left)
		}
	}
	return 0
}

// cycle returns the length of all turns together; zero if there is none.
func (p *Plan) cycle() time.Duration {
	return p.repair.offset + p.repair.length
}

// PullSlot returns when an engine may pull weights: the first turn, guards left
// out, that contains now or comes next. An engine that the published list shows
// with its desired version shares the repair turn. It returns false for an
// engine that nobody wants.
func (p *Plan) PullSlot(endpoint types.EndpointID, now time.Time) (start, end time.Time, ok bool) {
	if _, desired := p.Desired[endpoint]; !desired {
		return time.Time{}, time.Time{}, false
	}
	turn := p.repair
	for _, own := range p.pulls {
		if own.endpoint == endpoint {
			turn = own
		}
	}
	cycle := p.cycle()
	begun := now.Truncate(cycle).Add(turn.offset)
	if !now.Before(begun.Add(turn.length)) {
		begun = begun.Add(cycle)
	}
	return begun.Add(clockGuard), begun.Add(turn.length - clockGuard), true
}

// mayStart reports whether an engine may begin to pull now. A pull begins only
// at the start of a turn, so that it ends inside. The repair turn goes to the
// first engine in hash order that needs it.
func (p *Plan) mayStart(endpoint types.EndpointID, observed map[types.EndpointID]Observation, now time.Time) bool {
	start, _, ok := p.PullSlot(endpoint, now)
	if !ok || now.Before(start) || !now.Before(start.Add(startWindow)) {
		return false
	}
	return listed(p.workers[endpoint]) != p.Desired[endpoint] || p.firstInRepair(observed) == endpoint
}

// firstInRepair returns the engine that the next repair turn belongs to.
func (p *Plan) firstInRepair(observed map[types.EndpointID]Observation) types.EndpointID {
	for _, endpoint := range p.order {
		seen, known := observed[endpoint]
		desired := p.Desired[endpoint]
		if known && seen.Assignment != desired && listed(p.workers[endpoint]) == desired {
			return endpoint
		}
	}
	return ""
}

// startWindow is the part of a turn in which a pull may begin. Together with
// the daemons' clock difference it fits into the guards.
const startWindow = clockGuard
