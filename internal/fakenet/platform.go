package fakenet

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// serviceDelay is how long the platform takes to answer.
	serviceDelay = 3 * time.Millisecond
	// watchDelay is the longest time until a watch shows a change.
	watchDelay = 200 * time.Millisecond
)

// VMList is the platform's list; readers see changes late.
type VMList struct {
	net     *Network
	vms     map[platform.VMKey]platform.VM
	shown   platform.VMListing
	version uint64
	// Reads counts the readings.
	Reads int
	Down  bool
}

func newVMList(n *Network) *VMList {
	return &VMList{net: n, vms: map[platform.VMKey]platform.VM{}}
}

func (l *VMList) set(vm platform.VM) { l.vms[vm.Key()] = vm }

func (l *VMList) addEndpoints(count int) {
	for i := range count {
		place := l.net.opts.Layout[i%len(l.net.opts.Layout)]
		l.set(platform.VM{
			Role: platform.RoleEndpoint, Region: place.Region, DataCentre: place.DataCentre,
			Address: fmt.Sprintf("10.9.%d.%d:8000", i/200, i%200), Endpoint: types.EndpointID(fmt.Sprintf("e%04d", i)),
			Service: types.ServiceName(fmt.Sprintf("model-%d", i%7)), Version: "2026-10", Slots: 8,
		})
	}
}

// List adds or changes a daemon's VM after the list's lag.
func (l *VMList) List(d *Daemon, leaving bool) {
	l.set(platform.VM{
		Role: platform.RoleEntry, Region: d.Region, DataCentre: d.DataCentre,
		Peer: d.VM, Address: d.Address, Leaving: leaving,
	})
	l.net.after(l.net.opts.ListLag, l.publishNow)
}

// Remove takes a daemon's VM off the list after the lag.
func (l *VMList) Remove(d *Daemon) {
	delete(l.vms, platform.VMKey(d.VM))
	l.net.after(l.net.opts.ListLag, l.publishNow)
}

func (l *VMList) publishNow() {
	l.version++
	keys := make([]platform.VMKey, 0, len(l.vms))
	for key := range l.vms {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	l.shown = platform.VMListing{Version: l.version, VMs: make([]platform.VM, len(keys))}
	for i, key := range keys {
		l.shown.VMs[i] = l.vms[key]
	}
}

func (l *VMList) read(d *Daemon) {
	l.Reads++
	asked, incarnation := l.net.now, d.incarnation
	listing, down := l.shown, l.Down
	l.net.after(2*serviceDelay, func() {
		d.whenAwake(incarnation, func() {
			if down {
				d.handle(event.ListFailed{At: l.net.now}, nil)
				return
			}
			d.handle(event.ListRead{At: l.net.now, StartedAt: asked, Listing: listing}, nil)
		})
	})
}

// ConfigService is the configuration service: it can be down or stale.
type ConfigService struct {
	net       *Network
	publisher *Publisher
	values    map[string]platform.Value
	version   uint64
	watches   []*watch
	// Reads counts every call, and Peak the most in one second.
	Reads  int
	Peak   int
	second int64
	inThis int
	Down   bool
	// stale holds the values that readers see while the service is stale.
	stale map[string]platform.Value
}

type watch struct {
	daemon      *Daemon
	incarnation types.Incarnation
	read        configsync.Read
	done        bool
}

func newConfigService(n *Network) *ConfigService {
	return &ConfigService{net: n, publisher: newPublisher(n.signer, n.opts), values: map[string]platform.Value{}}
}

// Publish publishes the next revision, in which one organisation differs.
func (c *ConfigService) Publish() types.Revision {
	revision, values := c.publisher.Next()
	c.put(values)
	return revision
}

// PublishConflict publishes the present revision again with another content, as
// a publisher with a fault would.
func (c *ConfigService) PublishConflict() {
	c.put(c.publisher.conflict())
}

// Latest returns the newest published revision.
func (c *ConfigService) Latest() types.Revision { return c.publisher.config.Revision }

func (c *ConfigService) put(values map[string][]byte) {
	c.version++
	next := make(map[string]platform.Value, len(c.values)+len(values))
	for key, value := range c.values {
		next[key] = value
	}
	for key, data := range values {
		if _, known := next[key]; !known || key == manifestKey {
			next[key] = platform.Value{Data: data, Version: c.version}
		}
	}
	c.values = next
	if c.stale == nil {
		c.wake()
	}
}

// SetStale freezes what readers see, or lets them see the newest again.
func (c *ConfigService) SetStale(stale bool) {
	if !stale {
		c.stale = nil
		c.wake()
		return
	}
	c.stale = c.values
}

func (c *ConfigService) shown() map[string]platform.Value {
	if c.stale != nil {
		return c.stale
	}
	return c.values
}

// wake answers the watches, each after a delay of its own.
func (c *ConfigService) wake() {
	watches := c.watches
	c.watches = nil
	for _, w := range watches {
		c.net.after(time.Duration(c.net.rng.Int64N(int64(watchDelay))), func() { c.answer(w) })
	}
}

func (c *ConfigService) read(d *Daemon, read configsync.Read) {
	c.count()
	w := &watch{daemon: d, incarnation: d.incarnation, read: read}
	c.net.after(read.Timeout, func() { c.fail(w, read.Watch && !c.Down) })
	value, ok := c.shown()[read.Key]
	if read.Watch && !c.Down && ok && value.Version == read.After {
		c.watches = append(c.watches, w)
		return
	}
	c.net.after(2*serviceDelay, func() { c.answer(w) })
}

func (c *ConfigService) answer(w *watch) {
	value, ok := c.shown()[w.read.Key]
	if c.Down || !ok {
		c.fail(w, false)
		return
	}
	c.finish(w, event.ConfigRead{At: c.net.now, Key: w.read.Key, Value: value})
}

func (c *ConfigService) fail(w *watch, timedOut bool) {
	c.finish(w, event.ConfigFailed{At: c.net.now, Key: w.read.Key, TimedOut: timedOut})
}

func (c *ConfigService) finish(w *watch, e event.Event) {
	if w.done {
		return
	}
	w.done = true
	c.watches = slices.DeleteFunc(c.watches, func(other *watch) bool { return other == w })
	w.daemon.whenAwake(w.incarnation, func() {
		w.daemon.handle(at(e, c.net.now), nil)
	})
}

// at gives an event that waited for a paused daemon the time of its delivery.
func at(e event.Event, now time.Time) event.Event {
	switch e := e.(type) {
	case event.ConfigRead:
		e.At = now
		return e
	case event.ConfigFailed:
		e.At = now
		return e
	}
	return e
}

func (c *ConfigService) count() {
	c.Reads++
	if second := c.net.now.Unix(); second != c.second {
		c.second, c.inThis = second, 0
	}
	c.inThis++
	c.Peak = max(c.Peak, c.inThis)
}

// Frozen is what readers saw at one time.
type Frozen map[string]platform.Value

// Freeze returns what readers see now.
func (c *ConfigService) Freeze() Frozen { return Frozen(c.shown()) }

// Thaw makes readers see what they saw at an earlier time.
func (c *ConfigService) Thaw(old Frozen) {
	c.stale = old
	c.wake()
}
