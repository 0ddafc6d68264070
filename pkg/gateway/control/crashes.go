package control

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
)

// Limits of the quarantine of request contents.
const (
	// crashesToQuarantine is the number of crashes from which a content is
	// considered to be their cause.
	crashesToQuarantine = 3
	// crashTTL is how long a crash counts.
	crashTTL = 90 * time.Second
	// maxContents bounds the number of tracked contents.
	maxContents = 4096
)

// crashLog counts the endpoints that crashed while they ran a request content. A
// completed request clears its content, which then did not cause the crashes.
type crashLog struct {
	contents map[request.Fingerprint]*contentCrashes
	// full is true from the first crash that does not count because maxContents
	// are tracked, until half of them have expired.
	full bool
}

type contentCrashes struct {
	attempts map[string]time.Time
	// completed is when the content was last completed; earlier crashes do not
	// count.
	completed time.Time
}

func newCrashLog() *crashLog {
	return &crashLog{contents: make(map[request.Fingerprint]*contentCrashes)}
}

// add records a crash and reports whether it was new and within the limits.
func (l *crashLog) add(crash Crash, now time.Time) bool {
	crashedAt := now.Add(-crash.Age)
	entry := l.contents[crash.Content]
	if entry == nil {
		if len(l.contents) >= maxContents {
			l.full = true
			return false
		}
		entry = &contentCrashes{attempts: make(map[string]time.Time)}
		l.contents[crash.Content] = entry
	}
	if _, seen := entry.attempts[crash.Attempt]; seen || len(entry.attempts) > crashesToQuarantine {
		return false
	}
	entry.attempts[crash.Attempt] = crashedAt
	return true
}

// count returns the number of crashes of a content since it was last completed.
func (l *crashLog) count(content request.Fingerprint) int {
	if entry := l.contents[content]; entry != nil {
		return entry.count()
	}
	return 0
}

// completed records that an endpoint completed a request with the content.
func (l *crashLog) completed(content request.Fingerprint, now time.Time) {
	if entry := l.contents[content]; entry != nil {
		entry.completed = now
	}
}

// expire removes crashes older than crashTTL.
func (l *crashLog) expire(now time.Time) {
	for content, entry := range l.contents {
		for attempt, crashedAt := range entry.attempts {
			if now.Sub(crashedAt) > crashTTL {
				delete(entry.attempts, attempt)
			}
		}
		if len(entry.attempts) == 0 {
			delete(l.contents, content)
		}
	}
	if len(l.contents) <= maxContents/2 {
		l.full = false
	}
}

// suspects returns the contents with crashes; the value is true for those that
// crashed too many endpoints and must not run.
func (l *crashLog) suspects() map[request.Fingerprint]bool {
	if len(l.contents) == 0 {
		return nil
	}
	quarantined := make(map[request.Fingerprint]bool, len(l.contents))
	for content, entry := range l.contents {
		quarantined[content] = entry.count() >= crashesToQuarantine
	}
	return quarantined
}

// count returns the number of crashes since the content was last completed.
func (c *contentCrashes) count() int {
	count := 0
	for _, crashedAt := range c.attempts {
		if crashedAt.After(c.completed) {
			count++
		}
	}
	return count
}

// recent returns crashes to send to other daemons.
func (l *crashLog) recent(now time.Time) []Crash {
	const maxReported = 32
	var reported []Crash
	for content, entry := range l.contents {
		for attempt, crashedAt := range entry.attempts {
			if len(reported) == maxReported {
				return reported
			}
			reported = append(reported, Crash{Content: content, Attempt: attempt, Age: now.Sub(crashedAt)})
		}
	}
	return reported
}
