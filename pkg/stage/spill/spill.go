// Package spill decides whether a request is sent to another region because it
// would be served sooner there. It compares the predicted wait here with the
// other region's wait, the round trip, the transfer over the shared link and a
// prefill without a warm cache.
//
// A request that another daemon forwarded is never sent on, data never goes to
// a region that its service does not list, and a request of an organisation
// with a home region runs there only.
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

// Input is what a decision depends on, the planner's own state aside.
type Input struct {
	Request  *request.Request
	Snapshot *snapshot.Snapshot
	// LocalWait is the predicted wait of the request in this region.
	LocalWait time.Duration
	// Expected is how long the request usually runs once it has started; zero
	// if unknown.
	Expected time.Duration
	// WarmTokens is the part of the prompt that a cache here holds.
	WarmTokens int
	// Bytes is the size of the request on the link; zero means its body's.
	Bytes int
	// NoLocalEndpoint is true when no endpoint of this region can run the request;
	// WaitHere means nothing then.
	NoLocalEndpoint bool
	Now             time.Time
}

// size is the number of bytes of the request itself.
func (in Input) size() int {
	return cmp.Or(in.Bytes, len(in.Request.Body))
}

// Decision says where the request goes.
type Decision struct {
	// Region is the region to forward to; empty means that it stays.
	Region types.Region
	// Reason says in one phrase why.
	Reason string
	// Gain is the time that the request is expected to win.
	Gain time.Duration
}

func stay(reason string) Decision {
	return Decision{Reason: reason}
}

// flow is the traffic of one service and rank to one region.
type flow struct {
	service types.ServiceName
	rank    types.Rank
	region  types.Region
}

// flowState is what the planner remembers of a flow.
type flowState struct {
	sending bool
	// summaryAt is the summary that sent counts against.
	summaryAt time.Time
	sent      int
}

// regionState is what the planner remembers of a region.
type regionState struct {
	// receivedAt is the newest summary's time of arrival.
	receivedAt time.Time
	// backAt is when summaries came again after a silence; zero if they never
	// stopped.
	backAt time.Time
	budget linkBudget
}

// Planner decides for one daemon. It is safe for concurrent use.
type Planner struct {
	options Options

	mu      sync.Mutex
	flows   map[flow]*flowState
	regions map[types.Region]*regionState
}

// New returns a planner that has sent nothing yet.
func New(options Options) *Planner {
	return &Planner{
		options: options.withDefaults(),
		flows:   make(map[flow]*flowState),
		regions: make(map[types.Region]*regionState),
	}
}

// Decide returns where the request goes; its failures have the verdict NotRun.
// A decision to send it away has taken the bytes from the link's budget.
func (p *Planner) Decide(in Input) (Decision, *types.Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(in.Snapshot)
	self := in.Snapshot.Self.Region
	if home := homeOf(in.Request); home != "" && home != self {
		return p.goHome(in, home)
	}
	if reason := p.mustStay(in); reason != "" {
		return stay(reason), nil
	}
	best, found := p.best(in)
	if !found {
		return stay("no other region is sure to be sooner"), nil
	}
	if !best.worthwhile {
		return Decision{Reason: "the gain is too small", Gain: best.gain}, nil
	}
	p.send(in, best)
	return Decision{Region: best.region, Reason: "sooner in the other region", Gain: best.gain}, nil
}

// homeOf returns the region that the request's organisation is bound to.
func homeOf(req *request.Request) types.Region {
	if req.Org == nil {
		return ""
	}
	return req.Org.Home
}

// goHome sends a request to the organisation's home region. It goes whatever the
// link's budget says, but takes from it, so that less is spilled.
func (p *Planner) goHome(in Input, home types.Region) (Decision, *types.Failure) {
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
	p.region(home).budget.bytes -= p.bytesOf(in)
	return Decision{Region: home, Reason: "the organisation is bound to its home region"}, nil
}

// mustStay returns why the request may not or need not leave; empty otherwise.
func (p *Planner) mustStay(in Input) string {
	switch {
	case len(in.Request.Path) > 0:
		return "it was forwarded already"
	case homeOf(in.Request) != "":
		return "the organisation is bound to this region"
	case !in.Request.Repeatable:
		return "it may run at most once and its owner is here"
	case in.Snapshot.Config == nil:
		return "no configuration is in force"
	case in.LocalWait <= 0 && !in.NoLocalEndpoint:
		p.stopSending(in.Request)
		return "there is room here"
	}
	return ""
}

// stopSending ends the sending of a request's flows to every region.
func (p *Planner) stopSending(req *request.Request) {
	for _, region := range req.Service.Regions {
		if state := p.flows[flow{req.Service.Name, req.Rank, region}]; state != nil {
			state.sending = false
		}
	}
}

// option is one region that the request could go to.
type option struct {
	region     types.Region
	gain       time.Duration
	worthwhile bool
	bytes      float64
	// room is how many more requests may go there before its next summary.
	room int
}

