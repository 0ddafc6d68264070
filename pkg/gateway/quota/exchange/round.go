package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Intervals and limits of rounds.
const (
	// askTimeout bounds a question to a daemon that may ask others, spareTimeout one to a
	// daemon of the data centre that does not; serveTimeout bounds an answer, which is
	// lost if it comes later.
	askTimeout   = 700 * time.Millisecond
	spareTimeout = 150 * time.Millisecond
	serveTimeout = 450 * time.Millisecond
	// minPause and maxPause bound the time from a round that brought too little to the
	// next; each such round doubles it.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// gatherPause is the time in which the daemons of the data centre are not asked again
	// after they gave little.
	gatherPause = 100 * time.Millisecond
	// silence is how long a daemon that did not answer is not asked again.
	silence = 5 * time.Second
	// tradeIdle is how long a trade is kept after its last round.
	tradeIdle = 5 * time.Second
)

// trade is the search for credit of one organisation. Exchange.mu guards it.
type trade struct {
	// wanted is the units that requests and other daemons wait for.
	wanted float64
	// running is true while a round asks other daemons.
	running bool
	// changed is closed and replaced when credit has come or a round has ended.
	changed chan struct{}
	// pausedUntil is when the next round may begin after one that brought too little.
	pausedUntil time.Time
	pause       time.Duration
	// barrenAt is when the daemons of the data centre last gave little.
	barrenAt time.Time
	usedAt   time.Time
	// received is the units that the running round has brought.
	received float64
}

func (t *trade) idle(now time.Time) bool {
	return !t.running && t.wanted <= 0 && now.Sub(t.usedAt) > tradeIdle
}

func (e *Exchange) trade(name types.OrgName) *trade {
	known := e.trades[name]
	if known == nil {
		known = &trade{changed: make(chan struct{})}
		e.trades[name] = known
	}
	known.usedAt = e.opts.Now()
	return known
}

// want adds to the units that are waited for.
func (e *Exchange) want(name types.OrgName, units float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trade(name).wanted += units
}

// signal wakes what waits for credit of an organisation. The mutex is held.
func (e *Exchange) signal(name types.OrgName) {
	if trade := e.trades[name]; trade != nil {
		close(trade.changed)
		trade.changed = make(chan struct{})
	}
}

// startRound starts a round unless one runs or the last one brought too little. It
// reports whether a round runs, and returns a channel that is closed when credit has come
// or the round has ended. AsHolder is true to ask for another daemon.
func (e *Exchange) startRound(name types.OrgName, asHolder bool) (changed <-chan struct{}, running bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	trade := e.trade(name)
	asHolder = asHolder || e.neighbours.Holder == e.neighbours.Self || e.isSilent(e.neighbours.Holder)
	if !e.closed && !trade.running && !e.opts.Now().Before(trade.pausedUntil) {
		trade.running, trade.received = true, 0
		stages := e.neighbours.Stages(asHolder)
		e.work.Go(func() {
			defer e.endRound(name)
			// The guard logs a panic; the next round asks again.
			_ = e.opts.Guard.Do("quota", func() { e.runRound(name, stages, asHolder) })
		})
	}
	return trade.changed, trade.running
}

// runRound asks the stages until there is enough. If the holder can't be asked, this
// daemon does what the holder would do.
func (e *Exchange) runRound(name types.OrgName, stages []quota.Stage, asHolder bool) {
	answered := e.askStages(name, stages)
	if answered || asHolder {
		return
	}
	e.mu.Lock()
	stages = e.neighbours.Stages(true)
	e.mu.Unlock()
	e.askStages(name, stages)
}

// askStages reports whether any daemon answered.
func (e *Exchange) askStages(name types.OrgName, stages []quota.Stage) (answered bool) {
	for _, stage := range stages {
		need, ask := e.need(name, stage)
		if need <= 0 {
			return true
		}
		if ask && e.askAll(name, stage, need) {
			answered = true
		}
	}
	return answered
}

