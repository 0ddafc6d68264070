package entry

import (
	"errors"
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// maxQueued bounds the connections that are taken from the queue at the end.
const maxQueued = 4096

// queueListener is a listener whose Close first takes the connections that wait
// in its queue: the system would reset them, although their callers have
// connected and may have sent a request. Accept returns them before it fails.
type queueListener struct {
	*net.TCPListener
	taken chan net.Conn
	once  sync.Once
	err   error
}

var _ net.Listener = (*queueListener)(nil)

func newQueueListener(listener *net.TCPListener) *queueListener {
	return &queueListener{TCPListener: listener, taken: make(chan net.Conn, maxQueued)}
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return conn, err
	}
	select {
	case conn := <-l.taken:
		return conn, nil
	default:
		return nil, err
	}
}

// Close implements net.Listener.
func (l *queueListener) Close() error {
	l.once.Do(func() {
		l.err = errors.Join(l.takeQueue(), l.TCPListener.Close())
	})
	return l.err
}

// takeQueue accepts what waits, without waiting itself.
func (l *queueListener) takeQueue() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "listener")
	}
	return raw.Control(func(fd uintptr) {
		for len(l.taken) < cap(l.taken) {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the queue is empty
			}
			l.keep(accepted)
		}
	})
}

// keep queues an accepted connection for Accept.
func (l *queueListener) keep(fd int) {
	file := os.NewFile(uintptr(fd), "connection")
	conn, err := net.FileConn(file)
	// FileConn holds a copy; closing ours fails for nothing but a bad number.
	_ = file.Close()
	if err == nil {
		l.taken <- conn
	}
}
