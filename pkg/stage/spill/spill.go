// Package spill decides whether a request spills over to another region because
// its response would start sooner there. It compares the predicted wait in the
// local region with the other region's wait plus the round trip, the transfer
// over the shared link and a prefill without a warm prefix cache.
//
// A request that another daemon forwarded is not forwarded again, no request is
// sent to a region that its service does not list, and a request of an
// organisation with a home region runs only there.
package spill

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Input holds what a decision depends on, apart from the planner's own state.
type Input struct {
	Request  *request.Request
	Snapshot *snapshot.Snapshot
	// LocalWait is the predicted wait of the request in this region.
	LocalWait time.Duration
	// Expected is the usual duration of the request once it has started; zero
	// if unknown.
	Expected time.Duration
	// WarmTokens is the number of prompt tokens that a prefix cache in this
	// region holds.
	WarmTokens int
	// Bytes is the size of the request on the link; zero means the size of its
	// body.
	Bytes int
	// NoLocalEndpoint is true when no endpoint of this region can run the
	// request; LocalWait is ignored then.
	NoLocalEndpoint bool
	Now             time.Time
}

// requestBytes returns the size of the request on the link, without its
// response.
func (in Input) requestBytes() int {
	return cmp.Or(in.Bytes, len(in.Request.Body))
}

// Decision says where the request runs.
type Decision struct {
	// Region is the region to forward to; empty means that the request stays in
	// the local region.
	Region types.Region
	// Reason is a short explanation of the decision.
	Reason string
	// Gain is the predicted time saved by forwarding the request.
	Gain time.Duration
}

func keepLocal(reason string) Decision {
	return Decision{Reason: reason}
}

// flow is the traffic of one service and rank to one region.
type flow struct {
	service types.ServiceName
	rank    types.Rank
	region  types.Region
}

// flowState is the planner's state of a flow.
type flowState struct {
	spilling bool
	// quotaSummaryAt is the arrival time of the summary against whose quota
	// sent counts.
	quotaSummaryAt time.Time
	sent           int
}

// regionState is the planner's state of a region.
type regionState struct {
	// receivedAt is the arrival time of the newest summary.
	receivedAt time.Time
	// recoveredAt is when summaries resumed after a gap longer than
	// MaxSummaryAge; zero if there was none.
	recoveredAt time.Time
	budget      linkBudget
}

// Planner makes the spillover decisions of one daemon. It is safe for
// concurrent use.
type Planner struct {
	options Options

	mu      sync.Mutex
	flows   map[flow]*flowState
	regions map[types.Region]*regionState
}

// New returns a planner that has forwarded nothing yet.
func New(options Options) *Planner {
	return &Planner{
		options: options.withDefaults(),
		flows:   make(map[flow]*flowState),
		regions: make(map[types.Region]*regionState),
	}
}

// Decide returns where the request runs; its failures have the verdict NotRun.
// When it decides to forward the request, it charges the bytes to the link's
// budget.
func (p *Planner) Decide(in Input) (Decision, *types.Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trackRegions(in.Snapshot)
	self := in.Snapshot.Self.Region
	if home := homeRegion(in.Request); home != "" && home != self {
		return p.forwardHome(in, home)
	}
	if reason := p.keepLocalReason(in); reason != "" {
		return keepLocal(reason), nil
	}
	best, found := p.best(in)
	if !found {
		return keepLocal("no other region is sure to be sooner"), nil
	}
	if !best.worthwhile {
		return Decision{Reason: "the gain is too small", Gain: best.gain}, nil
	}
	p.recordSend(in, best)
	return Decision{Region: best.region, Reason: "sooner in the other region", Gain: best.gain}, nil
}

// homeRegion returns the region that the request's organisation is bound to;
// empty if none.
func homeRegion(req *request.Request) types.Region {
	if req.Org == nil {
		return ""
	}
	return req.Org.Home
}

