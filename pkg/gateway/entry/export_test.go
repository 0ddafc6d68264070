package entry

import (
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Internals of the package that the tests use.
const (
	SuccessLines = successLines
	LineBuffer   = lineBuffer
	NoticeLines  = noticeLines
)

var (
	NewLog        = newLog
	NewRequestLog = newRequestLog
	NewNoticeLog  = newNoticeLog
	NewLineWriter = newLineWriter
)

// Dropped returns the number of dropped lines.
func (w *lineWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Observe passes on what an endpoint said of itself.
func (l *noticeLog) Observe(endpoint *catalog.Endpoint, notice balance.Notice, change balance.Change) {
	l.observe(endpoint, notice, change)
}
