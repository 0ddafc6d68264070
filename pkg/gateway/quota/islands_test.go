package quota_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	islandStep = 100 * time.Millisecond
	// joiningBeat and joinedBeat are the times between two heartbeats of a daemon.
	joiningBeat = 200 * time.Millisecond
	joinedBeat  = 500 * time.Millisecond
	// startsWithin is the time in which all daemons start.
	startsWithin  = 300 * time.Millisecond
	islandSeeds   = 3
	islandRegions = 3
)

var (
	islandBounds = catalog.QuotaBounds{Window: 8 * time.Second, Overshoot: 0.25, Slack: 190_000}
	islandQuota  = catalog.Quota{Rate: 47_000, Burst: 47_000}
)

// islandDaemon is a daemon as far as quotas and the table of daemons go.
type islandDaemon struct {
	vm     types.VMID
	region types.Region
	dc     types.DataCentre
	run    uint64
	// side is the part of a cut fleet in which the daemon is.
	side   int
	table  *members.Table
	size   members.FleetSize
	ledger *quota.Ledger
	// daemons is the number by which the daemon divides; zero if it is not known.
	daemons  int
	nextBeat time.Time
}

// islandFleet is daemons that find each other by heartbeats, of which some are cut off
// from the rest while they restart.
type islandFleet struct {
	random   *rand.Rand
	now      time.Time
	expected members.Expected
	daemons  []*islandDaemon
	seeds    []types.VMID
}

// newIslandFleet returns a fleet of which all daemons start now; the numbers are those of
// the daemons in each data centre.
func newIslandFleet(seed uint64, dataCentres []int) *islandFleet {
	f := &islandFleet{random: rand.New(rand.NewPCG(seed, 56)), now: modelBegin}
	f.expected = members.Expected{Others: true, DataCentres: len(dataCentres)}
	for dc, daemons := range dataCentres {
		for range daemons {
			f.daemons = append(f.daemons, &islandDaemon{
				vm: types.VMID(fmt.Sprintf("10.0.0.%d:1", len(f.daemons))), dc: types.DataCentre(fmt.Sprint("dc", dc)),
				region: types.Region(fmt.Sprint("region", dc%islandRegions)),
			})
		}
	}
	for _, index := range f.random.Perm(len(f.daemons))[:islandSeeds] {
		f.seeds = append(f.seeds, f.daemons[index].vm)
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	return f
}

// someDataCentres returns the numbers of daemons of 2 to 6 data centres, 2 to 6 in each.
func someDataCentres(seed uint64) []int {
	random := rand.New(rand.NewPCG(seed, 57))
	dataCentres := make([]int, 2+random.IntN(5))
	for dc := range dataCentres {
		dataCentres[dc] = 2 + random.IntN(5)
	}
	return dataCentres
}

// start starts a daemon that knows nothing but its settings.
func (f *islandFleet) start(d *islandDaemon) {
	d.run++
	self := members.Member{VM: d.vm, Incarnation: d.run, State: members.Serving, Region: d.region, DataCentre: d.dc}
	d.table = members.New(self, f.seeds)
	d.size = members.FleetSize{Expected: f.expected}
	d.ledger, d.daemons = quota.NewLedger(islandBounds), 0
	d.ledger.SetOrganisations(organisation(islandQuota), f.now)
	d.nextBeat = f.now.Add(time.Duration(f.random.Int64N(int64(startsWithin))))
}

// pass lets a step of time pass.
func (f *islandFleet) pass() {
	f.now = f.now.Add(islandStep)
	for _, d := range f.daemons {
		f.beat(d)
	}
	for _, d := range f.daemons {
		if size := d.size.Observe(d.table.Peak(), d.table.Joining(), f.now); size.MayMint() {
			d.daemons = size.Daemons
		}
		d.ledger.SetDaemons(d.daemons, f.now)
	}
}

// beat sends the heartbeats of a daemon that are due.
func (f *islandFleet) beat(d *islandDaemon) {
	if d.nextBeat.After(f.now) {
		return
	}
	interval := joinedBeat
	if d.table.Joining() {
		interval = joiningBeat
	}
	d.nextBeat = d.nextBeat.Add(interval)
	d.table.Forget(f.now)
	d.table.Beat(nil)
	for _, vm := range d.table.Targets(f.now, f.random) {
		f.exchange(d, f.daemons[slices.IndexFunc(f.daemons, func(other *islandDaemon) bool { return other.vm == vm })])
	}
}

// exchange sends a heartbeat and takes its reply.
func (f *islandFleet) exchange(from, to *islandDaemon) {
	if from.side != to.side {
		from.table.MarkUnreachable(to.vm, f.now)
		return
	}
	to.table.Merge(from.table.HeartbeatMembers(to.vm, f.now), f.now)
	from.table.Merge(to.table.HeartbeatMembers(from.vm, f.now), f.now)
}

// last lets time pass.
func (f *islandFleet) last(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.pass()
	}
}

