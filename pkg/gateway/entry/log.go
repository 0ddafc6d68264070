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

// Limits of the log.
const (
	// failureLines and successLines limit the lines per second about failed and
	// about successful requests; a burst may have the lines of two seconds.
	failureLines = 40
	successLines = 4
	// stopLines limits the lines per second about requests that end without a whole
	// answer while the daemon stops; a burst must fit into the buffer.
	stopLines = 200
	// libraryLines limits the lines per second from libraries, maxLibraryLine the
	// bytes of one line: some quote what a peer sent.
	libraryLines   = 1
	maxLibraryLine = 300
	// lineBuffer bounds the lines queued for writing.
	lineBuffer = 512
)

// lineWriter writes lines from its own goroutine, so that a slow reader of the log
// never delays a request. Lines that do not fit into the buffer are dropped and
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
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until stop is closed, and then the queued ones.
func (w *lineWriter) run(to io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-w.lines:
			// An error of writing the log cannot be reported anywhere.
			_, _ = to.Write(line)
		case <-stop:
			w.flush(to)
			return
		}
	}
}

func (w *lineWriter) flush(to io.Writer) {
	for range len(w.lines) {
		_, _ = to.Write(<-w.lines)
	}
}

// newLog returns a logger that writes JSON lines.
func newLog(to io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(to)
	log.SetFormatter(jsonlog.Formatter{})
	return log
}

// libraryLog writes lines of the standard logger, which libraries use, as JSON
// lines and limits their rate and length.
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

// DroppedLines returns the number of lines that did not fit into the log's buffer.
func (e *Entry) DroppedLines() int64 {
	return e.lines.dropped.Load()
}

// requestLog limits the rate of lines about requests, with a higher limit for
// failures than for successes, and one of its own for requests that a stop ends.
type requestLog struct {
	log       boundedLog
	failures  *rate.Limiter
	successes *rate.Limiter
	stops     *rate.Limiter
}

var _ proxy.Logger = (*requestLog)(nil)

func newRequestLog(log *logrus.Logger) *requestLog {
	return &requestLog{
		log:      boundedLog{log: log},
		failures: lineLimit(failureLines), successes: lineLimit(successLines), stops: lineLimit(stopLines),
	}
}

// Request implements proxy.Logger.
func (l *requestLog) Request(fields logrus.Fields, failed bool) {
	line, permitted := l.log.line(l.limitOf(fields, failed))
	switch {
	case !permitted:
	case failed:
		line.WithFields(fields).Warn("request failed")
	default:
		line.WithFields(fields).Info("request answered")
	}
}

// limitOf returns the limit for a request's line.
func (l *requestLog) limitOf(fields logrus.Fields, failed bool) *rate.Limiter {
	_, stopping := fields[proxy.FieldStop]
	_, incomplete := fields[proxy.FieldEndedBy]
	switch {
	case stopping && incomplete:
		return l.stops
	case failed:
		return l.failures
	}
	return l.successes
}
