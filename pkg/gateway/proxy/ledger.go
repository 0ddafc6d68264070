package proxy

import "time"

// windowBuckets is the number of buckets into which the window of the retry budget
// is divided.
const windowBuckets = 20

// ledger counts the requests and the retries of one service at one daemon.
//
// The fleet's budget binds in every window, whenever it begins: the retries that
// arrive in it are at most a ratio of the requests of that window, of the one before
// it or of the one half a window before it, whichever has most, plus a fixed number.
// Daemons don't know each other's counts, and load moves between them, so the largest
// of a daemon's own three numbers is no bound. All of them use the same weighted mean
// of the three instead: a sum of such means is never more than the largest sum. Each
// daemon keeps the bound for its own counts, in every window in which a retry may
// arrive, so the sum over all daemons keeps it too.
//
// Buckets that a window covers in part count in full for retries and not at all for
// requests.
type ledger struct {
	bucket time.Duration
	// newestStart is when the newest bucket began.
	newestStart time.Time
	// buckets are the counts, newest first.
	buckets []bucketCounts
	// delay is arrivalTime in buckets.
	delay int
}

// bucketCounts are the requests offered and the retries spent in one bucket.
type bucketCounts struct {
	requests int
	retries  int
}

func newLedger(window time.Duration, now time.Time) *ledger {
	bucket := window / windowBuckets
	delay := int((arrivalTime + bucket - 1) / bucket)
	return &ledger{
		bucket: bucket, newestStart: now, delay: delay,
		buckets: make([]bucketCounts, 2*windowBuckets+delay+1),
	}
}

// advance starts new buckets for the time that has passed.
func (l *ledger) advance(now time.Time) {
	steps := int(now.Sub(l.newestStart) / l.bucket)
	if steps <= 0 {
		return
	}
	l.newestStart = l.newestStart.Add(time.Duration(steps) * l.bucket)
	dropped := min(steps, len(l.buckets))
	copy(l.buckets[dropped:], l.buckets)
	clear(l.buckets[:dropped])
}

// permits reports whether another retry may be spent now: in no window in which it
// can arrive are there more retries than the ratio and the share allow. Windows are
// told apart by the bucket in which they begin; negative ones are still to come.
func (l *ledger) permits(ratio, share float64) bool {
	for begin := -l.delay; begin <= windowBuckets; begin++ {
		retries := l.sum(0, begin+l.delay).retries
		if float64(retries+1) > l.offered(begin)*ratio+share {
			return false
		}
	}
	return true
}

// Weights of the mean in offered; their sum is one. The window before weighs most: a
// failure makes many retries at once, after a time of steady load. The other two
// permit retries soon after the start of a daemon.
const (
	previousWeight    = 0.6
	overlappingWeight = 0.2
	currentWeight     = 0.2
)

// offered returns the weighted mean of the requests in the window that begins in a
// bucket, in the window before it, and in the one half a window before it.
func (l *ledger) offered(begin int) float64 {
	const half = windowBuckets / 2
	current := l.sum(begin-windowBuckets+1, begin-1).requests
	overlapping := l.sum(begin-half+1, begin+half-1).requests
	previous := l.sum(begin+1, begin+windowBuckets-1).requests
	return currentWeight*float64(current) + overlappingWeight*float64(overlapping) + previousWeight*float64(previous)
}

// sum returns the counts of the buckets from newest to oldest, both included; it
// ignores buckets that don't exist.
func (l *ledger) sum(newest, oldest int) bucketCounts {
	var total bucketCounts
	for i := max(newest, 0); i <= min(oldest, len(l.buckets)-1); i++ {
		total.requests += l.buckets[i].requests
		total.retries += l.buckets[i].retries
	}
	return total
}

// refund takes back a retry that was spent at a time.
func (l *ledger) refund(spentAt time.Time) {
	index := 0
	if age := l.newestStart.Sub(spentAt); age > 0 {
		index = int((age + l.bucket - 1) / l.bucket)
	}
	if index < len(l.buckets) && l.buckets[index].retries > 0 {
		l.buckets[index].retries--
	}
}
