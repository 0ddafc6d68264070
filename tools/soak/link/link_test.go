package link_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

var _ = Describe("Link", func() {
	var one *link.Link
	var arrived chan byte
	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		arrived = make(chan byte, 16)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go echo(conn, arrived)
			}
		}()
		one, err = link.New(listener.Addr().String(), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { one.Close(); _ = listener.Close() })
	})

	dial := func() net.Conn {
		conn, err := net.Dial("tcp", one.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	// answered sends a byte and waits a little for it to come back.
	answered := func(conn net.Conn) error {
		_, err := conn.Write([]byte{1})
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		_, err = io.ReadFull(conn, make([]byte, 1))
		return err
	}

	It("forwards both ways, also slowly", func() {
		conn := dial()
		Expect(answered(conn)).To(Succeed())
		one.Set(link.Slow)
		Expect(answered(conn)).To(Succeed())
	})

	It("tells once which connections the target did not take, and of no other", func() {
		taken := dial()
		Expect(answered(taken)).To(Succeed())
		Expect(one.Refused(taken.LocalAddr())).To(BeFalse())
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(gone.Close()).To(Succeed())
		before, err := link.New(gone.Addr().String(), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(before.Close)
		var conn net.Conn
		// The reset may come before the connection is there; such a caller knows.
		Eventually(func() error { conn, err = net.Dial("tcp", before.Address()); return err }, 10*time.Second).Should(Succeed())
		DeferCleanup(conn.Close)
		Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(before.Refused(conn.LocalAddr())).To(BeTrue())
		Expect(before.Refused(conn.LocalAddr())).To(BeFalse())
	})

	It("drops answers only, or everything, without closing", func() {
		conn := dial()
		one.Set(link.OneWay)
		Expect(answered(conn)).To(MatchError(ContainSubstring("timeout")))
		Eventually(arrived).Should(Receive())
		one.Set(link.Silent)
		Expect(answered(conn)).To(MatchError(ContainSubstring("timeout")))
		Expect(arrived).NotTo(Receive())
	})

	// moved returns the address of another target in place of the one before.
	moved := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go echo(conn, arrived)
			}
		}()
		return listener.Addr().String()
	}

	It("refuses while its target is away, and leads to the next one from the same address", func() {
		conn := dial()
		Expect(answered(conn)).To(Succeed())
		one.Down(false)
		_, err := net.Dial("tcp", one.Address())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(one.Up(moved())).To(Succeed())
		Expect(answered(dial())).To(Succeed())
	})

	It("ends no connection while its target is away without a word, and all of them after that", func() {
		conn := dial()
		Expect(answered(conn)).To(Succeed())
		one.Down(true)
		Expect(answered(conn)).To(MatchError(ContainSubstring("timeout")))
		late := dial()
		Expect(answered(late)).To(MatchError(ContainSubstring("timeout")))
		Expect(one.Up(moved())).To(Succeed())
		for _, old := range []net.Conn{conn, late} {
			Expect(old.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err := old.Read(make([]byte, 1))
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
		Expect(answered(dial())).To(Succeed())
	})

	It("resets what is open and what comes", func() {
		conn := dial()
		Expect(answered(conn)).To(Succeed())
		one.Set(link.Refuse)
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		// The reset may arrive before the dialler knows that it is connected.
		late, err := net.Dial("tcp", one.Address())
		if err == nil {
			DeferCleanup(late.Close)
			_, err = late.Read(make([]byte, 1))
		}
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})

func echo(conn net.Conn, arrived chan<- byte) {
	one := make([]byte, 1)
	for {
		if _, err := io.ReadFull(conn, one); err != nil {
			return
		}
		arrived <- one[0]
		if _, err := conn.Write(one); err != nil {
			return
		}
	}
}
