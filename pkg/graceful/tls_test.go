package graceful_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// selfSigned returns the TLS configuration of a server with a new certificate.
func selfSigned() *tls.Config {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}}}
}

// secure completes a handshake of a TLS version on a connection.
func secure(connection net.Conn, version uint16) *caller {
	GinkgoHelper()
	secured := tls.Client(connection, &tls.Config{InsecureSkipVerify: true, MinVersion: version, MaxVersion: version})
	Expect(secured.Handshake()).To(Succeed())
	return &caller{Conn: secured, reader: bufio.NewReader(secured)}
}

// holdingConn passes the first write on, the begin of a handshake, and holds back the
// others.
type holdingConn struct {
	net.Conn
	begun bool
	held  bytes.Buffer
}

// Write implements net.Conn.
func (c *holdingConn) Write(b []byte) (int, error) {
	if c.begun {
		return c.held.Write(b)
	}
	c.begun = true
	return c.Conn.Write(b)
}

// pass sends a number of the bytes that were held back.
func (c *holdingConn) pass(bytes int) {
	GinkgoHelper()
	_, err := c.Conn.Write(c.held.Next(bytes))
	Expect(err).NotTo(HaveOccurred())
}

// Guards against a handshake whose last bytes count as the begin of a request.
var _ = Describe("a shutdown with TLS", func() {
	const slack = time.Second // for a busy machine
	DescribeTable("ends a connection without any request by the time for new ones, and reports no request", func(version uint16) {
		f := serveOptions(graceful.Options{Listener: listen(), TLS: selfSigned()})
		secure(f.dial(), version)
		began := time.Now()
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", graceful.DefaultShutdownTimes().Fresh+slack))
		Expect(f.seen.all()).To(BeEmpty())
	},
		Entry("TLS 1.2", uint16(tls.VersionTLS12)),
		Entry("TLS 1.3", uint16(tls.VersionTLS13)),
	)

	DescribeTable("answers a request on a new connection", func(version uint16) {
		f := serveOptions(graceful.Options{Listener: listen(), TLS: selfSigned()})
		c := secure(f.dial(), version)
		wait := f.shutDown(context.Background())
		time.Sleep(graceful.DefaultShutdownTimes().Fresh / 2)
		c.send(get("/"))
		status, closes := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeTrue())
		Expect(wait()).To(Succeed())
	},
		Entry("TLS 1.2", uint16(tls.VersionTLS12)),
		Entry("TLS 1.3", uint16(tls.VersionTLS13)),
	)

	It("answers a request whose first part came with the end of the handshake, however late the rest comes", func() {
		f := serveOptions(graceful.Options{Listener: listen(), TLS: selfSigned()})
		held := &holdingConn{Conn: f.dial()}
		c := secure(held, tls.VersionTLS13)
		handshake := held.held.Len()
		c.send(get("/"))
		held.pass(handshake + (held.held.Len()-handshake)/2)
		wait := f.shutDown(context.Background())
		time.Sleep(graceful.DefaultShutdownTimes().Fresh + slack/2)
		held.pass(held.held.Len())
		status, _ := c.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(wait()).To(Succeed())
	})

	It("ends a connection whose handshake is not complete by the time for new ones", func() {
		f := serveOptions(graceful.Options{Listener: listen(), TLS: selfSigned()})
		secure(&holdingConn{Conn: f.dial()}, tls.VersionTLS13)
		began := time.Now()
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", graceful.DefaultShutdownTimes().Fresh+slack))
	})
})

// Guards against heads of small lines, which take some ten times their bytes in memory: below TLS
// their lines can't be seen.
var _ = Describe("the heads of requests over TLS", func() {
	const lines = 1000
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X:\r\n", lines)

	It("are counted by their lines, and the connection of the largest one is closed", func() {
		heads := graceful.NewHeads(lines * 100)
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), TLS: selfSigned(), Heads: heads})
		c := secure(f.dial(), tls.VersionTLS13)
		c.send(head)
		Expect(c.isClosed()).To(BeTrue())
	})

	It("are served within the limit, again and again", func() {
		heads := graceful.NewHeads(lines * 200)
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), TLS: selfSigned(), Heads: heads})
		c := secure(f.dial(), tls.VersionTLS13)
		for range 3 {
			c.send(head + "\r\n")
			status, _ := c.status()
			Expect(status).To(Equal(http.StatusOK))
		}
	})
})

var _ = Describe("a server of TLS", func() {
	It("tells a caller that speaks plain HTTP so", func() {
		f := serveOptions(graceful.Options{Listener: listen(), TLS: selfSigned()})
		c := f.dial()
		c.send(get("/"))
		// The connection may be reset after that: what the caller has sent is not read.
		line, err := c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("400 Bad Request"))
	})

	It("ends a connection whose handshake does not come in the time for a head", func() {
		f := serveOptions(graceful.Options{Listener: listen(), TLS: selfSigned()})
		c := f.dial()
		c.send("\x16\x03\x01\x40\x00")
		Expect(c.isClosed()).To(BeTrue())
	})
})
