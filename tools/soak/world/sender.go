package world

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// senders names the daemon process behind each connection to an endpoint. All
// connections on loopback come from one address, so the process is found by its
// socket, for which the kernel is asked.
type senders struct {
	// processes returns the processes that may send, by name.
	processes func() map[string]int

	mu    sync.Mutex
	names map[string]func() string
}

// opened begins to look for the process that opened a connection which a link forwards.
// The search takes long on a busy machine; what is sent on the connection does not wait
// for it.
func (s *senders) opened(onward, caller, here net.Addr) {
	name := sync.OnceValue(func() string { return s.owner(addressOf(caller), addressOf(here)) })
	s.mu.Lock()
	s.names[onward.String()] = name
	s.mu.Unlock()
	go name()
}

func addressOf(address net.Addr) netip.AddrPort {
	tcp, _ := address.(*net.TCPAddr) // links have no other connections
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}

// name returns the process behind a forwarded connection, as soon as it is known; empty
// if it was gone when the soak looked.
func (s *senders) name(onward string) string {
	s.mu.Lock()
	name := s.names[onward]
	s.mu.Unlock()
	if name == nil {
		return ""
	}
	return name()
}

// owner returns the process that holds the socket with these addresses.
func (s *senders) owner(local, remote netip.AddrPort) string {
	inode, err := inodeOf(local, remote)
	if err != nil {
		return ""
	}
	for name, pid := range s.processes() {
		if holds(pid, fmt.Sprintf("socket:[%d]", inode)) {
			return name
		}
	}
	return ""
}

// inodeOf asks the kernel for the inode of an IPv4 TCP socket.
func inodeOf(local, remote netip.AddrPort) (uint32, error) {
	const diagnostics, socketByFamily, replyBytes = 4, 20, 4096
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, diagnostics)
	if err != nil {
		return 0, err
	}
	defer func() { _ = syscall.Close(socket) }()
	request := diagRequest{Type: socketByFamily, Flags: syscall.NLM_F_REQUEST, Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: allStates, Cookie: noCookie}
	request.Length = uint32(binary.Size(request))
	copy(request.Source[:], local.Addr().AsSlice())
	copy(request.Target[:], remote.Addr().AsSlice())
	binary.BigEndian.PutUint16(request.SourcePort[:], local.Port())
	binary.BigEndian.PutUint16(request.TargetPort[:], remote.Port())
	var message bytes.Buffer
	if err := binary.Write(&message, binary.NativeEndian, request); err != nil {
		return 0, err
	}
	if err := syscall.Sendto(socket, message.Bytes(), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	reply := make([]byte, replyBytes)
	n, _, err := syscall.Recvfrom(socket, reply, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeAt+4 || binary.NativeEndian.Uint16(reply[4:]) != socketByFamily {
		return 0, eris.New("no such socket")
	}
	return binary.NativeEndian.Uint32(reply[inodeAt:]), nil
}

// inodeAt is where the inode is in a reply, behind the message's header.
const inodeAt = syscall.NLMSG_HDRLEN + 68

// Values of a diagRequest that match any socket with the addresses.
const allStates = ^uint32(0)

var noCookie = [2]uint32{^uint32(0), ^uint32(0)}

// diagRequest asks the kernel for a socket: the header of a netlink message and
// struct inet_diag_req_v2.
type diagRequest struct {
	Length                 uint32
	Type, Flags            uint16
	Sequence, Sender       uint32
	Family, Protocol       uint8
	Extensions, Padding    uint8
	States                 uint32
	SourcePort, TargetPort [2]byte
	Source, Target         [16]byte
	Interface              uint32
	Cookie                 [2]uint32
}

// holds reports whether a process has a socket open.
func holds(pid int, socket string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && target == socket {
			return true
		}
	}
	return false
}
