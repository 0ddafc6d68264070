package continuity_test

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/continuity"
)

var _ = Describe("Bytes that waited to be read", func() {
	var listener net.Listener
	var tracker *continuity.Tracker
	var suspended time.Duration
	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		suspended = 0
		clock := continuity.NewClock()
		clock.Suspended = func() time.Duration { return suspended }
		tracker = continuity.NewTracker(clock)
	})
	open := func() peer {
		near, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		far, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(near.Close)
		DeferCleanup(far.Close)
		return peer{Conn: tracker.Conn(near, "e1:80"), far: far}
	}
	// read reads bytes that arrived some time before.
	read := func(conn peer, count int) {
		_, err := io.ReadFull(conn, make([]byte, count))
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
	}

	It("do not make a connection trusted that is opened after a suspension of this VM", func() {
		earlier := open()
		earlier.Asking()()
		_, err := earlier.far.Write(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		read(earlier, 1)
		time.Sleep(40 * time.Millisecond)
		suspended += 2 * time.Second
		read(earlier, 1)
		Expect(open().Trusted()).To(BeFalse())
		Eventually(func() bool {
			_, err := earlier.far.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			read(earlier, 1)
			return open().Trusted()
		}, 10*time.Second, 30*time.Millisecond).Should(BeTrue())
	})

	It("do not make a connection trusted that was opened after they arrived", func() {
		earlier := open()
		earlier.Asking()()
		_, err := earlier.far.Write(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		read(earlier, 1)
		// Longer than a restart takes.
		time.Sleep(400 * time.Millisecond)
		read(earlier, 1)
		conn := open()
		Expect(conn.Trusted()).To(BeFalse())
		time.Sleep(200 * time.Millisecond)
		read(earlier, 98)
		Expect(conn.Trusted()).To(BeFalse())
		_, err = earlier.far.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(30 * time.Millisecond)
		read(earlier, 1)
		Expect(conn.Trusted()).To(BeTrue())
	})
})
