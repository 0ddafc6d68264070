package entry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Times of a simulated fleet.
const (
	simStep      = 100 * time.Millisecond
	simLength    = 45 * time.Second
	simHeartbeat = 5 // steps
	simAdmission = 2800 * time.Millisecond
	// simStop is when a process that was stopped has ended, simStart how long the next
	// one takes to serve.
	simStop  = 6 * time.Second
	simStart = 800 * time.Millisecond
	// callerRate is the mean number of requests of a caller in a step.
	callerRate = 0.5
)

// simDaemon is a daemon of a simulated fleet with its real table and counts.
type simDaemon struct {
	vm      types.VMID
	region  types.Region
	run     uint64
	table   *members.Table
	counter *demand.Counter
	// visitors holds back the counter while another region has lost its daemons.
	visitors demand.Visitors
	state    members.State
	// until is when the state ends: a stop, or the time without a process.
	until     time.Time
	stoppedAt time.Time
	running   bool
}

// simCaller is a caller that keeps the directory's answers.
type simCaller struct {
	region types.Region
	held   entry.Answer
	until  time.Time
	// patience is for how many lifetimes it uses an answer.
	patience int
}

// simFleet plays planned stops of daemons in simulated time.
type simFleet struct {
	rand    *rand.Rand
	now     time.Time
	step    int
	host    *fleetOfHost
	config  *catalog.Config
	daemons []*simDaemon
	callers []*simCaller
	// mixes holds the share of each restricted route in the requests of a region.
	mixes map[types.Region][]float64
	stops map[int][]*simDaemon
	// restricted counts the requests with homes by the caller's region, ledOut those that
	// were sent out of them, served all that were taken by a daemon.
	restricted, ledOut, served, sent map[types.Region]int
}

func newSimFleet(seed uint64, perRegion int) *simFleet {
	f := &simFleet{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), host: newFleetOfHost(seed, false),
		mixes: map[types.Region][]float64{}, stops: map[int][]*simDaemon{},
		restricted: map[types.Region]int{}, ledOut: map[types.Region]int{}, served: map[types.Region]int{}, sent: map[types.Region]int{},
	}
	f.config = &catalog.Config{Routes: f.host.routes}
	f.config.Prepare()
	for _, region := range fleetRegions {
		f.mixes[region] = f.drawMix()
		for i := range perRegion {
			f.daemons = append(f.daemons, &simDaemon{vm: types.VMID(fmt.Sprintf("%s-%d", region, i)), region: region})
		}
		for i := range 8 {
			f.callers = append(f.callers, &simCaller{region: region, patience: 1 + 2*(i%4/3)})
		}
	}
	for _, daemon := range f.daemons {
		f.start(daemon)
		daemon.state = members.Serving
		daemon.table.SetState(members.Serving)
	}
	f.planStops()
	return f
}

// drawMix draws the share of each restricted route.
func (f *simFleet) drawMix() []float64 {
	mix := make([]float64, len(f.host.routes)-1)
	total := 0.0
	for i := range mix {
		mix[i] = []float64{0.01, 0.1, 1}[f.rand.IntN(3)]
		total += mix[i]
	}
	for i := range mix {
		mix[i] /= total
	}
	return mix
}

