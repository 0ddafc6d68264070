package oncehistory

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Faults are the rates of what goes wrong; each share is 0 to 1.
type Faults struct {
	// Drop, Duplicate, Delay and Misdeliver are shares of messages.
	Drop, Duplicate, Delay, Misdeliver float64
	// ListLate is the share of heartbeats that are late.
	ListLate float64
	// Resend is how often a caller resends without need.
	Resend float64
	// Skew bounds how far a daemon's clock is off.
	Skew time.Duration
	// Every is the mean time between disturbances: pause, crash with restart,
	// one-way cut, drain, order worker down; zero means none.
	Every time.Duration
}

// RandomFaults returns the rates of the random histories.
func RandomFaults() Faults {
	return Faults{
		Drop: 0.03, Duplicate: 0.05, Delay: 0.05, Misdeliver: 0.01, ListLate: 0.3, Resend: 0.3,
		Skew: 5 * time.Second, Every: 2 * time.Second,
	}
}

// SmallLedger returns bounds so small that random histories meet them.
func SmallLedger() once.Options {
	return once.Options{Retention: 20 * time.Second, MaxRecords: 400, MaxOrgRecords: 400, MaxResponseBytes: 40_000}
}

// Config is one history.
type Config struct {
	Seed   uint64
	Way    Way
	Mutant Mutant
	Faults Faults
	// Steps bounds the events.
	Steps int
	// Orders bounds the orders; zero means no bound. Once all are placed, the
	// history runs until nothing is left to happen or Steps is reached.
	Orders int
	// PerSecond is the mean rate of new orders; zero means DefaultPerSecond.
	PerSecond int
	// Bare is the share of orders, 0 to 1, that start without a ticket.
	Bare float64
	// Ledger bounds the ledgers of WayTicket; see SmallLedger.
	Ledger once.Options
	// ListLag bounds how late a daemon reads the published VM list, and
	// Settle is the settling time; both for WayRendezvous.
	ListLag time.Duration
	Settle  time.Duration
	// Hold bounds how long a caller keeps a ticket before it uses it.
	Hold time.Duration
	// Linger is how long a draining daemon stays at least; zero means
	// DefaultLinger.
	Linger time.Duration
	// OutcomesOnly leaves out the check of RuleOwner, so that a planted fault
	// has to show in what ran and what callers were told.
	OutcomesOnly bool
	// KeepGoing plays on after a violation, to count doubled orders.
	KeepGoing bool
	// Scenario schedules one named disturbance; empty means none.
	Scenario Scenario
}

// DefaultPerSecond is the default rate of new orders.
const DefaultPerSecond = 20

// DefaultLinger covers the lifetime of a ticket.
const DefaultLinger = ticket.DefaultWindow + 10*time.Second

// DefaultVMs is the number of entry VMs in a history.
const DefaultVMs = 8

func (c Config) settle() time.Duration {
	if c.Mutant == MutantNoSettling {
		return 0
	}
	return c.Settle
}

// Report is what a history came to. An order counts by what its caller knows
// at the end.
type Report struct {
	Steps  int
	Orders int
	// Ran, NotRun and MayHaveRun divide the orders.
	Ran, NotRun, MayHaveRun int
	// Doubled counts the orders that ran more than once.
	Doubled int
	// Runs counts the runs at the order workers.
	Runs int
	// Virtual is how much time passed in the history.
	Virtual time.Duration
	// Violation is the first broken promise; nil when all held.
	Violation *Violation
}

// Run plays one history. It stops at the first violation unless KeepGoing is
// set.
func Run(config Config) Report {
	w := newWorld(config)
	for w.check.step < config.Steps {
		broken := w.check.first != nil && !config.KeepGoing
		if broken || !w.step() || w.settledDown() {
			break
		}
	}
	return w.report()
}

func newWorld(config Config) *world {
	if config.PerSecond == 0 {
		config.PerSecond = DefaultPerSecond
	}
	if config.Linger == 0 {
		config.Linger = DefaultLinger
	}
	secret := bytes.Repeat([]byte("k"), ticket.MinSecretBytes)
	keyring, err := ticket.NewKeyring(ticket.Key{ID: "test", Secret: secret})
	if err != nil {
		panic(err) // the key is a constant
	}
	w := &world{
		config: config, now: epoch, keyring: keyring, check: newChecker(),
		rng: rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	for i := range DefaultVMs {
		w.vms = append(w.vms, &vm{index: i, region: i % regionCount, listed: true})
	}
	for i := range regionCount {
		w.workers = append(w.workers, &worker{region: i})
	}
	for _, v := range w.vms {
		w.boot(v)
	}
	for _, v := range w.vms {
		v.current.refreshNow()
	}
	w.after(warmUp, w.placeNext)
	w.schedule()
	return w
}

// warmUp lets ownership settle before the first order.
const warmUp = 30 * time.Second

func (w *world) placeNext() {
	if w.config.Orders > 0 && len(w.orders) >= w.config.Orders {
		return
	}
	w.place()
	w.after(w.between(0, 2*time.Second/time.Duration(w.config.PerSecond)), w.placeNext)
}

// settledDown reports whether all orders are placed and as long past as any
// message, timeout or ticket lasts.
func (w *world) settledDown() bool {
	placed := w.config.Orders > 0 && len(w.orders) >= w.config.Orders
	if !placed {
		return false
	}
	last := epoch.Add(warmUp + time.Duration(w.config.Orders)*time.Second/time.Duration(w.config.PerSecond))
	return w.now.After(last.Add(5 * time.Minute))
}

func (w *world) report() Report {
	report := Report{
		Steps: w.check.step, Orders: len(w.orders), Runs: w.runs, Virtual: w.now.Sub(epoch), Violation: w.check.first,
	}
	for _, o := range w.orders {
		if w.check.orderRuns[o.id] > 1 {
			report.Doubled++
		}
		switch o.known() {
		case types.Ran:
			report.Ran++
		case types.NotRun:
			report.NotRun++
		default:
			report.MayHaveRun++
		}
	}
	return report
}

// known is what the caller may conclude at the end: an order whose present key
// was sent and never answered may have run.
func (o *order) known() types.Verdict {
	if o.key != "" && !o.heard {
		return types.MayHaveRun
	}
	return o.best
}