// forwardHome forwards a request to its organisation's home region. It is sent
// even if the link's budget is spent, but is charged to the budget, so that
// fewer requests spill over.
func (p *Planner) forwardHome(in Input, home types.Region) (Decision, *types.Failure) {
	if !in.Request.Service.Allows(home) {
		return Decision{}, types.NewFailure(types.NotRun, types.CodeResidency,
			"the service may not use the organisation's home region")
	}
	if len(in.Request.Path) > 0 {
		return Decision{}, types.NewFailure(types.NotRun, types.CodeLoop,
			"the request was forwarded to a region that is not its organisation's home")
	}
	if _, fresh := p.freshSummary(in, home); !fresh {
		return Decision{}, types.NewFailure(types.NotRun, types.CodeResidency,
			"the organisation's home region is out of reach from here")
	}
	p.region(home).budget.bytes -= p.estimateLinkBytes(in)
	return Decision{Region: home, Reason: "the organisation is bound to its home region"}, nil
}

// keepLocalReason returns why the request must or can stay in this region;
// empty if it may spill over.
func (p *Planner) keepLocalReason(in Input) string {
	switch {
	case len(in.Request.Path) > 0:
		return "it was forwarded already"
	case homeRegion(in.Request) != "":
		return "the organisation is bound to this region"
	case !in.Request.Repeatable:
		return "it may run at most once and its owner is here"
	case in.Snapshot.Config == nil:
		return "no configuration is in force"
	case in.LocalWait <= 0 && !in.NoLocalEndpoint:
		p.stopSpilling(in.Request)
		return "there is room here"
	}
	return ""
}

// stopSpilling marks the flows of a request to all regions as no longer
// spilling over.
func (p *Planner) stopSpilling(req *request.Request) {
	for _, region := range req.Service.Regions {
		if state := p.flows[flow{req.Service.Name, req.Rank, region}]; state != nil {
			state.spilling = false
		}
	}
}

// target is a region that the request could be forwarded to.
type target struct {
	region     types.Region
	gain       time.Duration
	worthwhile bool
	bytes      float64
	// remaining is how many more requests this daemon may send to the region
	// before its next summary.
	remaining int
}

// similarGain is the difference between two gains below which the predictions
// cannot tell them apart.
const similarGain = 100 * time.Millisecond

// betterThan prefers a worthwhile target, then the larger gain or, if the gains are
// similar, the larger remaining quota.
func (o target) betterThan(other target) bool {
	if o.worthwhile != other.worthwhile {
		return o.worthwhile
	}
	if (o.gain - other.gain).Abs() > similarGain {
		return o.gain > other.gain
	}
	return o.remaining > other.remaining
}

// best returns the best of the regions that can take the request.
func (p *Planner) best(in Input) (target, bool) {
	var best target
	found := false
	regions := slices.Sorted(slices.Values(in.Request.Service.Regions))
	for _, region := range regions {
		if region == in.Snapshot.Self.Region {
			continue
		}
		candidate, ok := p.evaluate(in, region)
		if ok && (!found || candidate.betterThan(best)) {
			best, found = candidate, true
		}
	}
	return best, found
}

// evaluate predicts the request's gain in a region; false if the region cannot
// take it.
func (p *Planner) evaluate(in Input, region types.Region) (target, bool) {
	summary, fresh := p.freshSummary(in, region)
	link, linked := linkBetween(in.Snapshot.Config.Links, in.Snapshot.Self.Region, region)
	if !fresh || !linked {
		return target{}, false
	}
	service, found := serviceSummary(summary, in.Request)
	if !found {
		return target{}, false
	}
	state := p.flowStateOf(in.Request, region)
	remaining := p.quota(in, summary, service)
	remaining -= state.sent
	if remaining <= 0 {
		return target{}, false
	}
	candidate := target{region: region, remaining: remaining}
	candidate.bytes = p.estimateLinkBytes(in)
	rate := linkRate(in.Snapshot, link)
	if !p.region(region).budget.allows(rate, candidate.bytes, in.Now) {
		return target{}, false
	}
	remoteDelay := p.predictRemoteDelay(in, summary, service, link)
	candidate.gain = in.LocalWait - remoteDelay
	if in.NoLocalEndpoint {
		candidate.gain = -remoteDelay
	}
	candidate.worthwhile = p.worthwhile(in, state, candidate.gain, remoteDelay)
	return candidate, true
}

