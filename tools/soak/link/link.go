// Package link forwards TCP connections on loopback and misbehaves on demand,
// so that faults come from outside the programs under test.
package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a Link treats bytes.
type Mode uint8

// The modes.
const (
	// Forward passes bytes on.
	Forward Mode = iota
	// Slow passes them on after a delay.
	Slow
	// OneWay passes on what the caller sends and drops the answers.
	OneWay
	// Silent keeps connections open and passes nothing on.
	Silent
	// Refuse resets connections, old and new ones.
	Refuse
)

// delay is what Slow adds to each piece.
const delay = 150 * time.Millisecond

// pieceBytes bounds what is forwarded at once.
const pieceBytes = 16 << 10

// Link forwards connections from an address of its own to a target. It is safe
// for concurrent use.
type Link struct {
	// address is where callers connect.
	address string
	// opened is told of each forwarded connection before any byte is.
	opened func(onward, caller, here net.Addr)

	mu       sync.Mutex
	listener net.Listener
	target   string
	mode     Mode
	// lost is true while the target is gone without a word.
	lost  bool
	conns map[net.Conn]bool
	// refused holds the addresses of callers whose connection the target did not take.
	refused map[string]bool
}

// AnyAddress is a free loopback address.
const AnyAddress = "127.0.0.1:0"

// New listens on a loopback address and forwards to the target. If opened is not
// nil, it is told of each connection, before any byte is forwarded: the address
// from which it is forwarded, the caller's address and the link's.
func New(target string, opened func(onward, caller, here net.Addr)) (*Link, error) {
	return NewAt(AnyAddress, target, opened)
}

// NewAt is New for an address of the caller's choice.
func NewAt(address, target string, opened func(onward, caller, here net.Addr)) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{
		address: listener.Addr().String(), listener: listener, target: target, opened: opened,
		conns: make(map[net.Conn]bool), refused: make(map[string]bool),
	}
	go l.accept(listener)
	return l, nil
}

// Address is where callers connect.
func (l *Link) Address() string {
	return l.address
}

// Down treats the target as gone until Up. If silent is false, its process has ended:
// new connections are refused, and open ones end as it ended them, with what it had sent.
// If it is true, its machine has: nothing is passed on, and no connection ends before Up.
func (l *Link) Down(silent bool) {
	l.mu.Lock()
	l.lost = silent
	listener := l.listener
	l.mu.Unlock()
	if !silent {
		_ = listener.Close() // Up opens another one
	}
}

// Up forwards to a target that has started in place of the one before, at the same
// address. What was open before is reset.
func (l *Link) Up(target string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	if l.lost {
		l.lost = false
		l.reset()
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Set changes the mode; Refuse also resets what is open.
func (l *Link) Set(mode Mode) {
	l.mu.Lock()
	l.mode = mode
	l.mu.Unlock()
	if mode == Refuse {
		l.Reset()
	}
}

// Reset resets every open connection.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// reset is Reset for a caller that holds mu.
func (l *Link) reset() {
	for conn := range l.conns {
		abort(conn)
	}
	clear(l.conns)
}

// Refused reports, once, whether the target did not take the connection of a caller
// with this address. The caller sees a reset, maybe after it has sent something; with
// no link before the target, its connection would have been refused.
func (l *Link) Refused(caller net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refused[caller.String()]
	delete(l.refused, caller.String())
	return refused
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close() // closing twice is harmless
	l.reset()
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already needs none
	}
	_ = conn.Close()
}

func (l *Link) now() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// targetIsLost reports whether the target is gone without a word.
func (l *Link) targetIsLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(caller net.Conn) {
	if l.now() == Refuse {
		abort(caller)
		return
	}
	if l.targetIsLost() {
		l.keep(caller)
		defer l.drop(caller)
		_, _ = io.Copy(io.Discard, caller) // it ends by a reset
		return
	}
	l.mu.Lock()
	to := l.target
	l.mu.Unlock()
	target, err := net.Dial("tcp", to)
	if err != nil {
		l.mu.Lock()
		l.refused[caller.RemoteAddr().String()] = true
		l.mu.Unlock()
		abort(caller)
		return
	}
	if l.opened != nil {
		l.opened(target.LocalAddr(), caller.RemoteAddr(), caller.LocalAddr())
	}
	l.keep(caller, target)
	defer l.drop(caller, target)
	var both sync.WaitGroup
	both.Go(func() { l.copy(target, caller, false) })
	both.Go(func() { l.copy(caller, target, true) })
	both.Wait()
}

func (l *Link) keep(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

func (l *Link) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // it may be closed already
		delete(l.conns, conn)
	}
}

// copy passes bytes on until one side ends. A proper end is passed on as such, a
// reset as a reset, so that an answer cut short does not look complete.
func (l *Link) copy(to, from net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && l.passes(answers) {
			if _, err := to.Write(piece[:n]); err != nil && !l.targetIsLost() {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if l.targetIsLost() {
			return // Up resets the other side
		}
		if err != io.EOF {
			abort(to)
		} else if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // the other direction notices an error
		}
		return
	}
}

// passes waits as the mode says and reports whether bytes go on.
func (l *Link) passes(answers bool) bool {
	if l.targetIsLost() {
		return false
	}
	switch l.now() {
	case Slow:
		time.Sleep(delay)
	case OneWay:
		return !answers
	case Silent:
		return false
	}
	return true
}
