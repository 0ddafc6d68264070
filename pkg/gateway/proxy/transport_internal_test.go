package proxy

import (
	"net"
	"net/http/httptrace"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("An attempt on a kept connection", func() {
	const earlierRequests = 100

	ginkgo.It("has not arrived if the connection broke before a byte was written", func() {
		local, remote := net.Pipe()
		Expect(remote.Close()).To(Succeed())
		conn := &countingConn{Conn: local}
		conn.written.Store(earlierRequests)
		var attempt attemptConn
		Expect(attempt.mayHaveArrived()).To(BeFalse())
		attempt.trace().GotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
		Expect(attempt.mayHaveArrived()).To(BeFalse())
		_, err := conn.Write([]byte("GET"))
		Expect(err).To(HaveOccurred())
		Expect(attempt.mayHaveArrived()).To(BeTrue())
	})

	ginkgo.It("may have arrived if it is not known what was written", func() {
		local, _ := net.Pipe()
		var attempt attemptConn
		attempt.trace().GotConn(httptrace.GotConnInfo{Conn: local})
		Expect(attempt.mayHaveArrived()).To(BeTrue())
	})
})
