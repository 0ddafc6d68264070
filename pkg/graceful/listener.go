package graceful

import (
	"errors"
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// maxQueued bounds the connections that Close takes from the accept queue.
const maxQueued = 4096

// queueListener is a listener whose Close first accepts the connections in the
// accept queue: the operating system would reset them, although their callers have
// connected and may have sent a request. Accept returns them before it fails.
type queueListener struct {
	*net.TCPListener
	pending chan net.Conn
	once    sync.Once
	err     error
}

var _ net.Listener = (*queueListener)(nil)

func newQueueListener(listener *net.TCPListener) *queueListener {
	return &queueListener{TCPListener: listener, pending: make(chan net.Conn, maxQueued)}
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return conn, err
	}
	select {
	case conn := <-l.pending:
		return conn, nil
	default:
		return nil, err
	}
}

// Close implements net.Listener.
func (l *queueListener) Close() error {
	l.once.Do(func() {
		l.err = errors.Join(l.drainQueue(), l.TCPListener.Close())
	})
	return l.err
}

// drainQueue accepts the queued connections without blocking.
func (l *queueListener) drainQueue() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "listener")
	}
	return raw.Control(func(fd uintptr) {
		for len(l.pending) < cap(l.pending) {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the queue is empty
			}
			l.enqueue(accepted)
		}
	})
}

// enqueue queues an accepted connection for Accept.
func (l *queueListener) enqueue(fd int) {
	file := os.NewFile(uintptr(fd), "connection")
	conn, err := net.FileConn(file)
	// FileConn duplicates the descriptor; closing this one fails only if it is
	// invalid.
	_ = file.Close()
	if err == nil {
		l.pending <- conn
	}
}
