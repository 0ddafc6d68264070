package spill

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// minRampShare is the share of its room that a region is sent at first when it
// comes back.
const minRampShare = 0.1

// observe notes which regions were heard of again after a silence.
func (p *Planner) observe(view *snapshot.Snapshot) {
	for name, summary := range view.Regions {
		state := p.region(name)
		if !summary.ReceivedAt.After(state.receivedAt) {
			continue
		}
		if !state.receivedAt.IsZero() && summary.ReceivedAt.Sub(state.receivedAt) > p.options.MaxSummaryAge {
			state.backAt = summary.ReceivedAt
		}
		state.receivedAt = summary.ReceivedAt
	}
}

// freshSummary returns what a region last told of itself unless that is too old.
func (p *Planner) freshSummary(in Input, region types.Region) (*snapshot.RegionSummary, bool) {
	summary := in.Snapshot.Regions[region]
	if summary == nil || in.Now.Sub(summary.ReceivedAt) > p.options.MaxSummaryAge {
		return nil, false
	}
	return summary, true
}

func serviceSummary(summary *snapshot.RegionSummary, req *request.Request) (snapshot.ServiceSummary, bool) {
	for _, service := range summary.Services {
		if service.Service == req.Service.Name && service.Rank == req.Rank {
			return service, true
		}
	}
	return snapshot.ServiceSummary{}, false
}

// quota returns how many requests this daemon may send to a region before its
// next summary: its part of the free slots, since the other daemons here have
// read the same summary.
func (p *Planner) quota(in Input, summary *snapshot.RegionSummary, service snapshot.ServiceSummary) int {
	state := p.flowOf(in.Request, summary.Region)
	if !state.summaryAt.Equal(summary.ReceivedAt) {
		state.summaryAt, state.sent = summary.ReceivedAt, 0
	}
	entries := entriesHere(in.Snapshot)
	room := float64(service.FreeSlots) * p.rampShare(summary.Region, in.Now) / float64(entries)
	whole := int(room)
	// The daemons take turns with the fraction of their parts; all of them
	// together round up.
	turn := (int(summary.TakenAt.UnixMilli()/turnLength.Milliseconds()) + place(in.Snapshot)) % entries
	if float64(turn) < (room-float64(whole))*float64(entries) {
		whole++
	}
	return whole
}

// turnLength is how long a daemon's turn at a shared slot lasts.
const turnLength = time.Second

// rampShare grows from 0.1 to 1 after a region has come back.
func (p *Planner) rampShare(region types.Region, now time.Time) float64 {
	state := p.region(region)
	if state.backAt.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(state.backAt))/float64(p.options.SlowStartDuration), minRampShare), 1)
}

// linkRate returns the bytes per second of a link that this daemon may use.
func linkRate(view *snapshot.Snapshot, link published.Link) float64 {
	share := view.Config.Policy.LinkShare * float64(link.BitsPerSecond) / bitsPerByte
	return max(share/float64(entriesHere(view)), 1)
}

// entriesHere counts the daemons of this region, this one included.
func entriesHere(view *snapshot.Snapshot) int {
	count := 1
	for _, member := range view.Members {
		if sharesLink(view, member) {
			count++
		}
	}
	return count
}

// place returns the number of daemons of this region that come before this one.
func place(view *snapshot.Snapshot) int {
	before := 0
	for _, member := range view.Members {
		if sharesLink(view, member) && member.Incarnation.VM < view.Self.Incarnation.VM {
			before++
		}
	}
	return before
}

// sharesLink reports whether a member may be using this region's links. One
// that is silent counts, since it may be cut off from this daemon only.
func sharesLink(view *snapshot.Snapshot, member snapshot.Member) bool {
	return member.Region == view.Self.Region && member.Incarnation.VM != view.Self.Incarnation.VM
}

func (p *Planner) flowOf(req *request.Request, region types.Region) *flowState {
	key := flow{req.Service.Name, req.Rank, region}
	state := p.flows[key]
	if state == nil {
		state = &flowState{}
		p.flows[key] = state
	}
	return state
}

func (p *Planner) region(name types.Region) *regionState {
	state := p.regions[name]
	if state == nil {
		state = &regionState{}
		p.regions[name] = state
	}
	return state
}
