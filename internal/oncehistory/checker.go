package oncehistory

import (
	"fmt"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// key is the identity that a caller gives to one order: a ticket or, without
// one, a text of its own.
type key string

// Violation is the first promise that a history broke.
type Violation struct {
	// Step counts the events before the violation.
	Step int
	// Rule names the promise.
	Rule string
	// Detail names the key and what was seen.
	Detail string
}

// String returns step, rule and detail.
func (v *Violation) String() string {
	return fmt.Sprintf("step %d: %s: %s", v.Step, v.Rule, v.Detail)
}

// The promises that the checker watches.
const (
	RuleOnce   = "a request runs at most once"
	RuleOrder  = "a caller that follows the verdicts places its order once"
	RuleNotRun = "a request told not-run never runs"
	RuleRan    = "a request told ran has run once, and the answer is its own"
	RuleOwner  = "only the incarnation that the ticket names runs it"
	RuleBare   = "a key without a ticket does not run"
	RuleLoop   = "a request is forwarded at most once"
	RuleMemory = "a ledger stays inside its bounds"
)

// checker watches the order workers and the callers of one history.
type checker struct {
	step      int
	runs      map[key]int
	orderRuns map[int]int
	notRun    map[key]bool
	first     *Violation
}

func newChecker() *checker {
	return &checker{runs: make(map[key]int), orderRuns: make(map[int]int), notRun: make(map[key]bool)}
}

func (c *checker) fail(rule, detail string) {
	if c.first == nil {
		c.first = &Violation{Step: c.step, Rule: rule, Detail: detail}
	}
}

// ran is called by an order worker that runs a key.
func (c *checker) ran(k key, order int) {
	c.runs[k]++
	c.orderRuns[order]++
	switch {
	case c.notRun[k]:
		c.fail(RuleNotRun, fmt.Sprintf("order %d ran afterwards", order))
	case c.runs[k] > 1:
		c.fail(RuleOnce, fmt.Sprintf("order %d ran %d times under one key", order, c.runs[k]))
	case c.orderRuns[order] > 1:
		c.fail(RuleOrder, fmt.Sprintf("order %d ran %d times", order, c.orderRuns[order]))
	}
}

// told is called when an answer reaches the caller.
func (c *checker) told(k key, order int, a answer) {
	switch a.verdict {
	case types.NotRun:
		c.notRun[k] = true
		if c.runs[k] > 0 {
			c.fail(RuleNotRun, fmt.Sprintf("order %d was told %s after it ran", order, a.code))
		}
	case types.Ran:
		wrongBody := a.code != types.CodeAnswerForgotten && a.body != bodyOf(k)
		if c.runs[k] != 1 || wrongBody {
			c.fail(RuleRan, fmt.Sprintf("order %d ran %d times, answer %q", order, c.runs[k], a.body))
		}
	}
}

// bodyOf is the answer that an order worker gives to a key.
func bodyOf(k key) string {
	return "done " + string(k)
}
