package crashes

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of what is kept and sent.
const (
	maxCrashes    = 128
	maxSuspects   = 512
	maxClearances = 1024
	maxWithheld   = 256
	// maxNews bounds the crashes of one message; a daemon that joins gets all.
	maxNews = 16
	// sameCrash is the time within which reports of an endpoint are of one crash; a
	// crashed endpoint takes longer to start again.
	sameCrash = time.Second
	// newsTime is how long a daemon tells everybody what was new to it.
	newsTime = 8 * time.Second
	// maxAge bounds the ages that other daemons tell.
	maxAge = 24 * time.Hour
)

// crash is a Crash with the time at which it happened and the time since which this
// daemon has known it.
type crash struct {
	endpoint types.EndpointID
	at       time.Time
	knownAt  time.Time
	suspects map[Trait]bool
	// requests holds the traits of each request, as far as reports tell them apart.
	requests []map[Trait]bool
}

// clearance is a Clearance with times.
type clearance struct {
	at time.Time
	// tellUntil is until when others are told. Only what was new to this daemon is told
	// on: each daemon that passes a clearance on adds the time of the way to it.
	tellUntil time.Time
}

// withheld is a Withheld with times.
type withheld struct {
	since, lastCrash time.Time
	crashes          int
	// with is never changed, since snapshots hold it.
	with Traits
}

// Log holds the evidence that a daemon knows. It is not safe for concurrent use.
type Log struct {
	crashes  []*crash
	cleared  map[Trait]clearance
	withheld map[Trait]withheld
	// full is true from the first evidence that is dropped because there is too much,
	// until half of the crashes have expired.
	full bool
	// suspected is what Suspected returns; nil if it has to be built anew. It is never
	// changed, since snapshots hold it.
	suspected map[Trait]bool
}

// NewLog returns a log without evidence.
func NewLog() *Log {
	return &Log{cleared: make(map[Trait]clearance), withheld: make(map[Trait]withheld)}
}

// AddCrash records a crash. It reports whether that told anything new.
func (l *Log) AddCrash(report Crash, now time.Time) bool {
	at := now.Add(-age(report.Age))
	if now.Sub(at) > crashTTL {
		return false
	}
	known := l.find(report.Endpoint, at)
	isNew := known == nil
	if isNew {
		known = &crash{endpoint: report.Endpoint, at: at, knownAt: now, suspects: make(map[Trait]bool)}
		l.crashes = append(l.crashes, known)
	}
	// Each daemon that passes a crash on adds the time of the way to its age.
	if at.Before(known.at) {
		known.at = at
	}
	for _, request := range report.requests() {
		known.addRequest(request)
	}
	for _, trait := range report.Suspects {
		if known.suspects[trait] || !known.at.After(l.cleared[trait].at) {
			continue
		}
		if len(known.suspects) >= maxSuspects {
			l.full = true
			break
		}
		known.suspects[trait] = true
		isNew = true
		if kept, found := l.withheld[trait]; found && known.at.After(kept.lastCrash) && known.suspectsTogether(trait, kept.with) {
			kept.lastCrash = known.at
			l.withheld[trait] = kept
		}
	}
	l.limitCrashes()
	if isNew {
		l.suspected = nil
	}
	return isNew
}

// Full reports whether evidence was dropped lately because there is too much.
func (l *Log) Full() bool {
	return l.full
}

// find returns the known crash of an endpoint at a time; nil if there is none.
func (l *Log) find(endpoint types.EndpointID, at time.Time) *crash {
	for _, known := range l.crashes {
		if known.endpoint == endpoint && known.at.Sub(at).Abs() < sameCrash {
			return known
		}
	}
	return nil
}

// limitCrashes drops crashes beyond the limit: first those that suspect nothing, then
// the oldest that nothing withheld explains.
func (l *Log) limitCrashes() {
	for len(l.crashes) > maxCrashes {
		index := slices.IndexFunc(l.crashes, func(c *crash) bool { return len(c.suspects) == 0 })
		if index < 0 {
			index = max(slices.IndexFunc(l.crashes, func(c *crash) bool { return !l.explained(c) }), 0)
			l.full = true
		}
		l.crashes = slices.Delete(l.crashes, index, index+1)
	}
}

// explained reports whether something that is withheld was in the crash.
func (l *Log) explained(c *crash) bool {
	for trait, kept := range l.withheld {
		if c.suspectsTogether(trait, kept.with) {
			return true
		}
	}
	return false
}

// Clear records that an answer has just got on to a request with the trait. It
// reports whether that cleared the trait of anything.
func (l *Log) Clear(trait Trait, now time.Time) bool {
	return l.clear(trait, now, now)
}

func (l *Log) clear(trait Trait, at, now time.Time) bool {
	known := l.cleared[trait]
	if !at.After(known.at) {
		return false
	}
	changed := l.clearWithheld(trait, at)
	for _, c := range l.crashes {
		if c.suspects[trait] && !c.at.After(at) {
			delete(c.suspects, trait)
			changed = true
		}
	}
	known.at = at
	if changed {
		l.suspected = nil
		known.tellUntil = now.Add(newsTime)
	}
	l.cleared[trait] = known
	if len(l.cleared) > maxClearances {
		l.dropOldestClearance()
	}
	return changed
}