// planStops draws two series of stops of all daemons, region by region, that may overlap.
func (f *simFleet) planStops() {
	for series := range 2 {
		at := 80 + series*150 + f.rand.IntN(60)
		gap := 2 + f.rand.IntN(25)
		order := slices.Clone(f.daemons)
		if f.rand.IntN(3) == 0 {
			f.rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		for _, daemon := range order {
			f.stops[at] = append(f.stops[at], daemon)
			at += gap
		}
	}
}

func (f *simFleet) start(daemon *simDaemon) {
	daemon.run++
	daemon.running, daemon.state, daemon.until = true, members.Starting, f.now.Add(simStart)
	daemon.counter, daemon.visitors = demand.NewCounter(func() time.Time { return f.now }), demand.Visitors{}
	self := members.Member{
		VM: daemon.vm, Incarnation: daemon.run, State: members.Starting, Region: daemon.region,
		DataCentre: types.DataCentre(daemon.region + "-a"), CallerAddress: string(daemon.vm),
	}
	daemon.table = members.New(self, []types.VMID{f.daemons[0].vm, f.daemons[len(f.daemons)/2].vm, f.daemons[len(f.daemons)-1].vm})
}

func (f *simFleet) find(vm types.VMID) *simDaemon {
	return f.daemons[slices.IndexFunc(f.daemons, func(daemon *simDaemon) bool { return daemon.vm == vm })]
}

func (f *simFleet) advance() {
	f.step++
	f.now = f.now.Add(simStep)
	for _, daemon := range f.stops[f.step] {
		if daemon.running && daemon.state == members.Serving {
			f.stop(daemon)
		}
	}
	for _, daemon := range f.daemons {
		f.live(daemon)
	}
	for _, caller := range f.callers {
		f.call(caller)
	}
}

// stop tells a daemon to stop; it announces that to all that it knows.
func (f *simFleet) stop(daemon *simDaemon) {
	daemon.state, daemon.until, daemon.stoppedAt = members.Leaving, f.now.Add(simStop), f.now
	daemon.table.Leave(daemon.counter.Counts(), f.now)
	daemon.table.Beat(nil)
	for _, member := range daemon.table.Live(f.now) {
		if other := f.find(member.VM); other.running {
			other.table.Merge([]members.Member{daemon.table.Self()}, f.now)
		}
	}
}

// live ends and starts processes, and sends heartbeats.
func (f *simFleet) live(daemon *simDaemon) {
	if daemon.until.Before(f.now) {
		switch {
		case !daemon.running:
			f.start(daemon)
		case daemon.state == members.Leaving:
			daemon.running, daemon.until = false, f.now.Add(time.Second)
		case daemon.state == members.Starting:
			daemon.state = members.Serving
			daemon.table.SetState(members.Serving)
		}
	}
	if !daemon.running || f.step%simHeartbeat != 0 && !daemon.table.Joining() {
		return
	}
	if daemon.visitors.Expected(daemon.region, f.snapshot(daemon).Serving(), f.now) {
		daemon.counter.Suspend(entry.VisitTime)
	}
	daemon.table.Forget(f.now)
	daemon.table.Beat(nil)
	for _, vm := range daemon.table.Targets(f.now, f.rand) {
		f.exchange(daemon, f.find(vm))
	}
}

// exchange sends a heartbeat and takes its reply.
func (f *simFleet) exchange(from, to *simDaemon) {
	if !to.running {
		from.table.MarkUnreachable(to.vm, f.now)
		return
	}
	joining := from.table.Joining()
	to.table.Merge(from.table.HeartbeatMembers(to.vm, f.now), f.now)
	from.table.Merge(to.table.HeartbeatMembers(from.vm, f.now), f.now)
	if joining {
		from.table.MergeDemand(to.table.ToldDemand(f.now), f.now)
	}
}

// snapshot returns what a daemon knows.
func (f *simFleet) snapshot(daemon *simDaemon) *control.Snapshot {
	return &control.Snapshot{
		Self: daemon.table.Self(), Members: daemon.table.Live(f.now), Peak: daemon.table.Peak(), Demand: daemon.table.Demand(),
		Left: daemon.table.LeftRegions(), Joining: daemon.table.Joining(), View: &catalog.View{Config: f.config},
	}
}

// lookup asks up to three directories, nearest first.
func (f *simFleet) lookup(caller *simCaller) {
	nearest := slices.Clone(f.daemons)
	f.rand.Shuffle(len(nearest), func(i, j int) { nearest[i], nearest[j] = nearest[j], nearest[i] })
	slices.SortStableFunc(nearest, func(a, b *simDaemon) int {
		return boolToInt(a.region != caller.region) - boolToInt(b.region != caller.region)
	})
	asked := 0
	for _, daemon := range nearest {
		if asked == 3 {
			return
		}
		if !daemon.running {
			continue
		}
		asked++
		snap := f.snapshot(daemon)
		query := entry.Lookup{Host: fleetHost, Region: caller.region, DataCentre: types.DataCentre(caller.region + "-a")}
		answer := entry.Directory{Grace: stopGrace}.Answer(snap, query, daemon.counter.Counts(), f.now)
		if len(answer.Addresses) > 0 {
			caller.held, caller.until = answer, f.now.Add(answer.Lifetime*time.Duration(caller.patience))
			return
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// call sends the requests of a caller in one step.
func (f *simFleet) call(caller *simCaller) {
	if !f.now.Before(caller.until) {
		f.lookup(caller)
	}
	if len(caller.held.Addresses) == 0 || f.rand.Float64() > callerRate {
		return
	}
	route := f.drawRoute(caller.region)
	daemon := f.find(types.VMID(caller.held.Addresses[f.rand.IntN(len(caller.held.Addresses))]))
	f.sent[caller.region]++
	if len(route.AllowedRegions) > 0 {
		f.restricted[caller.region]++
		if daemon.region != caller.region && !route.Allows(daemon.region) {
			f.ledOut[caller.region]++
		}
	}
	admits := daemon.running && (daemon.state != members.Leaving || f.now.Sub(daemon.stoppedAt) < simAdmission)
	if admits {
		daemon.counter.Record(route)
		f.served[caller.region]++
	}
}

// drawRoute returns the route of a request of a region: half of them have no homes.
func (f *simFleet) drawRoute(region types.Region) *catalog.Route {
	free := f.host.routes[len(f.host.routes)-1]
	if f.rand.IntN(2) == 0 {
		return free
	}
	drawn := f.rand.Float64()
	for i, route := range f.host.routes[:len(f.host.routes)-1] {
		if drawn -= f.mixes[region][i]; drawn < 0 {
			return route
		}
	}
	return free
}

var _ = Describe("the directory in a simulated fleet whose daemons stop in overlapping series", func() {
	play := func(fleets uint64, perRegion int) {
		sent, served := 0, 0
		for seed := range fleets {
			fleet := newSimFleet(seed, perRegion)
			for fleet.now.Sub(fleet.host.now) < simLength {
				fleet.advance()
			}
			for _, region := range fleetRegions {
				sent, served = sent+fleet.sent[region], served+fleet.served[region]
				ledOut := float64(fleet.ledOut[region]) / float64(max(fleet.restricted[region], 1))
				Expect(ledOut).To(BeNumerically("<=", mostLedOut), "seed %d, callers of %s: %d of %d led out; %s, mixes %v",
					seed, region, fleet.ledOut[region], fleet.restricted[region], fleet.host, fleet.mixes)
			}
		}
		AddReportEntry("served", fmt.Sprintf("%d of %d", served, sent))
	}

	It("sends under a twentieth of the requests of each region out of their homes, with two daemons in each", func() { play(60, 2) })

	It("does so with six daemons in each region", func() { play(15, 6) })
})
