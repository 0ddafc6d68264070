package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/freshness"
)

// Figures of the model.
const (
	modelSeeds   = 2000
	modelDaemons = 4
	modelSteps   = 400
	modelStep    = 50 * time.Millisecond
	modelLimit   = 5 * time.Second
	configKey    = "config"
)

// modelStore is the store: it acknowledges versions of the configuration, each of which takes
// the credential of the one before away.
type modelStore struct {
	era, revision, version, atRevision uint64
	// copied is the state that a restoration brings back.
	copied [3]uint64
	// rewriteAt is when the operator writes again what a restoration lost; zero if nothing.
	rewriteAt time.Time
	restored  time.Time
}

func (s *modelStore) write(version uint64) {
	s.revision++
	s.version, s.atRevision = version, s.revision
}

func (s *modelStore) record() catalog.Record {
	config := &catalog.Config{Version: s.version, Organisations: []*catalog.Organisation{{
		Name: "o", Credentials: []catalog.CredentialDigest{digestOf(s.version)},
	}}}
	return catalog.Record{Key: configKey, Revision: s.atRevision, Era: s.era, Config: config}
}

func digestOf(version uint64) catalog.CredentialDigest {
	return catalog.DigestOf(fmt.Sprint("credential of version ", version))
}

// modelDaemon is a daemon. Its clock runs with that of the model, also while it is suspended.
type modelDaemon struct {
	state        *catalog.State
	confirmation *freshness.Confirmation
	suspended    int
	// cutOff and refused are true while it reaches no peer or no store.
	cutOff, refused bool
	epoch           int
}

func (d *modelDaemon) restart() {
	d.state, d.confirmation = catalog.NewState(), &freshness.Confirmation{}
	d.epoch++
}

func (d *modelDaemon) settle() {
	d.confirmation.Settle(d.state.Applied(), d.state.ConfigVersion())
}

// event is something that happens later: an answer that arrives.
type event struct {
	at    time.Time
	to    *modelDaemon
	epoch int
	run   func(now time.Time)
}

// model plays daemons, a store and the messages between them.
type model struct {
	seed    uint64
	rand    *rand.Rand
	now     time.Time
	store   *modelStore
	daemons []*modelDaemon
	events  []event
	// withdrawn is when each version was first acknowledged: the credential of the
	// version before is taken away.
	withdrawn map[uint64]time.Time
	// storeDown makes the store answer nobody.
	storeDown bool
	admitted  int
	// delay is the longest time that a message is on its way.
	delay time.Duration
}

func newModel(seed uint64) *model {
	m := &model{
		seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000, 0), store: &modelStore{era: 1},
		withdrawn: map[uint64]time.Time{},
	}
	m.delay = time.Duration(1+m.rand.IntN(2000)) * time.Millisecond
	for range modelDaemons {
		daemon := &modelDaemon{}
		daemon.restart()
		m.daemons = append(m.daemons, daemon)
	}
	m.publish()
	return m
}

// publish acknowledges the next version.
func (m *model) publish() {
	next := uint64(len(m.withdrawn) + 1)
	m.store.write(next)
	m.withdrawn[next] = m.now
}

// later lets something happen at a daemon after a random time, unless it is lost or the
// daemon has restarted by then.
func (m *model) later(to *modelDaemon, run func(now time.Time)) {
	if m.rand.IntN(8) == 0 {
		return
	}
	at := m.now.Add(time.Duration(m.rand.Int64N(int64(m.delay))))
	m.events = append(m.events, event{at: at, to: to, epoch: to.epoch, run: run})
}

// read lets a daemon read the whole store, or only its position.
func (m *model) read(d *modelDaemon) {
	if m.storeDown || d.refused {
		return
	}
	askedAt, whole := m.now, m.rand.IntN(2) == 0
	// The question is on its way, then the answer.
	m.events = append(m.events, event{at: m.now.Add(time.Duration(m.rand.Int64N(int64(m.delay)))), to: d, epoch: d.epoch, run: func(time.Time) {
		if m.storeDown {
			return
		}
		record, position := m.store.record(), catalog.Position{Era: m.store.era, Revision: m.store.revision}
		m.later(d, func(now time.Time) {
			if position.Era < d.state.Applied().Era {
				return
			}
			if whole {
				d.state.Replace([]catalog.Record{record}, position, 0, now)
			}
			if d.state.ShowsAll(position, askedAt) {
				d.confirmation.RecordReading(position, askedAt)
			}
		})
	}})
}

