package continuity_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/continuity"
)

func TestContinuity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "continuity")
}

// peer is a connection with its other end.
type peer struct {
	*continuity.Conn
	far net.Conn
}

// sends lets the process at the other end send a byte, which is read.
func (p peer) sends() {
	go func() { _, _ = p.far.Write([]byte("x")) }()
	buf := make([]byte, 1)
	_, err := p.Read(buf)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
}

// breaks lets the process at the other end close the connection, which is noticed.
func (p peer) breaks() {
	_ = p.far.Close()
	_, err := p.Read(make([]byte, 1))
	ExpectWithOffset(1, err).To(HaveOccurred())
}

var _ = Describe("A new connection", func() {
	var running, suspended time.Duration
	var tracker *continuity.Tracker
	BeforeEach(func() {
		running, suspended = time.Hour, 0
		tracker = continuity.NewTracker(continuity.Clock{
			Running: func() time.Duration { return running }, Suspended: func() time.Duration { return suspended },
		})
	})
	open := func(address string) peer {
		near, far := net.Pipe()
		return peer{Conn: tracker.Conn(near, address), far: far}
	}
	// known opens a connection whose process has confirmed that it is warm.
	known := func() peer {
		conn := open("e1:80")
		conn.Asking()()
		return conn
	}

	It("is not trusted if nothing is known of the process", func() {
		Expect(open("e1:80").Trusted()).To(BeFalse())
	})

	It("is trusted once the process has confirmed on it that it is warm", func() {
		Expect(known().Trusted()).To(BeTrue())
	})

	It("is not trusted for what its own process sends", func() {
		known()
		running += time.Minute
		conn := open("e1:80")
		for range 100 {
			running += 30 * time.Millisecond
			conn.sends()
		}
		Expect(conn.Trusted()).To(BeFalse())
		Expect(open("e1:80").Trusted()).To(BeFalse())
	})

	It("is trusted if the process has just sent something on an earlier one", func() {
		earlier := known()
		running += time.Minute
		earlier.sends()
		running += 100 * time.Millisecond
		Expect(open("e1:80").Trusted()).To(BeTrue())
	})

	It("is not trusted if the process has been silent for as long as a restart may take", func() {
		earlier := known()
		earlier.sends()
		running += 300 * time.Millisecond
		Expect(open("e1:80").Trusted()).To(BeFalse())
	})

	It("is not trusted after a suspension of this VM, however short that seemed", func() {
		known().sends()
		running += 10 * time.Millisecond
		suspended += 2 * time.Second
		Expect(open("e1:80").Trusted()).To(BeFalse())
	})

	It("is not trusted after another one broke, until the process sends something on a third", func() {
		first, second := known(), known()
		running += 100 * time.Millisecond
		first.sends()
		first.breaks()
		Expect(open("e1:80").Trusted()).To(BeFalse())
		running += 100 * time.Millisecond
		second.sends()
		Expect(open("e1:80").Trusted()).To(BeTrue())
	})

	It("is not trusted for bytes that were on their way when another one broke", func() {
		first, second := known(), known()
		running += 100 * time.Millisecond
		first.breaks()
		running += 30 * time.Millisecond
		second.sends()
		Expect(open("e1:80").Trusted()).To(BeFalse())
	})

	It("is trusted although this end closed another one", func() {
		first := known()
		running += 100 * time.Millisecond
		first.sends()
		Expect(first.Close()).To(Succeed())
		_, err := first.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		running += 10 * time.Millisecond
		Expect(open("e1:80").Trusted()).To(BeTrue())
	})

	It("becomes trusted when the process sends something on an earlier one", func() {
		earlier := known()
		running += time.Second
		conn := open("e1:80")
		running += 30 * time.Millisecond
		earlier.sends()
		Expect(conn.Trusted()).To(BeFalse())
		running += 30 * time.Millisecond
		earlier.sends()
		Expect(conn.Trusted()).To(BeTrue())
	})

	It("is not trusted for an answer to a question that was asked before it was opened, however late that is read", func() {
		confirm := known().Asking()
		running += 300 * time.Millisecond
		conn := open("e1:80")
		running += 300 * time.Millisecond
		confirm()
		Expect(conn.Trusted()).To(BeFalse())
		Expect(open("e1:80").Trusted()).To(BeFalse())
	})

	It("is trusted for an answer to a question that was asked after it was opened", func() {
		earlier := known()
		running += time.Minute
		conn := open("e1:80")
		running += time.Millisecond
		earlier.Asking()()
		Expect(conn.Trusted()).To(BeTrue())
	})

	It("is not trusted because an earlier one is, until the process sends something on that", func() {
		running += time.Minute
		earlier := open("e1:80")
		running += 3 * time.Second
		suspended += time.Second
		Expect(earlier.OpenFor()).To(Equal(4 * time.Second))
		conn := open("e1:80")
		earlier.Trust()
		Expect(earlier.Trusted()).To(BeTrue())
		Expect(conn.Trusted()).To(BeFalse())
		running += time.Second
		earlier.sends()
		Expect(conn.Trusted()).To(BeTrue())
	})

	It("is not trusted for what is known of another address", func() {
		known().sends()
		Expect(open("e2:80").Trusted()).To(BeFalse())
	})

	It("has no other limit than the addresses that are remembered", func() {
		known().sends()
		for i := range 5000 {
			open(net.JoinHostPort("e", time.Duration(i).String()))
		}
		conn := open("e1:80")
		Expect(conn.Trusted()).To(BeFalse())
		conn.Asking()()
		Expect(open("e1:80").Trusted()).To(BeTrue())
	})
})