// clearWithheld ends what is withheld for a trait that was in a sound answer after the
// last crash, and what is withheld only together with it is withheld alone.
func (l *Log) clearWithheld(cleared Trait, at time.Time) bool {
	changed := false
	for trait, kept := range l.withheld {
		switch {
		case !at.After(kept.lastCrash):
		case trait == cleared:
			delete(l.withheld, trait)
			changed = true
		case slices.Contains(kept.with, cleared):
			kept.with = without(kept.with, func(other Trait) bool { return other == cleared })
			l.withheld[trait] = kept
			changed = true
		}
	}
	return changed
}

// without returns a copy of the traits without some.
func without(traits Traits, drop func(Trait) bool) Traits {
	return slices.DeleteFunc(slices.Clone(traits), drop)
}

func (l *Log) dropOldestClearance() {
	var oldest Trait
	oldestAt := time.Time{}
	for trait, known := range l.cleared {
		if oldestAt.IsZero() || known.at.Before(oldestAt) {
			oldest, oldestAt = trait, known.at
		}
	}
	delete(l.cleared, oldest)
}

// Merge adds the evidence of another daemon and reports whether any was new.
func (l *Log) Merge(evidence Evidence, now time.Time) bool {
	changed := false
	for _, clearance := range evidence.Clearances[:min(len(evidence.Clearances), maxClearances)] {
		changed = l.clear(clearance.Trait, now.Add(-age(clearance.Age)), now) || changed
	}
	for _, report := range evidence.Crashes[:min(len(evidence.Crashes), maxCrashes)] {
		changed = l.AddCrash(report, now) || changed
	}
	for _, told := range evidence.Withheld[:min(len(evidence.Withheld), maxWithheld)] {
		changed = l.adopt(told, now) || changed
	}
	return changed
}

// adopt takes over what another daemon withholds, unless it was cleared since.
func (l *Log) adopt(told Withheld, now time.Time) bool {
	lastCrash, since := now.Add(-age(told.Age)), now.Add(-age(told.Since))
	if !lastCrash.After(l.cleared[told.Trait].at) || now.Sub(lastCrash) > withholdTime+forgetTime {
		return false
	}
	kept, found := l.withheld[told.Trait]
	if !found && len(l.withheld) >= maxWithheld {
		return false
	}
	with := without(told.With, func(other Trait) bool { return l.cleared[other].at.After(lastCrash) })
	if found {
		// Traits are told apart one after the other, and never tied again.
		with = without(kept.with, func(other Trait) bool { return !slices.Contains(with, other) })
	}
	narrowed := len(with) < len(kept.with)
	if !found || narrowed || lastCrash.After(kept.lastCrash.Add(sameCrash)) {
		l.suspected = nil
		next := withheld{since: since, lastCrash: lastCrash, crashes: max(told.Crashes, kept.crashes), with: with}
		if found && !lastCrash.After(kept.lastCrash.Add(sameCrash)) {
			next.since, next.lastCrash = kept.since, kept.lastCrash
		}
		l.withheld[told.Trait] = next
	}
	return !found || narrowed
}

// Expire drops what no longer counts.
func (l *Log) Expire(now time.Time) {
	tracked, kept := len(l.crashes), len(l.withheld)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > crashTTL })
	if len(l.crashes) <= maxCrashes/2 {
		l.full = false
	}
	maps.DeleteFunc(l.cleared, func(_ Trait, known clearance) bool { return now.Sub(known.at) > crashTTL })
	maps.DeleteFunc(l.withheld, func(_ Trait, kept withheld) bool { return now.Sub(kept.lastCrash) > withholdTime+forgetTime })
	if len(l.crashes) < tracked || len(l.withheld) < kept {
		l.suspected = nil
	}
}

// Suspected returns the traits of which answers should be reported: those that a
// crash suspects and those that are withheld. The map must not be changed.
func (l *Log) Suspected() map[Trait]bool {
	if l.suspected != nil {
		return l.suspected
	}
	l.suspected = make(map[Trait]bool)
	for _, c := range l.crashes {
		for trait := range c.suspects {
			l.suspected[trait] = true
		}
	}
	for trait, kept := range l.withheld {
		l.suspected[trait] = true
		for _, other := range kept.with {
			l.suspected[other] = true
		}
	}
	return l.suspected
}

// Verdict is the state of a withheld trait.
type Verdict struct {
	// Since is when it was withheld, because of so many crashes.
	Since   time.Time
	Crashes int
	// RetryAt is when one request may try it.
	RetryAt time.Time
	// With holds the traits that a request must have as well to be withheld.
	With Traits
}

// Applies reports whether the verdict on one of these traits of a request withholds
// the request.
func (v Verdict) Applies(request Traits) bool {
	return !slices.ContainsFunc(v.With, func(other Trait) bool { return !slices.Contains(request, other) })
}

// Withheld returns the traits that no request to an endpoint may have, alone or
// together with others; nil if there is none.
func (l *Log) Withheld() map[Trait]Verdict {
	if len(l.withheld) == 0 {
		return nil
	}
	verdicts := make(map[Trait]Verdict, len(l.withheld))
	for trait, kept := range l.withheld {
		verdicts[trait] = Verdict{
			Since: kept.since, Crashes: kept.crashes, RetryAt: kept.lastCrash.Add(withholdTime), With: kept.with,
		}
	}
	return verdicts
}
