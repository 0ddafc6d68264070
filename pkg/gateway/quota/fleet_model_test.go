package quota_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	modelOrganisation types.OrgName = "org"
	// modelStep is the time of one step of the model.
	modelStep = 50 * time.Millisecond
	// otherEra is the time by which the clocks of daemons differ.
	otherEra = 1000 * time.Hour
)

// sentGift is an answer on its way.
type sentGift struct {
	to      *modelDaemon
	run     int
	askedAt time.Time
	gifts   []quota.Gift
}

// sentAsk is a question on its way.
type sentAsk struct {
	from, to *modelDaemon
	run      int
	askedAt  time.Time
	units    float64
	scope    quota.Scope
}

// pending is a charge whose request has not reached an endpoint.
type pending struct {
	daemon *modelDaemon
	run    int
	charge quota.Charge
	cost   float64
	sentAt time.Time
}

type modelDaemon struct {
	ledger *quota.Ledger
	// run counts its starts; what was sent to an earlier run is lost.
	run     int
	skew    time.Duration
	group   int
	knowsAt time.Time
}

// grant is a request that reached an endpoint.
type grant struct {
	sent, arrived time.Time
	cost          float64
}

// fleetModel plays a fleet against the bound. Its daemons do whatever the draws tell, also
// what no daemon would do, except that they know how many they are.
type fleetModel struct {
	t       *rapid.T
	now     time.Time
	quota   catalog.Quota
	bounds  catalog.QuotaBounds
	daemons []*modelDaemon
	asks    []sentAsk
	gifts   []sentGift
	pending []pending
	grants  []grant
	// groups cut the fleet: an ask arrives only inside a group; oneWay lets answers pass.
	cut    bool
	oneWay bool
}

func (m *fleetModel) clock(d *modelDaemon) time.Time { return m.now.Add(d.skew) }

func (m *fleetModel) start(d *modelDaemon) {
	d.run++
	d.ledger = quota.NewLedger(m.bounds)
	d.ledger.SetOrganisations(m.organisations(), m.clock(d))
	d.knowsAt = m.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(m.t, "joins")) * modelStep)
}

func (m *fleetModel) organisations() []*catalog.Organisation {
	known := m.quota
	return []*catalog.Organisation{{Name: modelOrganisation, Quota: &known}}
}

func (m *fleetModel) daemon(label string) *modelDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, label)]
}

func (m *fleetModel) charge() {
	d := m.daemon("charger")
	cost := rapid.Float64Range(0.01, 0.6).Draw(m.t, "cost") * m.quota.Rate
	for range rapid.IntRange(1, 20).Draw(m.t, "requests") {
		charge, ok := d.ledger.Charge(modelOrganisation, cost, true, m.clock(d))
		if !ok {
			return
		}
		m.pending = append(m.pending, pending{daemon: d, run: d.run, charge: charge, cost: cost, sentAt: m.now})
	}
}

// settle ends a request: it reaches an endpoint, or its units are given back, or its daemon
// is gone.
func (m *fleetModel) settle() {
	for range min(len(m.pending), rapid.IntRange(1, 30).Draw(m.t, "settled")) {
		index := rapid.IntRange(0, len(m.pending)-1).Draw(m.t, "request")
		p := m.pending[index]
		m.pending = append(m.pending[:index], m.pending[index+1:]...)
		switch {
		case p.run != p.daemon.run:
		case rapid.IntRange(0, 3).Draw(m.t, "refused") == 0:
			p.daemon.ledger.Refund(p.charge, m.clock(p.daemon))
		default:
			m.grants = append(m.grants, grant{sent: p.sentAt, arrived: m.now, cost: p.cost})
		}
	}
}

// spend lets all daemons use all that they have at once.
func (m *fleetModel) spend() {
	for _, d := range m.daemons {
		all := d.ledger.Credit(modelOrganisation, m.clock(d))
		if _, ok := d.ledger.Charge(modelOrganisation, all, true, m.clock(d)); ok {
			m.grants = append(m.grants, grant{sent: m.now, arrived: m.now, cost: all})
		}
	}
}

// gather moves credit for a while without spending, as much as the daemons let it.
func (m *fleetModel) gather() {
	for range rapid.IntRange(1, 100).Draw(m.t, "gathering") {
		m.pass()
		from, to := m.daemon("giver"), m.daemon("keeper")
		gifts := from.ledger.Give(modelOrganisation, m.quota.Rate*1000, quota.Fleet, m.clock(from))
		to.ledger.Receive(modelOrganisation, gifts, m.clock(to), m.clock(to))
		if charge, ok := to.ledger.Charge(modelOrganisation, to.ledger.Credit(modelOrganisation, m.clock(to)), false, m.clock(to)); ok {
			m.pass()
			to.ledger.Refund(charge, m.clock(to))
		}
	}
}

// spendOn spends for a while as much as the daemons let it.
func (m *fleetModel) spendOn() {
	for range rapid.IntRange(1, 100).Draw(m.t, "spending") {
		m.spend()
		m.pass()
	}
}

func (m *fleetModel) ask() {
	from := m.daemon("asker")
	for _, to := range m.daemons {
		if to != from && rapid.Bool().Draw(m.t, "asked") {
			scope := rapid.SampledFrom([]quota.Scope{quota.Spare, quota.DataCentre, quota.Fleet}).Draw(m.t, "scope")
			units := rapid.Float64Range(0, 3).Draw(m.t, "units") * m.quota.Rate
			m.asks = append(m.asks, sentAsk{from: from, to: to, run: from.run, askedAt: m.clock(from), units: units, scope: scope})
		}
	}
}

