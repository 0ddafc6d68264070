package entry

import (
	"io"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/jsonlog"
)

// Bounds of the log.
const (
	// failureLines and answerLines bound the lines a second about requests that
	// failed and that were answered; bursts are as long as two seconds of them.
	failureLines = 40
	answerLines  = 4
	// libraryLines bounds the lines a second of libraries, maxLibraryLine the
	// bytes of one: some quote what a peer sent.
	libraryLines   = 1
	maxLibraryLine = 300
	// lineBuffer bounds the lines that wait to be written.
	lineBuffer = 512
)

// lineWriter writes lines from a goroutine of its own, so that a slow reader of
// the log never holds up a request. Lines beyond the buffer are dropped and
// counted.
type lineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

var _ io.Writer = (*lineWriter)(nil)

func newLineWriter() *lineWriter {
	return &lineWriter{lines: make(chan []byte, lineBuffer)}
}

// Write implements io.Writer.
func (w *lineWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until stop is closed, and then those that wait.
func (w *lineWriter) run(to io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-w.lines:
			// Where the log itself can't be written, nobody can be told.
			_, _ = to.Write(line)
		case <-stop:
			w.rest(to)
			return
		}
	}
}

func (w *lineWriter) rest(to io.Writer) {
	for range len(w.lines) {
		_, _ = to.Write(<-w.lines)
	}
}

// newLog returns a logger of JSON lines.
func newLog(to io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(to)
	log.SetFormatter(jsonlog.Formatter{})
	return log
}

// libraryLog writes lines of the standard logger, which libraries use, as JSON
// lines within a bound.
type libraryLog struct {
	log   logrus.FieldLogger
	limit *rate.Limiter
}

var _ io.Writer = libraryLog{}

func newLibraryLog(log logrus.FieldLogger) libraryLog {
	return libraryLog{log: log, limit: rate.NewLimiter(libraryLines, libraryLines)}
}

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	if l.limit.Allow() {
		text := string(line[:min(len(line), maxLibraryLine)])
		l.log.WithField("line", strings.TrimSpace(text)).Warn("a library reported")
	}
	return len(line), nil
}

// requestLog bounds the lines about requests, failures before answers.
type requestLog struct {
	log      *logrus.Logger
	failures *rate.Limiter
	answers  *rate.Limiter
	skipped  atomic.Int64
}

var _ proxy.Logger = (*requestLog)(nil)

func newRequestLog(log *logrus.Logger) *requestLog {
	return &requestLog{
		log:      log,
		failures: rate.NewLimiter(failureLines, 2*failureLines),
		answers:  rate.NewLimiter(answerLines, 2*answerLines),
	}
}

// Request implements proxy.Logger.
func (l *requestLog) Request(fields logrus.Fields, failed bool) {
	limiter, message := l.answers, "request answered"
	if failed {
		limiter, message = l.failures, "request failed"
	}
	if !limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	if skipped := l.skipped.Swap(0); skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	entry := l.log.WithFields(fields)
	if failed {
		entry.Warn(message)
		return
	}
	entry.Info(message)
}
