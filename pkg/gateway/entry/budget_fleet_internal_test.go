package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	fleetService = types.ServiceName("desk")
	fleetRatio   = 0.2
	fleetFixed   = 20.0
	fleetWindow  = 10 * time.Second
	// fleetArrival is how long after its permission a retry may arrive.
	fleetArrival = 1500 * time.Millisecond
	fleetStep    = 10 * time.Millisecond
	fleetZones   = 3
	fleetDaemons = 6
	// joinTime is how long a daemon that has started joins the others.
	joinTime = 500 * time.Millisecond
)

// budgetDaemon is one daemon of a simulated fleet, as far as its retry budget goes.
type budgetDaemon struct {
	budgets   *proxy.RetryBudgets
	peak      members.Peak
	size      members.FleetSize
	startedAt time.Time
	// standsUntil is the end of a pause of the VM.
	standsUntil time.Time
	// queued are the requests that wait in its sockets.
	queued int
}

// budgetFleet is a fleet whose load, cuts, restarts and pauses are random.
type budgetFleet struct {
	random  *rand.Rand
	daemons [fleetDaemons]*budgetDaemon
	// cutUntil is until when each data centre reaches no other one.
	cutUntil          [fleetZones]time.Time
	load, failing     float64
	offered, arrivals []time.Time
}

func (f *budgetFleet) start(i int, now time.Time) {
	settings := Settings{VM: "a:1", Seeds: []types.VMID{"a:1", "b:1"}, DataCentres: fleetZones}
	f.daemons[i] = &budgetDaemon{
		size:    members.FleetSize{Expected: expectedFleet(settings)},
		budgets: proxy.NewRetryBudgets(fleetRatio, fleetFixed, fleetWindow, now),
		peak:    members.Peak{DataCentre: 1, Region: 1, Fleet: 1}, startedAt: now,
	}
}

func (f *budgetFleet) chance(perSecond float64) bool {
	return f.random.Float64() < perSecond*fleetStep.Seconds()
}

// disturb begins the disruptions of a step; they overlap.
func (f *budgetFleet) disturb(now time.Time) {
	if f.chance(0.3) {
		f.load = []float64{0.02, 0.1, 0.5, 1}[f.random.IntN(4)]
	}
	if f.chance(0.3) {
		f.failing = float64(f.random.IntN(3)) / 2
	}
	if f.chance(0.2) {
		f.cutUntil[f.random.IntN(fleetZones)] = now.Add(time.Duration(1+f.random.IntN(5)) * time.Second)
	}
	for i, daemon := range f.daemons {
		if f.chance(0.02) {
			f.start(i, now)
		}
		if f.chance(0.08) && now.After(daemon.standsUntil) {
			daemon.standsUntil = now.Add(time.Duration(1+f.random.IntN(5)) * time.Second)
		}
	}
	if f.chance(0.02) {
		for i := range f.daemons {
			f.start(i, now)
		}
	}
}

// reaches reports whether two daemons can talk to each other.
func (f *budgetFleet) reaches(i, j int, now time.Time) bool {
	a, b := i%fleetZones, j%fleetZones
	running := !now.Before(f.daemons[j].standsUntil)
	return running && (a == b || !now.Before(f.cutUntil[a]) && !now.Before(f.cutUntil[b]))
}

// gossip tells a daemon what those that it reaches know.
func (f *budgetFleet) gossip(i int, now time.Time) {
	self := f.daemons[i]
	if now.Before(self.standsUntil) {
		return
	}
	live := members.Peak{}
	for j, other := range f.daemons {
		if i != j && !f.reaches(i, j, now) {
			continue
		}
		live.Fleet++
		if i%fleetZones == j%fleetZones {
			live.DataCentre++
			self.peak.DataCentre = max(self.peak.DataCentre, other.peak.DataCentre)
		}
	}
	self.peak.DataCentre, self.peak.Fleet = max(self.peak.DataCentre, live.DataCentre), max(self.peak.Fleet, live.Fleet)
	joining := now.Sub(self.startedAt) < joinTime
	if daemons := budgetDaemons(self.size.Observe(self.peak, joining, now)); daemons > 0 {
		self.budgets.SetFleetSize(daemons)
	}
}

// serve offers requests to a daemon and spends all that it may on failing ones.
func (f *budgetFleet) serve(i int, now time.Time) {
	daemon := f.daemons[i]
	if f.random.Float64() < f.load {
		f.offered = append(f.offered, now)
		daemon.queued++
	}
	if now.Before(daemon.standsUntil) {
		// Few callers keep waiting for a daemon that doesn't read.
		daemon.queued = min(daemon.queued, 2)
		return
	}
	for ; daemon.queued > 0; daemon.queued-- {
		daemon.budgets.RecordRequest(fleetService, now)
	}
	for f.random.Float64() < f.failing && daemon.budgets.Allow(fleetService, now) {
		f.arrivals = append(f.arrivals, now.Add(time.Duration(f.random.Float64()*float64(fleetArrival))))
	}
}

// fullest returns the arrivals of the fullest window as a part of what the rule
// permits for what callers sent.
func (f *budgetFleet) fullest(from, to time.Time) float64 {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	fullest := 0.0
	for ; from.Before(to); from = from.Add(50 * time.Millisecond) {
		sent := max(within(f.offered, from), within(f.offered, from.Add(-fleetWindow/2)), within(f.offered, from.Add(-fleetWindow)))
		permitted := fleetRatio*float64(sent) + fleetFixed
		fullest = max(fullest, float64(within(f.arrivals, from))/permitted)
	}
	return fullest
}

// within counts the sorted times in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(fleetWindow), time.Time.Compare)
	return end - first
}

var _ = ginkgo.Describe("The retry budgets of a fleet", func() {
	// From the start of all daemons on, cuts, restarts, pauses and falls of the load
	// overlap, and every daemon spends what it may.
	ginkgo.DescribeTable("keep the rule on short days on which everything happens at once", func(seed uint64) {
		const length = 40 * time.Second
		start := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
		fleet := &budgetFleet{random: rand.New(rand.NewPCG(seed, 36)), load: 1, failing: 1}
		for i := range fleet.daemons {
			fleet.start(i, start)
		}
		for now := start; now.Before(start.Add(length)); now = now.Add(fleetStep) {
			fleet.disturb(now)
			for i := range fleet.daemons {
				fleet.gossip(i, now)
				fleet.serve(i, now)
			}
		}
		Expect(len(fleet.arrivals)).To(BeNumerically(">", 50))
		Expect(fleet.fullest(start, start.Add(length))).To(BeNumerically("<=", 1))
	}, fleetSeeds(40))
})

func fleetSeeds(count int) []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for seed := range count {
		entries = append(entries, ginkgo.Entry(fmt.Sprintf("seed %d", seed), uint64(seed)))
	}
	return entries
}