// deliver handles some of the messages on their way, the others are late or lost.
func (m *fleetModel) deliver() {
	asks := m.asks
	m.asks = nil
	for _, ask := range asks {
		switch {
		case rapid.IntRange(0, 5).Draw(m.t, "late ask") == 0:
			m.asks = append(m.asks, ask)
		case m.cut && ask.from.group != ask.to.group && !m.oneWay:
		default:
			gifts := ask.to.ledger.Give(modelOrganisation, ask.units, ask.scope, m.clock(ask.to))
			m.gifts = append(m.gifts, sentGift{to: ask.from, run: ask.run, askedAt: ask.askedAt, gifts: gifts})
		}
	}
	gifts := m.gifts
	m.gifts = nil
	for _, gift := range gifts {
		switch fate := rapid.IntRange(0, 9).Draw(m.t, "fate"); {
		case fate < 3:
			m.gifts = append(m.gifts, gift)
		case fate == 3, gift.run != gift.to.run:
		default:
			gift.to.ledger.Receive(modelOrganisation, gift.gifts, gift.askedAt, m.clock(gift.to))
		}
	}
}

func (m *fleetModel) restart() {
	d := m.daemon("restarted")
	if rapid.IntRange(0, 20).Draw(m.t, "all") > 0 {
		m.start(d)
		return
	}
	for _, d := range m.daemons {
		m.start(d)
	}
}

func (m *fleetModel) partition() {
	m.cut, m.oneWay = rapid.Bool().Draw(m.t, "cut"), rapid.Bool().Draw(m.t, "one way")
	for _, d := range m.daemons {
		d.group = rapid.IntRange(0, 2).Draw(m.t, "group")
	}
}

// pass lets one step of time pass, or a long one.
func (m *fleetModel) pass() {
	steps := 1
	if rapid.IntRange(0, 40).Draw(m.t, "long") == 0 {
		steps = rapid.IntRange(1, 100).Draw(m.t, "steps")
	}
	m.now = m.now.Add(time.Duration(steps) * modelStep)
	for _, d := range m.daemons {
		if !m.now.Before(d.knowsAt) {
			d.ledger.SetDaemons(len(m.daemons), m.clock(d))
		}
	}
	if rapid.IntRange(0, 30).Draw(m.t, "forget") == 0 {
		d := m.daemon("forgetful")
		d.ledger.Forget(m.clock(d))
	}
}

// check compares each window with the bound, counting what is sent and arrives in it.
func (m *fleetModel) check(from time.Time, limit catalog.Quota) {
	bound := (limit.Rate*m.bounds.Window.Seconds()+limit.Burst)*(1+m.bounds.Overshoot) + m.bounds.Slack
	for _, first := range m.grants {
		if first.sent.Before(from) {
			continue
		}
		sum := 0.0
		for _, g := range m.grants {
			if !g.sent.Before(first.sent) && !g.arrived.After(first.sent.Add(m.bounds.Window)) {
				sum += g.cost
			}
		}
		if sum > bound*(1+1e-9) {
			m.t.Fatalf("%s", fmt.Sprintf("%.0f units in the window from %v, at most %.0f allowed", sum, first.sent.Sub(modelBegin), bound))
		}
	}
}

var modelBegin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleetModel(t *rapid.T) *fleetModel {
	rate := rapid.Float64Range(10, 2000).Draw(t, "rate")
	m := &fleetModel{
		t: t, now: modelBegin,
		quota: catalog.Quota{Rate: rate, Burst: rate * rapid.Float64Range(0.2, 2).Draw(t, "burst")},
		bounds: catalog.QuotaBounds{
			Window:    time.Duration(rapid.IntRange(1, 8).Draw(t, "window")) * time.Second,
			Overshoot: rapid.Float64Range(0, 0.5).Draw(t, "overshoot"),
			Slack:     rate * rapid.Float64Range(0, 4).Draw(t, "slack"),
		},
	}
	for index := range rapid.IntRange(1, 8).Draw(t, "daemons") {
		d := &modelDaemon{skew: time.Duration(index) * otherEra}
		m.daemons = append(m.daemons, d)
		m.start(d)
	}
	return m
}

func (m *fleetModel) step() {
	switch action := rapid.IntRange(0, 99).Draw(m.t, "action"); {
	case action < 30:
		m.pass()
	case action < 55:
		m.charge()
	case action < 70:
		m.settle()
	case action < 80:
		m.ask()
	case action < 95:
		m.deliver()
	case action < 96:
		m.restart()
	case action < 97:
		m.gather()
		m.spendOn()
	default:
		m.partition()
	}
}

var _ = Describe("The quota of a fleet", func() {
	// Guards against units that are minted or given twice, or live on for ever: no split of
	// the callers and no failure may take the fleet beyond the bound.
	It("stays inside the bound in every window", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := newFleetModel(t)
			for range rapid.IntRange(100, 500).Draw(t, "length") {
				m.step()
			}
			m.check(modelBegin, m.quota)
		})
	})

	// Guards against credit of the old limit that is used long after the change.
	It("binds a lowered limit in every window that begins after the change", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := newFleetModel(t)
			for range rapid.IntRange(50, 200).Draw(t, "before") {
				m.step()
			}
			m.gather()
			m.quota.Rate *= rapid.Float64Range(0.1, 0.9).Draw(t, "lower")
			m.quota.Burst *= rapid.Float64Range(0.1, 0.9).Draw(t, "lower burst")
			for _, d := range m.daemons {
				d.ledger.SetOrganisations(m.organisations(), m.clock(d))
			}
			// What was given or charged before the change lives on for a while, as if it was
			// given to a daemon that has the change late.
			m.gifts, m.pending = nil, nil
			changed := m.now
			m.spendOn()
			for range rapid.IntRange(50, 200).Draw(t, "after") {
				m.step()
			}
			m.check(changed, m.quota)
		})
	})
})
