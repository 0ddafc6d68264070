package crashes

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// When a trait is withheld.
const (
	// crashesToWithhold is the number of crashes, at different times, from which a
	// trait that nothing has cleared is withheld.
	crashesToWithhold = 3
	// crashesOfOneEndpoint is the same if only one endpoint crashed: it is rather the
	// endpoint that is faulty.
	crashesOfOneEndpoint = 5
	// commonCause is the time within which several crashes count once: a lost rack or
	// power supply ends many endpoints at the same moment.
	commonCause = 400 * time.Millisecond
	// When at least widespreadCrashes endpoints crash within widespreadTime, no request
	// is taken for the cause.
	widespreadCrashes = 3
	widespreadTime    = 50 * time.Millisecond
	// settleTime is how long a crash is known before it decides, so that clearances
	// arrive that are on their way.
	settleTime = 200 * time.Millisecond
	// withholdTime is how long a trait is withheld before one request may try it.
	withholdTime = 10 * time.Minute
	// forgetTime is how long after that a trait is forgotten that nobody tries.
	forgetTime = time.Hour
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// crashesToWithholdAll is the number from which several traits are withheld that
	// nothing tells apart, unless they are always in the same requests and none was in
	// a sound answer.
	crashesToWithholdAll = 5
	// crashesToSeparate is the number of further crashes, at different times, from which
	// a trait that is withheld together with others is withheld without them.
	crashesToSeparate = 2
)

// Decide withholds what explains the crashes. Sound reports whether an answer got on
// to a request with the trait at any time that this daemon remembers. It returns the
// traits that are withheld from now on.
func (l *Log) Decide(sound func(Trait) bool, now time.Time) Traits {
	var decided Traits
	for len(l.withheld) < maxWithheld {
		guilty := l.mostSuspected(sound, now)
		if len(guilty) == 0 {
			return decided
		}
		l.suspected = nil
		for _, candidate := range guilty {
			l.withhold(candidate, now)
			decided = append(decided, candidate.trait)
		}
	}
	return decided
}

// withhold withholds a trait, with no more conditions than before.
func (l *Log) withhold(c candidate, now time.Time) {
	with := c.with
	if kept, found := l.withheld[c.trait]; found {
		with = without(with, func(other Trait) bool { return !slices.Contains(kept.with, other) })
	}
	l.withheld[c.trait] = withheld{since: now, lastCrash: c.last, crashes: c.crashes, with: with}
}

// candidate is a trait that may explain crashes.
type candidate struct {
	trait     Trait
	crashes   int
	endpoints int
	last      time.Time
	sound     bool
	// found holds the crashes.
	found []*crash
	// with holds the traits that nothing tells from it and that all its requests had.
	with Traits
}

// guilty reports whether the crashes suffice to withhold the trait.
func (c candidate) guilty() bool {
	return c.crashes >= crashesToWithhold && c.endpoints > 1 || c.crashes >= crashesOfOneEndpoint
}

// mostSuspected returns the traits that explain most crashes that nothing withheld
// explains; several if nothing tells them apart: then requests are withheld that have
// all of them. A trait that was in sound answers before comes after one that never was,
// and the traits of a service come after those of all: a route may move.
func (l *Log) mostSuspected(sound func(Trait) bool, now time.Time) []candidate {
	var guilty []candidate
	for trait, found := range l.unexplained(now) {
		c := count(trait, found)
		if kept, tied := l.withheld[trait]; tied && c.crashes >= crashesToSeparate {
			c.crashes += kept.crashes
		}
		c.sound = sound(trait)
		if c.guilty() {
			guilty = append(guilty, c)
		}
	}
	rank := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), compareBool(a.sound, b.sound), cmp.Compare(a.trait&ofService, b.trait&ofService))
	}
	slices.SortFunc(guilty, func(a, b candidate) int { return cmp.Or(rank(a, b), cmp.Compare(a.trait, b.trait)) })
	tied := slices.IndexFunc(guilty, func(c candidate) bool { return rank(guilty[0], c) != 0 })
	if tied >= 0 {
		guilty = guilty[:tied]
	}
	setCompanions(guilty)
	if len(guilty) > 1 && guilty[0].crashes < crashesToWithholdAll && (guilty[0].sound || !alwaysTogether(guilty)) {
		return nil
	}
	return narrowest(guilty)
}

// unexplained returns the settled crashes that nothing withheld explains, by the
// traits that they suspect.
func (l *Log) unexplained(now time.Time) map[Trait][]*crash {
	found := make(map[Trait][]*crash)
	for _, c := range l.crashes {
		if now.Sub(c.knownAt) < settleTime || l.explained(c) || l.widespread(c) {
			continue
		}
		for trait := range c.suspects {
			found[trait] = append(found[trait], c)
		}
	}
	return found
}

// widespread reports whether many endpoints crashed at the same moment.
func (l *Log) widespread(c *crash) bool {
	crashed := 0
	for _, other := range l.crashes {
		if other.at.Sub(c.at).Abs() <= widespreadTime {
			crashed++
		}
	}
	return crashed >= widespreadCrashes
}

// count counts the crashes of a trait, those at the same moment once.
func count(trait Trait, found []*crash) candidate {
	slices.SortFunc(found, func(a, b *crash) int { return a.at.Compare(b.at) })
	c := candidate{trait: trait, found: found}
	endpoints := make(map[types.EndpointID]bool)
	counted := time.Time{}
	for _, crash := range found {
		endpoints[crash.endpoint] = true
		c.last = crash.at
		if counted.IsZero() || crash.at.Sub(counted) >= commonCause {
			c.crashes++
			counted = crash.at
		}
	}
	c.endpoints = len(endpoints)
	return c
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// NextDecision returns when the next crash will have settled; zero if all have.
func (l *Log) NextDecision(now time.Time) time.Time {
	next := time.Time{}
	for _, c := range l.crashes {
		if settled := c.knownAt.Add(settleTime); settled.After(now) && (next.IsZero() || settled.Before(next)) {
			next = settled
		}
	}
	return next
}