// need returns the units that are missing, and whether the stage may be asked now.
func (e *Exchange) need(name types.OrgName, stage quota.Stage) (units float64, ask bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, trade := e.opts.Now(), e.trade(name)
	units = e.ledger.Need(name, trade.wanted, now)
	return units, stage.Scope != quota.Spare || trade.mayGather(now)
}

// mayGather reports whether the daemons of the data centre may be asked.
func (t *trade) mayGather(now time.Time) bool {
	return now.Sub(t.barrenAt) >= gatherPause
}

// askAll asks the daemons of a stage at the same time, and reports whether any answered.
func (e *Exchange) askAll(name types.OrgName, stage quota.Stage, need float64) bool {
	timeout := askTimeout
	if stage.Scope == quota.Spare {
		timeout = spareTimeout
	}
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	defer cancel()
	ask := Ask{Organisation: name, Units: stage.Part(need), Scope: stage.Scope}
	to := e.heard(stage.To)
	answers := make([]bool, len(to))
	brought := make([]float64, len(to))
	var asking conc.WaitGroup
	for index, vm := range to {
		asking.Go(func() { brought[index], answers[index] = e.askOne(ctx, vm, ask) })
	}
	asking.Wait()
	if stage.Scope == quota.Spare {
		e.noteGathered(name, brought, need)
	}
	return slices.Contains(answers, true)
}

// noteGathered records whether the daemons of the data centre gave little.
func (e *Exchange) noteGathered(name types.OrgName, brought []float64, need float64) {
	units := 0.0
	for _, part := range brought {
		units += part
	}
	if units < fruitful*need {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.trade(name).barrenAt = e.opts.Now()
	}
}

// heard returns the daemons without those that lately did not answer.
func (e *Exchange) heard(daemons []types.VMID) []types.VMID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(daemons), e.isSilent)
}

// isSilent reports whether a daemon lately did not answer. The mutex is held.
func (e *Exchange) isSilent(vm types.VMID) bool {
	return e.opts.Now().Before(e.silentUntil[vm])
}

// noteSilence records that a daemon did not answer.
func (e *Exchange) noteSilence(vm types.VMID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil[vm] = e.opts.Now().Add(silence)
}

// askOne returns the units that a daemon gave, and whether it answered.
func (e *Exchange) askOne(ctx context.Context, to types.VMID, ask Ask) (units float64, answered bool) {
	askedAt := e.opts.Now()
	e.opts.Metrics.count(asked, ask.Units)
	answer, err := e.opts.Asker.Ask(ctx, to, ask)
	if err != nil {
		e.noteSilence(to)
		e.opts.Log.WithError(err).WithField("to", to).Debug("a daemon did not answer a question for credit")
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Receive(ask.Organisation, answer.Gifts, askedAt, e.opts.Now())
	if units = sum(answer.Gifts); units > 0 {
		e.opts.Metrics.count(received, units)
		e.trade(ask.Organisation).received += units
		e.signal(ask.Organisation)
	}
	return units, true
}

// fruitful is the part of what is still waited for that a round must have brought for the
// next one to begin without a pause.
const fruitful = 0.25

// endRound ends a round. If requests still wait and it brought little, the next one begins
// only after a pause.
func (e *Exchange) endRound(name types.OrgName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	trade, now := e.trade(name), e.opts.Now()
	trade.running = false
	if lacking := trade.wanted - e.ledger.Credit(name, now); lacking <= 0 || trade.received >= fruitful*lacking {
		trade.pause = 0
	} else {
		trade.pause = min(max(2*trade.pause, minPause), maxPause)
		trade.pausedUntil = now.Add(trade.pause)
	}
	e.signal(name)
}

func sum(gifts []quota.Gift) float64 {
	units := 0.0
	for _, gift := range gifts {
		units += gift.Units
	}
	return units
}
