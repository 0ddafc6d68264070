package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
)

var _ = ginkgo.Describe("A connection from another daemon", func() {
	ginkgo.It("is found dead as soon by this daemon as by the one that forwards requests over it", func() {
		config := net.ListenConfig{KeepAliveConfig: keepAliveOf(peersName)}
		listener, err := config.Listen(ginkgo.GinkgoT().Context(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(listener.Close)
		dialed, err := proxy.NewDialer().Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(dialed.Close)
		accepted, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(accepted.Close)
		Expect(probeTime(accepted)).To(BeNumerically("<=", probeTime(dialed)))
	})
})

// probeTime returns how long a silent connection takes to be found dead.
func probeTime(conn net.Conn) time.Duration {
	raw, err := conn.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	seconds := 0
	Expect(raw.Control(func(fd uintptr) {
		option := func(name int) int {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			Expect(err).NotTo(HaveOccurred())
			return value
		}
		seconds = option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)
	})).To(Succeed())
	return time.Duration(seconds) * time.Second
}
