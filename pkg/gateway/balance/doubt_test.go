package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// playedConn is a connection to one start of an endpoint.
type playedConn struct {
	process int
	trusted bool
	age     time.Duration
}

var _ balance.Connection = (*playedConn)(nil)

// Trusted implements balance.Connection.
func (c *playedConn) Trusted() bool { return c.trusted }

// OpenFor implements balance.Connection.
func (c *playedConn) OpenFor() time.Duration { return c.age }

// Trust implements balance.Connection.
func (c *playedConn) Trust() { c.trusted = true }

// playedDaemon is a daemon with at most one kept connection to the endpoint.
type playedDaemon struct {
	pool *balance.Pool
	conn *playedConn
	// dialing holds the attempts that have no connection yet.
	dialing []*balance.Permit
	checks  []playedCheck
}

type playedCheck struct {
	probe balance.Probe
	at    time.Time
}

// restartPlay is an endpoint that is down for a time and starts again cold, which its
// entry tells only later.
type restartPlay struct {
	// downAt, backAt and warmAt are when the endpoint ends, is back and is warm.
	downAt, backAt, warmAt time.Time
	// silent endpoints leave new connections waiting while they are down.
	silent bool
	// idle daemons send nothing while the endpoint is down.
	idle    bool
	arrived []time.Time
	checked int
}

func (p *restartPlay) up(now time.Time) bool {
	return now.Before(p.downAt) || !now.Before(p.backAt)
}

func (p *restartPlay) process(now time.Time) int {
	if now.Before(p.backAt) {
		return 1
	}
	return 2
}

// send lets a daemon send one request, if it may.
func (p *restartPlay) send(d *playedDaemon, now time.Time) {
	if p.idle && !p.up(now) {
		return
	}
	permit, _ := d.pool.Permit(newRequest(engines, 0), now)
	if permit == nil {
		return
	}
	switch {
	case p.up(now):
		p.connected(d, permit, now)
	case p.silent:
		d.dialing = append(d.dialing, permit)
	default:
		d.pool.Done(permit, balance.ConnectFailed, now)
	}
}

// connected lets an attempt use the kept connection, or a new one if that led to the
// process before.
func (p *restartPlay) connected(d *playedDaemon, permit *balance.Permit, now time.Time) {
	if d.conn == nil || d.conn.process != p.process(now) {
		d.conn = &playedConn{process: p.process(now)}
	}
	permitted, _ := d.pool.Connected(permit, d.conn, now)
	if !permitted {
		d.conn = nil
		d.pool.Done(permit, balance.Abandoned, now)
		return
	}
	p.arrived = append(p.arrived, now)
	d.pool.Done(permit, balance.Succeeded, now)
}

// check answers the health checks of a daemon that are due and begins new ones.
func (p *restartPlay) check(d *playedDaemon, now time.Time) {
	const checkInterval, answerTime = 50 * time.Millisecond, 10 * time.Millisecond
	for len(d.checks) > 0 && !d.checks[0].at.After(now) {
		check := d.checks[0]
		d.checks = d.checks[1:]
		if !p.up(now) {
			continue
		}
		if !now.Before(p.backAt) && now.Before(p.warmAt) {
			d.pool.RecordProbe(check.probe, p.warmAt)
			continue
		}
		if d.conn != nil && d.conn.process == p.process(now) {
			d.conn.trusted = true
		}
		d.pool.RecordProbe(check.probe, time.Time{})
	}
	if now.Sub(start)%checkInterval != 0 {
		return
	}
	due, _ := d.pool.DueConfirmations(now)
	for _, probe := range due {
		p.checked++
		d.checks = append(d.checks, playedCheck{probe: probe, at: now.Add(answerTime)})
	}
}

// run plays until a time. No daemon learns of the new start from the endpoint's entry.
func (p *restartPlay) run(pools []*balance.Pool, until time.Time) {
	const step = 10 * time.Millisecond
	var daemons []*playedDaemon
	for _, pool := range pools {
		daemons = append(daemons, &playedDaemon{pool: pool, conn: &playedConn{process: 1, trusted: true}})
	}
	for now := start; now.Before(until); now = now.Add(step) {
		for _, d := range daemons {
			if p.up(now) {
				for _, permit := range d.dialing {
					p.connected(d, permit, now)
				}
				d.dialing = nil
			}
			p.check(d, now)
			p.send(d, now)
		}
	}
}

