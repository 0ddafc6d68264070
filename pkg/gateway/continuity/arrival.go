package continuity

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sinceArrival returns how long ago the newest bytes arrived on a connection, read or
// not. Bytes may wait to be read for longer than a process takes to end and start again.
// It returns false if that can't be told. Connections without a socket hold no bytes.
func sinceArrival(conn net.Conn) (waited time.Duration, known bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
