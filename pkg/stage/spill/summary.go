package spill

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// minSlowStartShare is the share of its quota that a region is sent at the
// beginning of its slow start.
const minSlowStartShare = 0.1

// trackRegions records the arrival of summaries and which regions sent one
// again after a gap.
func (p *Planner) trackRegions(view *snapshot.Snapshot) {
	for name, summary := range view.Regions {
		state := p.region(name)
		if !summary.ReceivedAt.After(state.receivedAt) {
			continue
		}
		if !state.receivedAt.IsZero() && summary.ReceivedAt.Sub(state.receivedAt) > p.options.MaxSummaryAge {
			state.recoveredAt = summary.ReceivedAt
		}
		state.receivedAt = summary.ReceivedAt
	}
}

// freshSummary returns the latest summary of a region unless it is too old.
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

// quota returns how many requests this daemon may send to a region before the
// region's next summary: its share of the free slots, since the other daemons
// of the local region see the same summary.
func (p *Planner) quota(in Input, summary *snapshot.RegionSummary, service snapshot.ServiceSummary) int {
	state := p.flowStateOf(in.Request, summary.Region)
	if !state.quotaSummaryAt.Equal(summary.ReceivedAt) {
		state.quotaSummaryAt, state.sent = summary.ReceivedAt, 0
	}
	daemons := localDaemonCount(in.Snapshot)
	share := float64(service.FreeSlots) * p.slowStartShare(summary.Region, in.Now) / float64(daemons)
	allowed := int(share)
	// The daemons take turns in rounding their shares up, so that the sum of
	// all quotas is the total rounded up.
	turn := (int(summary.TakenAt.UnixMilli()/turnLength.Milliseconds()) + localIndex(in.Snapshot)) % daemons
	if float64(turn) < (share-float64(allowed))*float64(daemons) {
		allowed++
	}
	return allowed
}

// turnLength is how long a daemon's turn to round up lasts.
const turnLength = time.Second

// slowStartShare returns the share of its quota that a region is sent: it grows
// linearly from minSlowStartShare (0.1) to 1 after the region's summaries
// resumed.
func (p *Planner) slowStartShare(region types.Region, now time.Time) float64 {
	state := p.region(region)
	if state.recoveredAt.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(state.recoveredAt))/float64(p.options.SlowStartDuration), minSlowStartShare), 1)
}

// linkRate returns this daemon's share of a link, in bytes per second.
func linkRate(view *snapshot.Snapshot, link published.Link) float64 {
	share := view.Config.Policy.LinkShare * float64(link.BitsPerSecond) / bitsPerByte
	return max(share/float64(localDaemonCount(view)), 1)
}

// localDaemonCount returns the number of daemons of this region, including this
// one.
func localDaemonCount(view *snapshot.Snapshot) int {
	count := 1
	for _, member := range view.Members {
		if sharesLink(view, member) {
			count++
		}
	}
	return count
}

// localIndex returns the position of this daemon among the daemons of its
// region, ordered by VM.
func localIndex(view *snapshot.Snapshot) int {
	index := 0
	for _, member := range view.Members {
		if sharesLink(view, member) && member.Incarnation.VM < view.Self.Incarnation.VM {
			index++
		}
	}
	return index
}

// sharesLink reports whether another member may be using this region's links. A
// member without recent heartbeats counts, since it may be cut off from this
// daemon only.
func sharesLink(view *snapshot.Snapshot, member snapshot.Member) bool {
	return member.Region == view.Self.Region && member.Incarnation.VM != view.Self.Incarnation.VM
}

func (p *Planner) flowStateOf(req *request.Request, region types.Region) *flowState {
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
