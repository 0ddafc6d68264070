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
	It("do not make a connection trusted that was opened after they arrived", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		tracker := continuity.NewTracker(continuity.NewClock())
		open := func() peer {
			near, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			far, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(near.Close)
			DeferCleanup(far.Close)
			return peer{Conn: tracker.Conn(near, "e1:80"), far: far}
		}
		read := func(conn peer, count int) {
			_, err := io.ReadFull(conn, make([]byte, count))
			Expect(err).NotTo(HaveOccurred())
		}
		earlier := open()
		earlier.Asking()()
		_, err = earlier.far.Write(make([]byte, 100))
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