// similarGain is a difference of gains that predictions can't tell apart.
const similarGain = 100 * time.Millisecond

// better prefers the larger gain and, among similar ones, the larger room.
func (o option) better(other option) bool {
	if (o.gain - other.gain).Abs() > similarGain {
		return o.gain > other.gain
	}
	return o.room > other.room
}

// best returns the best region of those that can take the request.
func (p *Planner) best(in Input) (option, bool) {
	var best option
	found := false
	regions := slices.Sorted(slices.Values(in.Request.Service.Regions))
	for _, region := range regions {
		if region == in.Snapshot.Self.Region {
			continue
		}
		candidate, ok := p.weigh(in, region)
		if ok && (!found || candidate.better(best)) {
			best, found = candidate, true
		}
	}
	return best, found
}

// weigh works out what the request would gain in a region.
func (p *Planner) weigh(in Input, region types.Region) (option, bool) {
	summary, fresh := p.freshSummary(in, region)
	link, linked := between(in.Snapshot.Config.Links, in.Snapshot.Self.Region, region)
	if !fresh || !linked {
		return option{}, false
	}
	service, offered := serviceSummary(summary, in.Request)
	if !offered {
		return option{}, false
	}
	state := p.flowOf(in.Request, region)
	room := p.quota(in, summary, service)
	room -= state.sent
	if room <= 0 {
		return option{}, false
	}
	candidate := option{region: region, room: room}
	candidate.bytes = p.bytesOf(in)
	rate := linkRate(in.Snapshot, link)
	if !p.region(region).budget.has(rate, candidate.bytes, in.Now) {
		return option{}, false
	}
	there := p.timeThere(in, summary, service, link)
	candidate.gain = in.LocalWait - there
	if in.NoLocalEndpoint {
		candidate.gain = -there
	}
	candidate.worthwhile = p.worthwhile(in, state, candidate.gain, there)
	return candidate, true
}

// timeThere predicts how much later the answer starts because of the way and of
// the cold cache, the wait there included.
func (p *Planner) timeThere(in Input, summary *snapshot.RegionSummary, service snapshot.ServiceSummary, link published.Link) time.Duration {
	age := in.Now.Sub(summary.ReceivedAt)
	wait := service.Wait + time.Duration(p.options.AgeFactor*float64(age))
	roundTrip := 2 * link.OneWay
	wire := seconds(float64(in.size()) * bitsPerByte / float64(link.BitsPerSecond))
	prefill := seconds(float64(min(in.WarmTokens, in.Request.InputTokens)) / p.options.PrefillTokensPerSecond)
	return wait + roundTrip + wire + prefill
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// worthwhile compares the gain with what the published weights ask for. A flow
// that is being sent away stays so until the gain has fallen further.
func (p *Planner) worthwhile(in Input, state *flowState, gain, there time.Duration) bool {
	if in.NoLocalEndpoint {
		return in.Now.Add(there).Before(in.Request.Deadline)
	}
	wanted := p.wantedGain(in)
	if p.rescues(in, there) {
		wanted = 0
	}
	if state.sending {
		wanted = time.Duration(float64(wanted) * p.options.HysteresisFactor)
	}
	state.sending = gain > wanted
	return state.sending
}

// wantedGain is the time that the request has to win. A patient request waits
// for a share of the time that it has left.
func (p *Planner) wantedGain(in Input) time.Duration {
	factor := reluctance(in.Snapshot.Config.Policy.Weights, in.Request.Rank)
	wanted := time.Duration(float64(p.options.MinGain) * factor)
	if in.Request.Rank == types.RankUrgent {
		return wanted
	}
	share := min(p.options.LocalWaitShare*factor, p.options.MaxLocalWaitShare)
	left := in.Request.Deadline.Sub(in.Now)
	return max(wanted, time.Duration(share*float64(left)))
}

// rescues reports whether an urgent request would probably be late here and in
// time there.
func (p *Planner) rescues(in Input, there time.Duration) bool {
	left := in.Request.Deadline.Sub(in.Now)
	late := in.LocalWait+in.Expected > time.Duration(p.options.LateShare*float64(left))
	return in.Request.Rank == types.RankUrgent && late && there+in.Expected < left
}

// bytesOf estimates what a forwarded request takes of a link, answer included.
func (p *Planner) bytesOf(in Input) float64 {
	return float64(in.size() + in.Request.OutputTokens*p.options.OutputTokenBytes)
}

// send counts a request that goes away.
func (p *Planner) send(in Input, chosen option) {
	p.flowOf(in.Request, chosen.region).sent++
	p.region(chosen.region).budget.bytes -= chosen.bytes
}

// LinkBytes returns what this daemon may send to other regions now, in bytes,
// over all links that it has used.
func (p *Planner) LinkBytes() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum float64
	for _, state := range p.regions {
		sum += max(state.budget.bytes, 0)
	}
	return sum
}