// spend lets all daemons gather as much credit as they may hold, then spend all that they
// have for a window, and returns the units that they spent in it.
func (f *islandFleet) spend() float64 {
	const gathering = 8 * time.Second
	f.last(gathering)
	f.hold()
	spent := 0.0
	for end := f.now.Add(islandBounds.Window); !f.now.After(end); f.pass() {
		for _, d := range f.daemons {
			units := d.ledger.Credit(modelOrganisation, f.now)
			if _, ok := d.chargeAll(f.now); ok {
				spent += units
			}
		}
	}
	return spent
}

// hold lets all daemons charge what they mint while units live, and give it back at the
// end: they have that beside a full stock then.
func (f *islandFleet) hold() {
	limits := quota.LimitsOf(&islandQuota, islandBounds)
	held := make(map[*islandDaemon][]quota.Charge)
	for end := f.now.Add(limits.Life); f.now.Before(end); f.pass() {
		for _, d := range f.daemons {
			if d.daemons == 0 {
				continue
			}
			minted := limits.Mint * islandStep.Seconds() / float64(d.daemons)
			if charge, ok := d.ledger.Charge(modelOrganisation, minted, true, f.now); ok {
				held[d] = append(held[d], charge)
			}
		}
	}
	for _, d := range f.daemons {
		for _, charge := range held[d] {
			d.ledger.Refund(charge, f.now)
		}
	}
}

// chargeAll charges all credit of a daemon.
func (d *islandDaemon) chargeAll(now time.Time) (quota.Charge, bool) {
	return d.ledger.Charge(modelOrganisation, d.ledger.Credit(modelOrganisation, now), true, now)
}

// cutOff cuts daemons off from the rest and restarts them within a second.
func (f *islandFleet) cutOff(island []*islandDaemon) {
	const within = 10 // steps
	for _, d := range island {
		d.side = 1
	}
	for range within {
		for _, d := range island {
			if f.random.IntN(within/2) == 0 {
				f.start(d)
			}
		}
		f.pass()
	}
	for _, d := range island {
		f.start(d)
	}
}

// join ends the cut.
func (f *islandFleet) join() {
	for _, d := range f.daemons {
		d.side = 0
	}
}

// island returns some daemons of some data centres, one of which is left out whole.
func (f *islandFleet) island() []*islandDaemon {
	left := types.DataCentre(fmt.Sprint("dc", f.random.IntN(f.expected.DataCentres)))
	part := f.random.Float64()
	var island []*islandDaemon
	for _, d := range f.daemons {
		if d.dc != left && f.random.Float64() < part {
			island = append(island, d)
		}
	}
	return island
}

// besideWhole cuts off all daemons of the first data centre, and returns one of each other
// but the last, to be cut off with them.
func (f *islandFleet) besideWhole() []*islandDaemon {
	last := f.daemons[len(f.daemons)-1].dc
	taken := map[types.DataCentre]bool{last: true}
	var few []*islandDaemon
	for _, d := range f.daemons {
		switch {
		case d.dc == f.daemons[0].dc:
			d.side = 1
		case !taken[d.dc]:
			taken[d.dc] = true
			few = append(few, d)
		}
	}
	return few
}

// islandOfAll returns some daemons of every data centre.
func (f *islandFleet) islandOfAll() []*islandDaemon {
	part := f.random.Float64()
	taken := make(map[types.DataCentre]bool)
	var island []*islandDaemon
	for _, d := range f.daemons {
		if !taken[d.dc] || f.random.Float64() < part {
			taken[d.dc] = true
			island = append(island, d)
		}
	}
	return island
}

// bound returns the units that may be spent in a window.
func (f *islandFleet) bound() float64 {
	return (islandQuota.Rate*islandBounds.Window.Seconds()+islandQuota.Burst)*(1+islandBounds.Overshoot) + islandBounds.Slack
}

