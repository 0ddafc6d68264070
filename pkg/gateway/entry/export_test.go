package entry

// What the tests see of the package's internals.
const (
	AnswerLines = answerLines
	LineBuffer  = lineBuffer
)

var (
	NewLog        = newLog
	NewRequestLog = newRequestLog
	NewLineWriter = newLineWriter
)

// Dropped counts the lines that were dropped.
func (w *lineWriter) Dropped() int64 {
	return w.dropped.Load()
}
