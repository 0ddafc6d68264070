package graceful

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxQueued bounds the connections that Close takes from the accept queue.
const maxQueued = 4096

// queueListener is a listener whose Close loses no connection in the accept queue:
// the operating system would reset them, although their callers have connected and
// may have sent a request. Accept returns them before it fails.
type queueListener struct {
	*net.TCPListener
	// accepting is held while Accept waits for a connection.
	accepting sync.Mutex
	pending   chan net.Conn
	once      sync.Once
	err       error
}

var _ net.Listener = (*queueListener)(nil)

func newQueueListener(listener *net.TCPListener) *queueListener {
	return &queueListener{TCPListener: listener, pending: make(chan net.Conn, maxQueued)}
}

// noDevice is the index of a network device that does not exist.
const noDevice = math.MaxInt32

// refuse makes the operating system refuse new connections, while handshakes that
// have begun are still completed: a listener that is bound to another device gets
// no packet that begins a connection. It reports whether the system permits this.
func (l *queueListener) refuse() bool {
	refused := false
	controlSocket(l.TCPListener, func(fd int) {
		refused = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noDevice) == nil
	})
	return refused
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	accepted, err := l.acceptOpen()
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		return accepted, err
	}
	accepted, open := <-l.pending
	if !open {
		return nil, net.ErrClosed
	}
	return accepted, nil
}

func (l *queueListener) acceptOpen() (net.Conn, error) {
	l.accepting.Lock()
	defer l.accepting.Unlock()
	return l.TCPListener.Accept()
}

// Close implements net.Listener.
func (l *queueListener) Close() error {
	l.once.Do(func() {
		defer close(l.pending)
		// An Accept that waits would keep the socket open until it is scheduled. A
		// listener that is closed already has none.
		_ = l.SetDeadline(expired)
		l.accepting.Lock()
		defer l.accepting.Unlock()
		controlSocket(l.TCPListener, l.drainAndStop)
		l.err = l.TCPListener.Close()
	})
	return l.err
}

// drainAndStop accepts the queued connections without blocking and stops listening
// in the system call after the one that finds the queue empty.
func (l *queueListener) drainAndStop(fd int) {
	for len(l.pending) < cap(l.pending) {
		accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			break // the queue is empty
		}
		l.enqueue(accepted)
	}
	_ = unix.Shutdown(fd, unix.SHUT_RD) // Close follows in any case
}

// enqueue queues an accepted connection for Accept.
func (l *queueListener) enqueue(fd int) {
	file := os.NewFile(uintptr(fd), "connection")
	accepted, err := net.FileConn(file)
	// FileConn duplicates the descriptor; closing this one fails only if it is
	// invalid.
	_ = file.Close()
	if err == nil {
		l.pending <- accepted
	}
}

// controlSocket calls use with the descriptor of a socket; not at all if it is
// closed or no socket.
func controlSocket(socket any, use func(fd int)) {
	holder, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket is closed.
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}
