package crashes

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Crash is a crash of an endpoint, as one daemon or several saw it.
type Crash struct {
	Endpoint types.EndpointID `json:"endpoint"`
	// Age is how long ago the endpoint crashed.
	Age time.Duration `json:"age"`
	// Suspects are the traits of the requests that it ran and whose answers had not
	// got on.
	Suspects Traits `json:"suspects,omitempty"`
	// Requests holds the numbers of suspects that were in one request each, in their
	// order. Suspects beyond the sum are not told apart by request.
	Requests []int `json:"requests,omitempty"`
}

// Clearance says that an answer got on to a request with the trait.
type Clearance struct {
	Trait Trait         `json:"trait"`
	Age   time.Duration `json:"age"`
}

// Withheld is a trait that no request to an endpoint may have, alone or together with
// others.
type Withheld struct {
	Trait Trait `json:"trait"`
	// With holds the traits that a request must have as well to be withheld: nothing
	// has told them apart yet.
	With Traits `json:"with,omitempty"`
	// Age is how long ago the last crash was that is due to the trait.
	Age time.Duration `json:"age"`
	// Since is how long ago it was withheld, and Crashes how many crashes led to it.
	Since   time.Duration `json:"since"`
	Crashes int           `json:"crashes"`
}

// Evidence is what a daemon tells the others.
type Evidence struct {
	Crashes    []Crash     `json:"crashes,omitempty"`
	Clearances []Clearance `json:"clearances,omitempty"`
	Withheld   []Withheld  `json:"withheld,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (e Evidence) Empty() bool {
	return len(e.Crashes)+len(e.Clearances)+len(e.Withheld) == 0
}

// News returns what this daemon has learnt lately, for the others.
func (l *Log) News(now time.Time) Evidence {
	return l.evidence(now, newsTime, maxNews)
}

// All returns all that this daemon knows, for a daemon that has just started.
func (l *Log) All(now time.Time) Evidence {
	return l.evidence(now, crashTTL, maxCrashes)
}

// evidence returns what is withheld, and what was learnt within a time and may still
// decide: the newest crashes that nothing withheld explains and no lost rack.
func (l *Log) evidence(now time.Time, within time.Duration, most int) Evidence {
	var evidence Evidence
	for _, c := range slices.Backward(l.crashes) {
		if len(evidence.Crashes) == most {
			break
		}
		if now.Sub(c.knownAt) < within && len(c.suspects) > 0 && !l.explained(c) && !l.widespread(c) {
			report := c.report()
			report.Age = now.Sub(c.at)
			evidence.Crashes = append(evidence.Crashes, report)
		}
	}
	for trait, known := range l.cleared {
		if now.Before(known.tellUntil) {
			evidence.Clearances = append(evidence.Clearances, Clearance{Trait: trait, Age: now.Sub(known.at)})
		}
	}
	for trait, kept := range l.withheld {
		evidence.Withheld = append(evidence.Withheld, Withheld{Trait: trait, With: kept.with, Age: now.Sub(kept.lastCrash), Since: now.Sub(kept.since), Crashes: kept.crashes})
	}
	return evidence
}

// age bounds an age that another daemon tells.
func age(told time.Duration) time.Duration {
	return min(max(told, 0), maxAge)
}
