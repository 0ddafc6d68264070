package proxy

import (
	"context"
	"net"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
)

// attemptConn is the connection of one attempt, as far as it is known.
type attemptConn struct {
	conn atomic.Pointer[net.Conn]
	// writtenBefore is the number of bytes written to the connection for earlier
	// requests.
	writtenBefore atomic.Int64
	// cancel ends only this attempt. Unlike closing the connection, it can't
	// affect another request if the response has just ended.
	cancel context.CancelFunc
	// tooLate reports whether nothing may be sent any more; nil means never. expired is
	// true once that, or withheld, has ended the attempt.
	tooLate func() bool
	expired atomic.Bool
	// withheld reports whether the request may not be sent to any endpoint; nil for an
	// attempt by way of another daemon.
	withheld func() bool
	// connecting tells whether the endpoint still wants the request; nil for an
	// attempt by way of another daemon.
	connecting *gate.Connecting
	// pace is that of the events of the response.
	pace eventPace
	// interim handles an interim response; nil ignores it. An error ends the attempt.
	interim func(status int, header textproto.MIMEHeader) error
}

// mayHaveArrived reports whether bytes of the request were written. It must not be
// called before the round trip has ended.
func (w *attemptConn) mayHaveArrived() bool {
	conn := w.conn.Load()
	if conn == nil {
		return false
	}
	counting, ok := (*conn).(*countingConn)
	return !ok || counting.written.Load() > w.writtenBefore.Load()
}

// connected reports whether the attempt obtained a connection, so that bytes of
// the request may have been written.
func (w *attemptConn) connected() bool {
	return w.conn.Load() != nil
}

// limit keeps the attempt from being sent after a time: it is cancelled if it has no
// connection by then, and a connection that it obtains later is closed. A zero time
// sets no limit. The returned function stops the timer.
func (w *attemptConn) limit(sendBy time.Time, now func() time.Time) (stop func()) {
	if sendBy.IsZero() {
		return func() {}
	}
	w.tooLate = func() bool { return !now().Before(sendBy) }
	timer := time.AfterFunc(sendBy.Sub(now()), func() {
		if !w.connected() {
			w.expired.Store(true)
			w.cancel()
		}
	})
	return func() { timer.Stop() }
}

// closeConn closes the connection, so that bytes still in transit on it are not
// taken for the response to another request.
func (w *attemptConn) closeConn() {
	if conn := w.conn.Load(); conn != nil {
		// Closing twice is harmless, and the transport detects the closed connection.
		_ = (*conn).Close()
	}
}