// predictRemoteDelay predicts how long it takes until the response starts if
// the request is forwarded: the wait in the other region, the round trip, the
// transfer, and the prefill of the tokens that are cached here, since the other
// region's cache counts as cold.
func (p *Planner) predictRemoteDelay(in Input, summary *snapshot.RegionSummary, service snapshot.ServiceSummary, link published.Link) time.Duration {
	age := in.Now.Sub(summary.ReceivedAt)
	wait := service.Wait + time.Duration(p.options.AgeFactor*float64(age))
	roundTrip := 2 * link.OneWay
	transfer := seconds(float64(in.requestBytes()) * bitsPerByte / float64(link.BitsPerSecond))
	prefill := seconds(float64(min(in.WarmTokens, in.Request.InputTokens)) / p.options.PrefillTokensPerSecond)
	return wait + roundTrip + transfer + prefill
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// worthwhile compares the gain with the gain that the published weights
// require. A flow that is already spilling over continues until its gain falls
// below HysteresisFactor times that.
func (p *Planner) worthwhile(in Input, state *flowState, gain, remoteDelay time.Duration) bool {
	if in.NoLocalEndpoint {
		return in.Now.Add(remoteDelay).Before(in.Request.Deadline)
	}
	required := p.requiredGain(in)
	if p.remoteMeetsDeadline(in, remoteDelay) {
		required = 0
	}
	if state.spilling {
		required = time.Duration(float64(required) * p.options.HysteresisFactor)
	}
	state.spilling = gain > required
	return state.spilling
}

// requiredGain returns the time that the request must gain to spill over. For a
// patient request it is at least a share of the time left.
func (p *Planner) requiredGain(in Input) time.Duration {
	factor := minGainFactor(in.Snapshot.Config.Policy.Weights, in.Request.Rank)
	required := time.Duration(float64(p.options.MinGain) * factor)
	if in.Request.Rank == types.RankUrgent {
		return required
	}
	share := min(p.options.LocalWaitShare*factor, p.options.MaxLocalWaitShare)
	timeLeft := in.Request.Deadline.Sub(in.Now)
	return max(required, time.Duration(share*float64(timeLeft)))
}

// remoteMeetsDeadline reports whether an urgent request would probably be late
// in the local region but not in the other one.
func (p *Planner) remoteMeetsDeadline(in Input, remoteDelay time.Duration) bool {
	timeLeft := in.Request.Deadline.Sub(in.Now)
	lateLocally := in.LocalWait+in.Expected > time.Duration(p.options.LateShare*float64(timeLeft))
	return in.Request.Rank == types.RankUrgent && lateLocally && remoteDelay+in.Expected < timeLeft
}

// estimateLinkBytes estimates the bytes that a forwarded request and its
// response take on a link.
func (p *Planner) estimateLinkBytes(in Input) float64 {
	return float64(in.requestBytes() + in.Request.OutputTokens*p.options.OutputTokenBytes)
}

// recordSend counts a request that spills over and charges it to the link's
// budget.
func (p *Planner) recordSend(in Input, chosen target) {
	p.flowStateOf(in.Request, chosen.region).sent++
	p.region(chosen.region).budget.bytes -= chosen.bytes
}

// LinkBytes returns the bytes in the budgets of all links that this daemon has
// used, that is, what it may send to other regions.
func (p *Planner) LinkBytes() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum float64
	for _, state := range p.regions {
		sum += max(state.budget.bytes, 0)
	}
	return sum
}
