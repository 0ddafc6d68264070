// Package visit sends requests on a connection as callers do that speak HTTP/1.1
// themselves: without waiting for answers, in pieces, and reading slowly.
package visit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
)

// Options describes a visit.
type Options struct {
	// Pipelined sends all requests without waiting for answers.
	Pipelined bool
	// SmallWindow makes the receive buffer of the connection small.
	SmallWindow bool
	// Pauses holds the time before each request; in a visit that is not pipelined it
	// begins when the answer before is complete.
	Pauses []time.Duration
}

// connectWithin bounds the time for a connection.
const connectWithin = time.Second

// patience is how long after its time a caller still waits for an answer.
const patience = 600 * time.Millisecond

// smallWindowBytes is the receive buffer of a small window.
const smallWindowBytes = 32 << 10

// Send opens a connection to address, sends the calls on it and returns them with what
// came of each. Calls of which nothing was sent are left out. The error is that of the
// connection.
func Send(ctx context.Context, address string, calls []check.Call, opts Options) ([]check.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, connectWithin)
	defer cancel()
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	defer func() { _ = netConn.Close() }() // everything that matters was read
	v := &visit{conn: netConn.(*net.TCPConn), opened: time.Now(), reader: bufio.NewReader(netConn), calls: calls, opts: opts}
	if opts.SmallWindow {
		_ = v.conn.SetReadBuffer(smallWindowBytes) // a larger buffer does no harm
	}
	if opts.Pipelined {
		v.pipelined()
	} else {
		v.inTurn()
	}
	return v.sent(), nil
}

// visit is the state of one connection.
type visit struct {
	conn   *net.TCPConn
	opened time.Time
	reader *bufio.Reader
	opts   Options
	calls  []check.Call
	// announcedAt is when the caller had read that the connection will be closed.
	announcedAt time.Time
	mu          sync.Mutex
}

// inTurn sends each call when the one before is answered. A caller that has read the
// announcement of the close sends nothing more.
func (v *visit) inTurn() {
	var idleSince time.Time
	for at := range v.calls {
		time.Sleep(v.opts.Pauses[at])
		if !idleSince.IsZero() {
			v.calls[at].Manner.Connection, v.calls[at].Manner.Idle = check.Kept, time.Since(idleSince)
		}
		var writer conc.WaitGroup
		writer.Go(func() { v.write(at) })
		ok := v.read(at)
		if !ok {
			_ = v.conn.Close() // wakes the writer
		}
		writer.Wait()
		if !ok || !v.announced().IsZero() {
			return
		}
		idleSince = time.Now()
	}
}

// pipelined sends all calls while it reads the answers. It goes on sending when the
// close was announced, until it has read so.
func (v *visit) pipelined() {
	for at := range v.calls[1:] {
		v.calls[at+1].Manner.Connection = check.Pipelined
	}
	done := make(chan struct{})
	var writer conc.WaitGroup
	writer.Go(func() {
		defer close(done)
		for at := range v.calls {
			time.Sleep(v.opts.Pauses[at])
			if !v.announced().IsZero() || !v.write(at) {
				return
			}
		}
	})
	var last error
	for at := range v.calls {
		if !v.await(at, done) {
			break
		}
		if !v.read(at) {
			last = v.calls[at].Outcome.Err
			break
		}
	}
	v.giveUp(&writer, last)
}

// giveUp ends a connection on which calls may lie behind one that failed. They share
// its error; if that is a timeout, their caller left them.
func (v *visit) giveUp(writer *conc.WaitGroup, last error) {
	now := time.Now()
	_ = v.conn.Close() // wakes the writer
	writer.Wait()
	for at := range v.calls {
		if v.calls[at].Ended.IsZero() && !v.calls[at].Sent.IsZero() {
			v.calls[at].Ended, v.calls[at].Outcome.Err = now, last
			v.calls[at].Outcome.Left = errors.Is(last, os.ErrDeadlineExceeded)
		}
	}
}

// await waits until a call has begun and reports whether it has.
func (v *visit) await(at int, done <-chan struct{}) bool {
	const interval = time.Millisecond
	for {
		if v.begun(at) {
			return true
		}
		select {
		case <-done:
			return v.begun(at)
		case <-time.After(interval):
		}
	}
}

func (v *visit) begun(at int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.calls[at].Sent.IsZero()
}

func (v *visit) announced() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.announcedAt
}

// sent returns the calls of which something was sent.
func (v *visit) sent() []check.Call {
	var found []check.Call
	for _, call := range v.calls {
		if !call.Sent.IsZero() {
			call.Manner.CloseAnnounced = v.announcedAt
			found = append(found, call)
		}
	}
	return found
}

// write sends a call in its pieces and reports whether it was sent whole.
func (v *visit) write(at int) bool {
	call := &v.calls[at]
	pieces := pieces(call)
	for number, piece := range pieces {
		if number > 0 {
			time.Sleep(call.Manner.PiecePause)
		}
		if v.closedByPeer() {
			return false
		}
		if number == 0 {
			v.mu.Lock()
			call.Sent = time.Now()
			if at == 0 {
				call.Manner.Idle = call.Sent.Sub(v.opened)
			}
			v.mu.Unlock()
		}
		if _, err := io.WriteString(v.conn, piece); err != nil {
			return false
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	call.Outcome.Written = time.Now()
	return true
}

// closedByPeer reports whether the end of the connection has arrived. A caller that
// knows of it sends nothing.
func (v *visit) closedByPeer() bool {
	raw, err := v.conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
	})
	return closed || err != nil
}

// pieces returns the parts in which a call is sent.
func pieces(call *check.Call) []string {
	head, body := call.Head(call.Manner.Framing == check.Chunks), string(call.Body)
	half := len(body) / 2
	switch call.Manner.Framing {
	case check.HalfHead:
		return []string{head[:len(head)/2], head[len(head)/2:] + body}
	case check.HalfBody:
		return []string{head + body[:half], body[half:]}
	case check.Chunks:
		return []string{head + chunk(body[:half]), chunk(body[half:]) + chunk("")}
	}
	return []string{head + body}
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// read reads the answer to a call and reports whether another one may follow.
func (v *visit) read(at int) bool {
	call := &v.calls[at]
	// A closed connection fails to read.
	_ = v.conn.SetReadDeadline(time.Now().Add(call.Timeout + patience))
	out, more := v.response(call)
	out.Connected, out.Reused = true, at > 0
	v.mu.Lock()
	defer v.mu.Unlock()
	out.Written = call.Outcome.Written
	call.Outcome, call.Ended = out, time.Now()
	return more
}

// response reads a response and reports whether the connection goes on.
func (v *visit) response(call *check.Call) (standin.Outcome, bool) {
	response, err := http.ReadResponse(v.reader, &http.Request{Method: call.Method})
	if err != nil {
		return standin.Outcome{Err: err}, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.Close {
		v.announce()
	}
	var body strings.Builder
	_, err = io.CopyN(&body, response.Body, call.Manner.ReadFirst)
	if err == nil {
		time.Sleep(call.Manner.ReadPause)
		_, err = io.Copy(&body, response.Body)
	} else if err == io.EOF {
		err = nil
	}
	return standin.NewOutcome(response, body.String(), err), err == nil
}

func (v *visit) announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.announcedAt.IsZero() {
		v.announcedAt = time.Now()
	}
}
