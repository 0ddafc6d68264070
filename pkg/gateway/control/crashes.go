package control

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
)

// Limits of the quarantine of contents.
const (
	// crashesToQuarantine is the number of crashes after which a content is
	// taken to be their cause.
	crashesToQuarantine = 3
	// crashMemory is how long a crash counts.
	crashMemory = 90 * time.Second
	// maxContents bounds the contents remembered.
	maxContents = 4096
)

// crashLog counts the endpoints that broke off while they ran a content. A
// content that is completed somewhere is not to blame.
type crashLog struct {
	contents map[request.Fingerprint]*contentCrashes
}

type contentCrashes struct {
	attempts map[string]time.Time
	// completed is when the content was last completed; it clears it.
	completed time.Time
}

func newCrashLog() *crashLog {
	return &crashLog{contents: make(map[request.Fingerprint]*contentCrashes)}
}

// add takes a crash and reports whether it was new.
func (l *crashLog) add(crash Crash, now time.Time) bool {
	at := now.Add(-crash.Age)
	known := l.contents[crash.Content]
	if known == nil {
		if len(l.contents) >= maxContents {
			return false
		}
		known = &contentCrashes{attempts: make(map[string]time.Time)}
		l.contents[crash.Content] = known
	}
	if _, told := known.attempts[crash.Attempt]; told || len(known.attempts) > crashesToQuarantine {
		return false
	}
	known.attempts[crash.Attempt] = at
	return true
}

// count is the number of crashes of a content since it was last completed.
func (l *crashLog) count(content request.Fingerprint) int {
	if known := l.contents[content]; known != nil {
		return known.count()
	}
	return 0
}

// completed notes that an endpoint answered the content.
func (l *crashLog) completed(content request.Fingerprint, now time.Time) {
	if known := l.contents[content]; known != nil {
		known.completed = now
	}
}

// expire forgets old crashes.
func (l *crashLog) expire(now time.Time) {
	for content, known := range l.contents {
		for attempt, at := range known.attempts {
			if now.Sub(at) > crashMemory {
				delete(known.attempts, attempt)
			}
		}
		if len(known.attempts) == 0 {
			delete(l.contents, content)
		}
	}
}

// suspects returns the contents with crashes; true for those that crashed too
// many endpoints and must not run.
func (l *crashLog) suspects() map[request.Fingerprint]bool {
	if len(l.contents) == 0 {
		return nil
	}
	found := make(map[request.Fingerprint]bool, len(l.contents))
	for content, known := range l.contents {
		found[content] = known.count() >= crashesToQuarantine
	}
	return found
}

// count is the number of crashes since the content was last completed.
func (c *contentCrashes) count() int {
	count := 0
	for _, at := range c.attempts {
		if at.After(c.completed) {
			count++
		}
	}
	return count
}

// recent returns crashes to tell other daemons.
func (l *crashLog) recent(now time.Time) []Crash {
	const maxTold = 32
	var told []Crash
	for content, known := range l.contents {
		for attempt, at := range known.attempts {
			if len(told) == maxTold {
				return told
			}
			told = append(told, Crash{Content: content, Attempt: attempt, Age: now.Sub(at)})
		}
	}
	return told
}
