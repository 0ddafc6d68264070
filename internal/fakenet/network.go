// Package fakenet runs the control state of many daemons in one process, on a
// network and a clock that the caller owns. Messages are sealed and opened as
// between real daemons; they can be lost, delayed, duplicated, reordered and
// cut one way. The same seed gives the same run.
package fakenet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options describe a network. The zero value of a field means none of it.
type Options struct {
	Seed   uint64
	Layout []Place
	// Loss and Duplicate are shares, 0 to 1, of messages each way.
	Loss      float64
	Duplicate float64
	// Jitter is the largest extra delay of a message; messages overtake each
	// other within it.
	Jitter time.Duration
	// ListLag is how late the VM list shows a change.
	ListLag time.Duration
	// Endpoints is how many endpoint VMs the list names besides the daemons.
	Endpoints int
	// Organisations is how many organisations are published.
	Organisations int
	// Thinning keeps the organisations of every so-manieth leaf only.
	Thinning int
	// Mutant, when set, alters each accepted message before the daemon sees
	// it, as a daemon with a fault would.
	Mutant func(*peer.Message)
	// Unchecked leaves out the checks after each event, for measuring.
	Unchecked bool
	// AcceptReplays makes daemons take messages that were replayed.
	AcceptReplays bool
}

// Place is where one daemon runs.
type Place struct {
	VM         types.VMID
	Address    string
	Region     types.Region
	DataCentre types.DataCentre
}

// Network is the daemons, the platform and what is under way between them.
type Network struct {
	opts    Options
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     uint64
	steps   int
	Daemons []*Daemon
	byVM    map[types.VMID]*Daemon
	Config  *ConfigService
	List    *VMList
	cut     map[cutKey]bool
	checker *Checker
	keys    peer.Keys
	signer  bundle.Signer
	boots   int
	// captured are sealed messages that an eavesdropper kept.
	captured []capturedMessage
}

type cutKey struct{ from, to types.VMID }

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 10, 1, 0, 0, 0, 0, time.UTC)

// New returns a network whose daemons all start now, with revision 1 published.
func New(opts Options) *Network {
	n := &Network{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), now: epoch,
		byVM: map[types.VMID]*Daemon{}, cut: map[cutKey]bool{},
		keys: peer.Keys{Current: "k1", Accepted: map[peer.KeyID][]byte{"k1": []byte("an in-process key of the test fleet")}},
	}
	n.signer = testSigner(opts.Seed)
	n.checker = newChecker(n)
	n.Config = newConfigService(n)
	n.List = newVMList(n)
	n.Config.Publish()
	for _, place := range opts.Layout {
		d := &Daemon{net: n, Place: place}
		n.Daemons = append(n.Daemons, d)
		n.byVM[place.VM] = d
		n.List.set(platform.VM{
			Role: platform.RoleEntry, Region: place.Region, DataCentre: place.DataCentre,
			Peer: place.VM, Address: place.Address,
		})
	}
	n.List.addEndpoints(opts.Endpoints)
	n.List.publishNow()
	for _, d := range n.Daemons {
		d.Start()
	}
	return n
}

// Now returns the network's time.
func (n *Network) Now() time.Time { return n.now }

// Steps returns how many events were handled.
func (n *Network) Steps() int { return n.steps }

// Failure returns the first broken invariant; nil when none is broken.
func (n *Network) Failure() error { return n.checker.failure }

// Checker returns what watches the invariants.
func (n *Network) Checker() *Checker { return n.checker }

// after schedules an act.
func (n *Network) after(delay time.Duration, act func()) {
	n.seq++
	heap.Push(&n.queue, scheduled{n.now.Add(delay), n.seq, act})
}

// Step handles the next event. It returns false when nothing is left.
func (n *Network) Step() bool {
	if len(n.queue) == 0 {
		return false
	}
	next := heap.Pop(&n.queue).(scheduled)
	if next.at.After(n.now) {
		n.now = next.at
	}
	n.steps++
	next.act()
	return true
}

// Run handles events until the time has passed or an invariant is broken.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for n.Failure() == nil && len(n.queue) > 0 && !n.queue[0].at.After(end) {
		n.Step()
	}
	n.now = end
}

// RunUntil handles events until done reports true; it returns the time that it
// took and false when the limit passed first.
func (n *Network) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := n.now
	for n.now.Sub(start) < limit {
		if done() {
			return n.now.Sub(start), true
		}
		if !n.Step() {
			break
		}
	}
	return n.now.Sub(start), done()
}

// Cut cuts or restores one direction between two VMs.
func (n *Network) Cut(from, to types.VMID, cut bool) {
	n.cut[cutKey{from, to}] = cut
}

// CutRegion cuts or restores both directions between a region and all others.
func (n *Network) CutRegion(region types.Region, cut bool) {
	for _, a := range n.Daemons {
		for _, b := range n.Daemons {
			if (a.Region == region) != (b.Region == region) {
				n.Cut(a.VM, b.VM, cut)
			}
		}
	}
}

// Heal restores every link, and ends loss and duplication.
func (n *Network) Heal() {
	n.cut = map[cutKey]bool{}
	n.opts.Loss, n.opts.Duplicate = 0, 0
}

const (
	delaySameDC     = time.Millisecond
	delaySameRegion = 2 * time.Millisecond
	delayFar        = 55 * time.Millisecond
)

// delay draws the one-way delay between two daemons.
func (n *Network) delay(a, b *Daemon) time.Duration {
	base := delayFar
	if a.Region == b.Region {
		base = delaySameRegion
	}
	if a.DataCentre == b.DataCentre {
		base = delaySameDC
	}
	if n.opts.Jitter > 0 {
		base += time.Duration(n.rng.Int64N(int64(n.opts.Jitter)))
	}
	return base
}

// passes draws whether a message arrives.
func (n *Network) passes(a, b *Daemon) bool {
	return !n.cut[cutKey{a.VM, b.VM}] && n.rng.Float64() >= n.opts.Loss
}

// scheduled is an act at a time; seq keeps the order of equal times.
type scheduled struct {
	at  time.Time
	seq uint64
	act func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// SetLoss sets the share of messages that are lost each way.
func (n *Network) SetLoss(share float64) { n.opts.Loss = share }
