package crashes_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Times of the simulated fleet.
const (
	simStep      = 10 * time.Millisecond
	simDown      = 3 * time.Second
	simGotOn     = 300 * time.Millisecond
	simHeartbeat = 500 * time.Millisecond
	simDecision  = 50 * time.Millisecond
	// contact is how long after the fifth crash the bound begins to hold.
	contact = 5 * time.Second
)

// fleetOptions describes a simulated fleet.
type fleetOptions struct {
	daemons, endpoints int
	// perSecond is the number of requests, of which a share is deadly.
	perSecond, deadlyShare float64
	// things is the number of second parts of prompts, of which few are common.
	things int
	// waves lets a third of the endpoints crash at random moments.
	waves bool
	// restarts lets daemons start again without evidence, one at a time.
	restarts bool
}

// simRequest is a request that an endpoint runs.
type simRequest struct {
	daemon   int
	traits   crashes.Traits
	deadly   bool
	firstAt  time.Time
	endAt    time.Time
	reported bool
}

// simMessage is evidence on its way.
type simMessage struct {
	at       time.Time
	to       int
	evidence crashes.Evidence
}

// simFleet is a fleet of logs before endpoints that crash.
type simFleet struct {
	fleetOptions
	random   *rand.Rand
	now      time.Time
	logs     []*crashes.Log
	history  []*crashes.History
	running  [][]*simRequest
	downTill []time.Time
	messages []simMessage
	own      crashes.Trait

	deadlyCrashes  []time.Time
	deadlyArrivals []time.Time
	soundSent      int
	soundRefused   int
}

func newSimFleet(seed uint64, opts fleetOptions) *simFleet {
	f := &simFleet{fleetOptions: opts, random: rand.New(rand.NewPCG(seed, 36)), now: start, own: 1 << 32}
	for range opts.daemons {
		f.logs, f.history = append(f.logs, crashes.NewLog()), append(f.history, crashes.NewHistory())
	}
	f.running, f.downTill = make([][]*simRequest, opts.endpoints), make([]time.Time, opts.endpoints)
	return f
}

func (f *simFleet) chance(perSecond float64) bool {
	return f.random.Float64() < perSecond*simStep.Seconds()
}

// run lets the fleet serve for a time.
func (f *simFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(simStep) {
		for left := f.perSecond * simStep.Seconds(); left > 0; left-- {
			if f.random.Float64() < left {
				f.send()
			}
		}
		if f.waves && f.chance(0.2) {
			f.wave()
		}
		if f.restarts && f.chance(0.2) {
			f.restart(f.random.IntN(f.daemons))
		}
		for endpoint := range f.running {
			f.progress(endpoint)
		}
		f.deliver()
		f.control()
	}
}

// send sends a request by way of a random daemon, unless that withholds it.
func (f *simFleet) send() {
	daemon := f.random.IntN(f.daemons)
	f.own++
	request := &simRequest{daemon: daemon, deadly: f.random.Float64() < f.deadlyShare}
	request.firstAt = f.now.Add(50*time.Millisecond + time.Duration(f.random.Int64N(int64(300*time.Millisecond))))
	request.endAt = request.firstAt.Add(50*time.Millisecond + time.Duration(f.random.Int64N(int64(time.Second))))
	thing := 1000 + crashes.Trait(float64(f.things)*f.random.Float64()*f.random.Float64())
	if request.deadly {
		thing = deadly
	}
	request.traits = crashes.Traits{f.own, first, thing}
	withheld := f.logs[daemon].Withheld()
	refused := slices.ContainsFunc(request.traits, func(trait crashes.Trait) bool { _, found := withheld[trait]; return found })
	if !request.deadly {
		f.soundSent++
		if refused {
			f.soundRefused++
		}
	}
	endpoint := f.random.IntN(f.endpoints)
	if refused || f.now.Before(f.downTill[endpoint]) {
		return
	}
	if request.deadly {
		f.deadlyArrivals = append(f.deadlyArrivals, f.now)
	}
	f.running[endpoint] = append(f.running[endpoint], request)
}

// progress lets the requests of an endpoint go on.
func (f *simFleet) progress(endpoint int) {
	for _, request := range f.running[endpoint] {
		if request.deadly && !f.now.Before(request.firstAt) {
			f.deadlyCrashes = append(f.deadlyCrashes, f.now)
			f.crash(endpoint)
			return
		}
		if !request.reported && (f.now.Sub(request.firstAt) >= simGotOn || !f.now.Before(request.endAt)) {
			request.reported = true
			f.gotOn(request)
		}
	}
	f.running[endpoint] = slices.DeleteFunc(f.running[endpoint], func(r *simRequest) bool { return !f.now.Before(r.endAt) })
}

// gotOn reports that the answer to a request got on.
func (f *simFleet) gotOn(request *simRequest) {
	log := f.logs[request.daemon]
	f.history[request.daemon].Add(request.traits, f.now)
	suspected := log.Suspected()
	var evidence crashes.Evidence
	for _, trait := range request.traits {
		if suspected[trait] && log.Clear(trait, f.now) {
			evidence.Clearances = append(evidence.Clearances, crashes.Clearance{Trait: trait})
		}
	}
	f.broadcast(request.daemon, evidence)
}