var _ = Describe("An endpoint that starts again before its entry tells", func() {
	const (
		bound     = 9.3*1.5 + 3
		coldStart = 3 * time.Second
	)

	published := func() *catalog.View {
		v := view(1, 0, func(p *catalog.ActiveEndpoint) { p.StartedAt = 1 })
		v.Config.Services[engines].HealthPath = "/well"
		return v
	}
	newPlay := func(down time.Duration) *restartPlay {
		downAt := start.Add(time.Second)
		backAt := downAt.Add(down)
		return &restartPlay{downAt: downAt, backAt: backAt, warmAt: backAt.Add(coldStart)}
	}

	// expectColdRate plays restarts that last differently long, and expects no more than
	// the cold rate after each.
	expectColdRate := func(daemons int, vary func(play *restartPlay)) {
		GinkgoHelper()
		for down := 300 * time.Millisecond; down <= 2*time.Second; down += 170 * time.Millisecond {
			play := newPlay(down)
			vary(play)
			play.run(newFleet(published(), daemons), play.warmAt)
			Expect(float64(mostPerSecond(play.arrived, play.backAt))).To(BeNumerically("<=", bound), "down for %s", down)
		}
	}

	fleetSizes := []TableEntry{Entry("1 daemon", 1), Entry("2 daemons", 2), Entry("3 daemons", 3), Entry("5 daemons", 5), Entry("8 daemons", 8), Entry("28 daemons", 28)}

	DescribeTable("gets no more than the cold rate from daemons that had no connection refused", func(daemons int) {
		expectColdRate(daemons, func(play *restartPlay) { play.idle = true })
	}, fleetSizes)

	DescribeTable("gets no more than the cold rate from daemons that had connections refused", func(daemons int) {
		expectColdRate(daemons, func(*restartPlay) {})
	}, fleetSizes)

	DescribeTable("gets no more than the cold rate from requests that waited for a connection", func(daemons int) {
		expectColdRate(daemons, func(play *restartPlay) { play.silent = true })
	}, fleetSizes)

	DescribeTable("gets no more than the cold rate while it may be cold, also from requests that waited for a connection", func(daemons int, trusted, told bool) {
		for waited := 100 * time.Millisecond; waited <= 1500*time.Millisecond; waited += 100 * time.Millisecond {
			v := published()
			if told {
				v.Endpoints[engines][0].ColdUntil = start.Add(coldStart)
			}
			var arrived []time.Time
			pools := newFleet(v, daemons)
			waiting := make([][]*balance.Permit, daemons)
			if !told {
				for _, pool := range pools {
					pool.RecordNews(start.Add(-10*time.Second), start.Add(-10*time.Second))
				}
			}
			for now := start; now.Before(start.Add(waited + time.Second)); now = now.Add(10 * time.Millisecond) {
				for i, pool := range pools {
					if permit, _ := pool.Permit(newRequest(engines, 0), now); permit != nil {
						waiting[i] = append(waiting[i], permit)
					}
					if now.Before(start.Add(waited)) {
						continue
					}
					for _, permit := range waiting[i] {
						if permitted, _ := pool.Connected(permit, &playedConn{process: 1, trusted: trusted}, now); permitted {
							arrived = append(arrived, now)
						}
						pool.Done(permit, balance.Succeeded, now)
					}
					waiting[i] = nil
				}
			}
			Expect(float64(mostPerSecond(arrived, start))).To(BeNumerically("<=", bound), "waited for %s", waited)
			Expect(arrived).NotTo(BeEmpty())
		}
	}, Entry("1 daemon", 1, true, true), Entry("2 daemons", 2, true, true), Entry("3 daemons", 3, true, true), Entry("8 daemons", 8, true, true), Entry("28 daemons", 28, true, true),
		Entry("3 daemons, new connections", 3, false, true), Entry("3 daemons without news of the store", 3, true, false))

	It("gets no more than the cold rate from requests that wait for a connection while the news of the store becomes too old", func() {
		sent := 0
		for _, pool := range newFleet(published(), 3) {
			pool.RecordNews(start, start)
			var waiting []*balance.Permit
			for range 20 {
				waiting = append(waiting, requestPermit(pool, newRequest(engines, 0), start.Add(1900*time.Millisecond)))
			}
			for _, permit := range waiting {
				if permitted, _ := pool.Connected(permit, &playedConn{process: 1, trusted: true}, start.Add(2100*time.Millisecond)); permitted {
					sent++
				}
			}
		}
		Expect(float64(sent)).To(BeNumerically("<=", bound))
		Expect(sent).To(BeNumerically(">", 0))
	})

	It("gets as many requests as it may although each waited for its connection", func() {
		v := published()
		v.Endpoints[engines][0].ColdUntil = start.Add(coldStart)
		pool := newFleet(v, 1)[0]
		var waiting []*balance.Permit
		for permit, _ := pool.Permit(newRequest(engines, 0), start); permit != nil; permit, _ = pool.Permit(newRequest(engines, 0), start) {
			waiting = append(waiting, permit)
		}
		Expect(waiting).NotTo(BeEmpty())
		for _, permit := range waiting {
			permitted, _ := pool.Connected(permit, &playedConn{process: 1, trusted: true}, start.Add(500*time.Millisecond))
			Expect(permitted).To(BeTrue())
		}
	})

	DescribeTable("gets many times the cold rate again once it is warm", func(daemons int) {
		play := newPlay(time.Second)
		play.run(newFleet(published(), daemons), play.warmAt.Add(4*time.Second))
		warm := 0
		for _, at := range play.arrived {
			if !at.Before(play.warmAt.Add(2 * time.Second)) {
				warm++
			}
		}
		Expect(float64(warm) / 2).To(BeNumerically(">", 2*bound))
	}, fleetSizes)

	It("is not checked if it has only broken connections off", func() {
		pool := newFleet(published(), 1)[0]
		trusted := &playedConn{process: 1, trusted: true}
		for i := range 100 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			permit := requestPermit(pool, newRequest(engines, 0), now)
			permitted, doubtful := pool.Connected(permit, trusted, now)
			Expect(permitted).To(BeTrue())
			Expect(doubtful).To(BeFalse())
			pool.Done(permit, balance.Interrupted, now)
			due, pending := pool.DueConfirmations(now)
			Expect(due).To(BeEmpty())
			Expect(pending).To(BeFalse())
		}
	})

	// unchecked lets a daemon send what it may on one connection for twice the cold time and
	// returns the number of requests after the cold time and a second. No check succeeds.
	unchecked := func(v *catalog.View) int {
		pool, conn, sent := newFleet(v, 1)[0], &playedConn{process: 1}, 0
		for since := time.Duration(0); since < 2*coldStart; since += 10 * time.Millisecond {
			now := start.Add(since)
			conn.age = since
			permit, _ := pool.Permit(newRequest(engines, 0), now)
			if permit == nil {
				continue
			}
			if permitted, _ := pool.Connected(permit, conn, now); permitted && since >= coldStart+time.Second {
				sent++
			}
			pool.Done(permit, balance.Succeeded, now)
		}
		return sent
	}

	It("gets many times the cold rate without a check on a connection that is older than its cold time", func() {
		v := published()
		v.Config.Services[engines].HealthPath = ""
		Expect(unchecked(v)).To(BeNumerically(">", 150))
	})

	It("gets no more than the cold rate without a check if its cold time is not known", func() {
		v := published()
		v.Config.Services[engines].ColdStart = 0
		Expect(float64(unchecked(v)) / 2).To(BeNumerically("<=", bound))
	})

	// withoutShare calls a function for each of many daemons that has no share of the cold
	// rate, with its connection to the endpoint, on which it has sent nothing.
	withoutShare := func(call func(pool *balance.Pool, conn *playedConn, now time.Time)) {
		called := 0
		for _, pool := range newFleet(published(), 28) {
			permit := requestPermit(pool, newRequest(engines, 0), start)
			conn := &playedConn{process: 1}
			// Connecting takes a moment.
			now := start.Add(time.Millisecond)
			if permitted, _ := pool.Connected(permit, conn, now); permitted {
				pool.Done(permit, balance.Succeeded, now)
				continue
			}
			pool.Done(permit, balance.Abandoned, now)
			called++
			call(pool, conn, now)
		}
		Expect(called).To(BeNumerically(">", 0))
	}

	It("is used by a daemon without a share of its cold rate once a check has found it warm", func() {
		withoutShare(func(pool *balance.Pool, conn *playedConn, now time.Time) {
			due, pending := pool.DueConfirmations(now)
			Expect(pending).To(BeTrue())
			Expect(due).To(HaveLen(1))
			_, refusal := pool.Permit(newRequest(engines, 0), now)
			Expect(refusal).To(BeNil(), "it waits for the check")
			conn.trusted = true
			pool.RecordProbe(due[0], time.Time{})
			Expect(requestPermit(pool, newRequest(engines, 0), now.Add(10*time.Millisecond))).NotTo(BeNil())
		})
	})

	It("is checked by a daemon without a share of its cold rate for as long as requests wait for it", func() {
		withoutShare(func(pool *balance.Pool, _ *playedConn, now time.Time) {
			pool.DueConfirmations(now)
			checked := 0
			for range 70 {
				now = now.Add(50 * time.Millisecond)
				_, refusal := pool.Permit(newRequest(engines, 0), now)
				Expect(refusal).To(BeNil(), "it waits for the check")
				due, pending := pool.DueConfirmations(now)
				Expect(pending).To(BeTrue())
				checked += len(due)
			}
			Expect(checked).To(BeNumerically(">", 10))
			_, pending := pool.DueConfirmations(now.Add(2 * time.Second))
			Expect(pending).To(BeFalse(), "nothing waits any more")
		})
	})

	It("is checked within a third of a second although few requests reach it, each on a new connection", func() {
		pool := newFleet(published(), 3)[0]
		for now := start; now.Before(start.Add(310 * time.Millisecond)); now = now.Add(150 * time.Millisecond) {
			permit := requestPermit(pool, newRequest(engines, 0), now)
			permitted, doubtful := pool.Connected(permit, &playedConn{process: 2}, now)
			Expect(permitted && doubtful).To(BeTrue())
			pool.Done(permit, balance.Succeeded, now)
		}
		due, _ := pool.DueConfirmations(start.Add(310 * time.Millisecond))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Confirms && due[0].InDoubt).To(BeTrue())
	})

	It("is given no more requests than it may get while they connect", func() {
		for _, pool := range newFleet(published(), 3) {
			first := requestPermit(pool, newRequest(engines, 0), start)
			pool.Connected(first, &playedConn{process: 2}, start)
			granted := 1
			for permit, _ := pool.Permit(newRequest(engines, 0), start); permit != nil; permit, _ = pool.Permit(newRequest(engines, 0), start) {
				granted++
			}
			Expect(float64(granted)).To(BeNumerically("<=", bound/3))
		}
	})

	It("is given no request after it got as many as it may that were granted before the doubt", func() {
		for _, pool := range newFleet(published(), 3) {
			var granted []*balance.Permit
			for range 10 {
				granted = append(granted, requestPermit(pool, newRequest(engines, 0), start))
			}
			now := start.Add(time.Millisecond)
			for _, permit := range granted {
				pool.Connected(permit, &playedConn{process: 2}, now)
			}
			permit, _ := pool.Permit(newRequest(engines, 0), now)
			Expect(permit).To(BeNil())
		}
	})

	It("gets every request if its service has no cold rate", func() {
		pool := newFleet(view(0, 1, nil), 28)[0]
		for range 100 {
			permit := requestPermit(pool, newRequest(desk, 0), start)
			permitted, doubtful := pool.Connected(permit, &playedConn{process: 2}, start)
			Expect(permitted).To(BeTrue())
			Expect(doubtful).To(BeFalse())
			pool.Done(permit, balance.Succeeded, start)
		}
	})

	It("lets no request wait at a daemon without a share of its cold rate once a check has found it cold", func() {
		withoutShare(func(pool *balance.Pool, _ *playedConn, now time.Time) {
			due, _ := pool.DueConfirmations(now)
			pool.RecordProbe(due[0], now.Add(coldStart))
			_, refusal := pool.Permit(newRequest(engines, 0), now)
			Expect(refusal).NotTo(BeNil())
		})
	})

	It("lets requests wait only at the daemons that check it, which are few", func() {
		const daemons = 28
		live := fleetOf(daemons)
		var serving []balance.Daemon
		for _, vm := range live {
			serving = append(serving, balance.Daemon{VM: vm, DataCentre: "north-a"})
		}
		v := view(20, 0, nil)
		v.Config.Services[engines].HealthPath = "/well"
		req := newRequest(engines, 0)
		for _, endpoint := range v.Endpoints[engines][1:] {
			req.Tried = append(req.Tried, endpoint.ID)
		}
		checking := 0
		for _, vm := range live {
			pool := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
			pool.Update(v, balance.Membership{Self: vm, Live: live, SameDataCentre: live, Serving: serving, PeakLive: daemons})
			permit := requestPermit(pool, req, start)
			if permitted, _ := pool.Connected(permit, &playedConn{process: 2}, start); permitted {
				continue
			}
			pool.Done(permit, balance.Abandoned, start)
			due, _ := pool.DueConfirmations(start)
			_, refusal := pool.Permit(req, start)
			Expect(refusal == nil).To(Equal(len(due) > 0))
			checking += len(due)
		}
		Expect(checking).To(BeNumerically("<=", 5))
	})
})
