package entry

// Internals of the package that the tests use.
const (
	SuccessLines = successLines
	LineBuffer   = lineBuffer
)

var (
	NewLog        = newLog
	NewRequestLog = newRequestLog
	NewLineWriter = newLineWriter
)

// Dropped returns the number of dropped lines.
func (w *lineWriter) Dropped() int64 {
	return w.dropped.Load()
}