// crash ends an endpoint. Each daemon with requests there reports its suspects.
func (f *simFleet) crash(endpoint int) {
	suspects := make(map[int]crashes.Traits)
	for _, request := range f.running[endpoint] {
		if !request.reported {
			suspects[request.daemon] = append(suspects[request.daemon], request.traits...)
		}
	}
	f.running[endpoint], f.downTill[endpoint] = nil, f.now.Add(simDown)
	for daemon := range f.daemons {
		if len(suspects[daemon]) == 0 {
			continue
		}
		report := crashes.Crash{Endpoint: types.EndpointID(fmt.Sprint("e", endpoint)), Suspects: suspects[daemon]}
		f.logs[daemon].AddCrash(report, f.now)
		f.broadcast(daemon, crashes.Evidence{Crashes: []crashes.Crash{report}})
	}
}

// wave lets a third of the endpoints crash within a few milliseconds.
func (f *simFleet) wave() {
	for endpoint := range f.endpoints {
		if f.random.IntN(3) == 0 {
			f.crash(endpoint)
		}
	}
}

func (f *simFleet) restart(daemon int) {
	f.logs[daemon], f.history[daemon] = crashes.NewLog(), crashes.NewHistory()
	if f.daemons > 1 {
		f.messages = append(f.messages, simMessage{at: f.now.Add(200 * time.Millisecond), to: daemon, evidence: f.logs[(daemon+1)%f.daemons].All(f.now)})
	}
}

// broadcast sends evidence to all other daemons; it arrives within two hops.
func (f *simFleet) broadcast(from int, evidence crashes.Evidence) {
	if evidence.Empty() {
		return
	}
	for to := range f.daemons {
		if to != from {
			f.post(to, evidence)
		}
	}
}

func (f *simFleet) post(to int, evidence crashes.Evidence) {
	delay := time.Millisecond + time.Duration(f.random.Int64N(int64(120*time.Millisecond)))
	f.messages = append(f.messages, simMessage{at: f.now.Add(delay), to: to, evidence: evidence})
}

// deliver delivers what has arrived.
func (f *simFleet) deliver() {
	f.messages = slices.DeleteFunc(f.messages, func(message simMessage) bool {
		if message.at.After(f.now) {
			return false
		}
		f.logs[message.to].Merge(message.evidence, f.now)
		return true
	})
}

// control lets every daemon decide, and tell one other what is new.
func (f *simFleet) control() {
	for daemon, log := range f.logs {
		if f.chance(1 / simDecision.Seconds()) {
			log.Expire(f.now)
			log.Decide(f.history[daemon].Contains, f.now)
		}
		if f.daemons > 1 && f.chance(1/simHeartbeat.Seconds()) {
			f.post((daemon+1+f.random.IntN(f.daemons-1))%f.daemons, log.News(f.now))
		}
	}
}

// late counts the deadly requests that arrived beyond the bound.
func (f *simFleet) late() int {
	const bound = 5
	if len(f.deadlyCrashes) < bound {
		return 0
	}
	from := f.deadlyCrashes[bound-1].Add(contact)
	count := 0
	for _, at := range f.deadlyArrivals {
		if at.After(from) {
			count++
		}
	}
	return count
}

var _ = Describe("The logs of a fleet", func() {
	DescribeTable("withhold the deadly part in time, and nothing else",
		func(opts fleetOptions, most int) {
			for seed := range uint64(6) {
				fleet := newSimFleet(seed, opts)
				fleet.run(30 * time.Second)
				note := fmt.Sprintf("seed %d: %d crashes", seed, len(fleet.deadlyCrashes))
				Expect(fleet.late()).To(BeNumerically("<=", 3), note)
				Expect(fleet.soundRefused).To(BeZero(), note)
				Expect(len(fleet.deadlyCrashes)).To(BeNumerically("<=", most), note)
			}
		},
		Entry("8 daemons", fleetOptions{daemons: 8, endpoints: 12, perSecond: 14, deadlyShare: 0.05, things: 175}, 6),
		Entry("8 daemons, many deadly requests", fleetOptions{daemons: 8, endpoints: 18, perSecond: 80, deadlyShare: 0.2, things: 317}, 18),
		Entry("8 daemons, waves of crashes", fleetOptions{daemons: 8, endpoints: 12, perSecond: 40, deadlyShare: 0.03, things: 175, waves: true}, 12),
		Entry("8 daemons, restarts", fleetOptions{daemons: 8, endpoints: 12, perSecond: 40, deadlyShare: 0.05, things: 175, restarts: true}, 12),
		Entry("95 daemons", fleetOptions{daemons: 95, endpoints: 44, perSecond: 50, deadlyShare: 0.05, things: 175}, 10),
	)

	It("withhold nothing in waves of crashes that no request caused", func() {
		for seed := range uint64(6) {
			fleet := newSimFleet(seed, fleetOptions{daemons: 8, endpoints: 12, perSecond: 60, things: 175, waves: true, restarts: true})
			fleet.run(40 * time.Second)
			Expect(fleet.soundRefused).To(BeZero(), fmt.Sprint("seed ", seed))
		}
	})
})