// ask lets a daemon ask another one, which replies with what it has.
func (m *model) ask(from, to *modelDaemon) {
	if from.cutOff || to.cutOff {
		return
	}
	askedAt, applied, version := m.now, from.state.Applied(), from.state.ConfigVersion()
	m.later(to, func(now time.Time) {
		to.confirmation.RecordVersion(version)
		reply := to.state.Since(applied, now)
		replied, age := to.state.ConfigVersion(), to.confirmation.Age(now)
		m.later(from, func(now time.Time) {
			from.confirmation.RecordVersion(replied)
			from.state.Apply(reply, now)
			from.confirmation.RecordReply(replied, age, askedAt)
		})
	})
}

// restore brings the store back from a copy. The operator soon writes again what it lost.
func (m *model) restore() {
	lost := m.store.version
	m.store.era++
	m.store.version, m.store.revision, m.store.atRevision = m.store.copied[0], m.store.copied[1], m.store.copied[2]
	m.store.restored = m.now
	if lost > m.store.version {
		m.store.rewriteAt = m.now.Add(time.Duration(m.rand.Int64N(int64(time.Second))))
	}
}

// disturb changes what works.
func (m *model) disturb() {
	daemon := m.daemons[m.rand.IntN(len(m.daemons))]
	calm := m.now.Sub(m.store.restored) > 3*time.Second
	switch m.rand.IntN(12) {
	case 0:
		m.storeDown = !m.storeDown
	case 1, 2:
		daemon.cutOff = !daemon.cutOff
	case 3, 4:
		daemon.refused = !daemon.refused
	case 5:
		daemon.suspended = m.rand.IntN(200)
	case 6:
		if calm {
			daemon.restart()
		}
	case 7:
		m.store.copied = [3]uint64{m.store.version, m.store.revision, m.store.atRevision}
	case 8:
		// The daemons are in touch with the store before it is lost: only then do they
		// see that it came back.
		if calm && m.store.copied[0] > 0 && m.allHaveRead() {
			m.restore()
		}
	case 9, 10, 11:
		if m.store.rewriteAt.IsZero() {
			m.publish()
		}
	}
}

// allHaveRead reports whether every daemon has a configuration.
func (m *model) allHaveRead() bool {
	for _, daemon := range m.daemons {
		if daemon.state.ConfigVersion() == 0 {
			return false
		}
	}
	return true
}

// step advances the model.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if !m.store.rewriteAt.IsZero() && !m.now.Before(m.store.rewriteAt) {
		m.store.write(uint64(len(m.withdrawn)))
		m.store.rewriteAt = time.Time{}
	}
	if m.rand.IntN(10) == 0 {
		m.disturb()
	}
	due := m.events
	m.events = nil
	for _, e := range due {
		switch {
		case e.epoch != e.to.epoch:
		case e.at.After(m.now) || e.to.suspended > 0:
			m.events = append(m.events, e)
		default:
			e.run(m.now)
		}
	}
	for _, daemon := range m.daemons {
		if daemon.suspended > 0 {
			daemon.suspended--
			continue
		}
		// Several answers may come between two snapshots.
		if m.rand.IntN(3) > 0 {
			daemon.settle()
		}
		daemon.state.Expire(m.now)
		if m.rand.IntN(6) == 0 {
			m.read(daemon)
		}
		if m.rand.IntN(4) == 0 {
			m.ask(daemon, m.daemons[m.rand.IntN(len(m.daemons))])
		}
		m.admit(daemon)
	}
}

// admit lets callers with every credential try a daemon, and checks those that it admits.
func (m *model) admit(d *modelDaemon) {
	config := d.state.View(m.now).Config
	until := freshness.TrustedUntil(d.confirmation.At(), modelLimit)
	if config == nil || until.IsZero() || !m.now.Before(until) {
		return
	}
	for version := range uint64(len(m.withdrawn)) {
		if config.OrganisationOf(digestOf(version)) == nil {
			continue
		}
		m.admitted++
		if withdrawnAt, gone := m.withdrawn[version+1]; gone {
			Expect(m.now.Sub(withdrawnAt)).To(BeNumerically("<=", modelLimit), "seed %d: the credential of version %d", m.seed, version)
		}
	}
}

var _ = Describe("daemons that a credential was taken away from", func() {
	It("admit it no longer than the limit, whatever fails", func() {
		admitted := 0
		for seed := range uint64(modelSeeds) {
			m := newModel(seed)
			for range modelSteps {
				m.step()
			}
			admitted += m.admitted
		}
		Expect(admitted).To(BeNumerically(">", modelSeeds*modelSteps/4), "requests that were admitted")
	})
})
