package stopsignal

import "time"

// CheckInterval is the time between two checks.
const CheckInterval = checkInterval

// Quiet is the account of the checks.
type Quiet struct{ quiet }

// NewQuiet returns an account whose first check was at a time.
func NewQuiet(now time.Time) *Quiet { return &Quiet{newQuiet(now)} }

// Check records that no signal was found at a time.
func (q *Quiet) Check(now time.Time) { q.check(now) }

// Proven returns the last moment by which no signal had been sent.
func (q *Quiet) Proven() time.Time { return q.proven }