// idle returns the number of daemons that mint nothing.
func (f *islandFleet) idle() int {
	idle := 0
	for _, d := range f.daemons {
		if d.daemons == 0 {
			idle++
		}
	}
	return idle
}

var _ = Describe("The quota of a fleet with daemons that restart cut off from the rest", func() {
	// Guards against daemons that divide by the few that they know.
	DescribeTable("stays inside the bound before the cut, during it and after it", func(seed uint64) {
		f := newIslandFleet(seed, someDataCentres(seed))
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		f.cutOff(f.island())
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		f.join()
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		Expect(f.idle()).To(BeZero())
	}, islandEntries(60))

	// Guards against daemons that hear from one that lived on that all data centres were seen,
	// but not how many daemons there are.
	DescribeTable("stays inside the bound if a daemon of each other data centre restarts beside a whole one that lived on", func(seed uint64) {
		f := newIslandFleet(seed, someDataCentres(seed))
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		f.cutOff(f.besideWhole())
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
	}, islandEntries(30))

	// Guards against a number of the operators that does not bind, or makes daemons wait.
	DescribeTable("stays inside the bound for any of them if operators told the number of daemons", func(seed uint64) {
		f := newIslandFleet(seed, someDataCentres(seed))
		f.expected.Daemons = len(f.daemons)
		for _, d := range f.daemons {
			f.start(d)
		}
		f.pass()
		Expect(f.idle()).To(BeZero())
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		f.cutOff(f.islandOfAll())
		f.pass()
		Expect(f.idle()).To(BeZero())
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		f.join()
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
	}, islandEntries(30))

	// Fails: see KNOWN-RED.txt.
	if os.Getenv("FLAMINGOMOUNT_KNOWN_RED") != "" {
		DescribeTable("stays inside the bound with a daemon of every data centre among them", func(seed uint64) {
			f := newIslandFleet(seed, someDataCentres(seed))
			Expect(f.spend()).To(BeNumerically("<=", f.bound()))
			f.cutOff(f.islandOfAll())
			Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		}, islandEntries(30))
	}

	// Guards against daemons of data centres without seeds, which never see each other, and
	// would wait for it.
	DescribeTable("is minted by all daemons once they have joined", func(seed uint64) {
		const joins = startsWithin + 10*joiningBeat
		f := newIslandFleet(seed, []int{14, 14, 14, 14, 14, 14})
		f.last(joins)
		Expect(f.idle()).To(BeZero())
	}, islandEntries(6))
})

var _ = Describe("The quota of a fleet that lacks a data centre for long", func() {
	// cutOffLacking cuts off and restarts all daemons but those of the last data centre.
	cutOffLacking := func(seed uint64) (f *islandFleet, island []*islandDaemon) {
		f = newIslandFleet(seed, someDataCentres(seed))
		f.last(startsWithin + 10*joiningBeat)
		last := f.daemons[len(f.daemons)-1].dc
		for _, d := range f.daemons {
			if d.dc != last {
				island = append(island, d)
			}
		}
		// At least one seed is among them, as the settings of a fleet should have it.
		f.seeds = append(f.seeds, island[0].vm)
		f.cutOff(island)
		return f, island
	}
	minting := func(island []*islandDaemon) int {
		count := 0
		for _, d := range island {
			if d.daemons > 0 {
				count++
			}
		}
		return count
	}

	DescribeTable("is not minted by those that restarted while they wait, and by all of them after it", func(seed uint64) {
		f, island := cutOffLacking(seed)
		f.last(members.CompleteWait)
		Expect(minting(island)).To(BeZero())
		const joins = 10*joiningBeat + 8*joinedBeat
		f.last(joins)
		Expect(minting(island)).To(Equal(len(island)))
	}, islandEntries(30))

	DescribeTable("stays inside the bound while the daemons of a data centre are away", func(seed uint64) {
		f, island := cutOffLacking(seed)
		f.last(members.CompleteWait + 10*joiningBeat + 8*joinedBeat)
		Expect(minting(island)).To(Equal(len(island)))
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
		f.join()
		Expect(f.spend()).To(BeNumerically("<=", f.bound()))
	}, islandEntries(30))
})

func islandEntries(count uint64) []TableEntry {
	var entries []TableEntry
	for seed := range count {
		entries = append(entries, Entry(fmt.Sprintf("seed %d", seed), seed))
	}
	return entries
}
