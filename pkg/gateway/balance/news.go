package balance

import "time"

// Times of the news of the store.
const (
	// defaultWatchTimeout is the default of Bounds.WatchTimeout.
	defaultWatchTimeout = 1200 * time.Millisecond
	// newsMargin is the time in which what a watch of the store returned reaches the
	// daemons of the region.
	newsMargin = 800 * time.Millisecond
	// newsSettleTime is how long after an outage of the store endpoints may not
	// have told yet that they turned cold in it: they write with their heartbeats.
	newsSettleTime = 2200 * time.Millisecond
	// newsLookahead is the longest time between two snapshots of the control state,
	// with a margin: who looks after endpoints only then has to begin before the
	// news is too old.
	newsLookahead = 600 * time.Millisecond
)

// news tells how recent the published state is that this daemon knows.
type news struct {
	// limit is the age of the newest news from which on endpoints may have turned cold
	// without being known to: watches of the store bring news more often.
	limit time.Duration
	// readAt is when it was read from the store, by whichever daemon; zero if
	// nothing is known of it.
	readAt time.Time
	// settledAt is when news that was too old for a time is recent again.
	settledAt time.Time
}

// newNews returns the news of a store whose watches wait for a time.
func newNews(watchTimeout time.Duration) news {
	if watchTimeout == 0 {
		watchTimeout = defaultWatchTimeout
	}
	return news{limit: watchTimeout + newsMargin}
}

// record records that the state of the store at a time has become known.
func (n *news) record(readAt, now time.Time) {
	if !readAt.After(n.readAt) {
		return
	}
	if !n.readAt.IsZero() && now.Sub(n.readAt) > n.limit {
		n.settledAt = now.Add(newsSettleTime)
	}
	n.readAt = readAt
}

// missing reports whether endpoints may have turned cold without news of it.
func (n *news) missing(now time.Time) bool {
	return !n.readAt.IsZero() && (now.Sub(n.readAt) > n.limit || now.Before(n.settledAt))
}

// RecordNews records when the published state that this daemon knows was read from
// the store. While this is too long ago, and until endpoints have had the time to
// tell of what happened meanwhile, each of them may be cold. A zero time is ignored.
func (p *Pool) RecordNews(readAt, now time.Time) {
	p.news.record(readAt, now)
}
