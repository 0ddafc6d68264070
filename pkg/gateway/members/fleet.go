package members

import "time"

// Expected is what a daemon's settings tell of the fleet.
type Expected struct {
	// Others is true if there are other daemons.
	Others bool
	// DataCentres is the number of data centres with daemons; zero means unknown.
	DataCentres int
	// Daemons is the largest number of daemons that the operators run at once; zero means
	// unknown. If it is known, none divides by fewer, whatever it sees.
	Daemons int
}

// settleTime is for how long a daemon that joins the others must have seen no further one
// until the number that it has seen counts as settled.
const settleTime = 600 * time.Millisecond

// CompleteWait is for how long a daemon that has joined others waits for one of every data
// centre before it mints without: a data centre that is lost, or has no daemons, must not
// stop the rest for ever.
const CompleteWait = 20 * time.Second

// FleetSize derives the number of daemons among which this one divides what all of them
// may do together. Each data centre gets an equal part, whatever this daemon sees of the
// others: in a partition the daemons of each side may have restarted and know only each
// other. Inside a data centre the largest number that was seen divides the part, by
// whichever daemon of it.
type FleetSize struct {
	Expected Expected

	seen  int
	since time.Time
	// joinedAt is when the daemon was first seen to have joined others; zero before.
	joinedAt time.Time
}

// SharedSize is the number of daemons that share what the fleet may do.
type SharedSize struct {
	// Daemons is zero if the number is not known.
	Daemons int
	// Joined is true once the daemon has joined the others. Settled is true then, and
	// earlier once it has seen no further one for a while, or if operators told the number.
	Joined, Settled bool
	// Complete is true once the daemon, or one of which it has heard, has seen a daemon of
	// every data centre. Until then the number may be too low: it may be that of a few
	// daemons that have started cut off from the rest of their data centre. It is always
	// true if operators told the number.
	Complete bool
	// Waited is true once the daemon has joined others for CompleteWait, so that it does
	// not wait for further data centres any more.
	Waited bool
}

// MayMint reports whether the daemon may create its share of what is used up over time. It
// is true before the daemon has joined the others: after a restart of the whole fleet no
// daemon has a share to give, and callers are refused until then.
func (s SharedSize) MayMint() bool {
	return s.Daemons > 0 && s.Settled && (s.Complete || s.Waited)
}

// Observe returns the number as of a moment. It is not known while the daemon has seen no
// other one although there are some.
func (f *FleetSize) Observe(peak Peak, joining bool, now time.Time) SharedSize {
	daemons := f.Expected.size(peak)
	if daemons != f.seen {
		f.seen, f.since = daemons, now
	}
	if f.joinedAt.IsZero() && !joining && daemons > 0 {
		f.joinedAt = now
	}
	told := f.Expected.Daemons > 0
	return SharedSize{
		Daemons: daemons, Joined: !joining, Settled: told || !joining || now.Sub(f.since) >= settleTime,
		Complete: told || f.Expected.complete(peak),
		Waited:   !f.joinedAt.IsZero() && now.Sub(f.joinedAt) >= CompleteWait,
	}
}

// size returns the number as far as this daemon has seen the others; zero if it is not known.
func (e Expected) size(peak Peak) int {
	if e.Daemons > 0 {
		return max(e.Daemons, peak.Fleet)
	}
	if e.Others && peak.Fleet <= 1 {
		return 0
	}
	return max(e.DataCentres*peak.DataCentre, peak.Fleet)
}

// complete reports whether a daemon of every data centre was seen.
func (e Expected) complete(peak Peak) bool {
	return !e.Others || peak.DataCentres >= e.DataCentres
}
