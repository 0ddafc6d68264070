package tlsfiles_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/tlsfiles"
)

func TestTLSFiles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsfiles")
}

// files holds the paths of a self-signed certificate and its key.
type files struct {
	certificate, key string
}

func newFiles() files {
	dir := GinkgoT().TempDir()
	return files{certificate: filepath.Join(dir, "c.pem"), key: filepath.Join(dir, "k.pem")}
}

// write creates a key and a self-signed certificate with the given serial number,
// and sets the modification time of both files.
func (f files) write(serial int64, modified time.Time) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	keyData, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	for path, block := range map[string]*pem.Block{
		f.certificate: {Type: "CERTIFICATE", Bytes: certificate},
		f.key:         {Type: "PRIVATE KEY", Bytes: keyData},
	} {
		Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		Expect(os.Chtimes(path, modified, modified)).To(Succeed())
	}
}

// handshake runs a TLS handshake between the two configurations and returns the
// certificate that the server presents.
func handshake(server, client *tls.Config) (*x509.Certificate, error) {
	clientPipe, serverPipe := net.Pipe()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		conn := tls.Server(serverPipe, server)
		_ = conn.Handshake()
		_, _ = conn.Write([]byte("x"))
		_ = serverPipe.Close()
	})
	conn := tls.Client(clientPipe, client)
	defer func() { _ = clientPipe.Close() }()
	if err := conn.Handshake(); err != nil {
		return nil, err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return nil, err
	}
	return conn.ConnectionState().PeerCertificates[0], nil
}

var _ = Describe("Files", func() {
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	anyServer := &tls.Config{InsecureSkipVerify: true} // The specs check the certificate themselves.

	It("presents a replaced certificate without a restart, and the previous one while the new files are invalid", func() {
		f := newFiles()
		f.write(1, now)
		loaded, err := tlsfiles.Load(f.certificate, f.key, "", clock, silent)
		Expect(err).NotTo(HaveOccurred())
		presented, err := handshake(loaded.Server(), anyServer)
		Expect(err).NotTo(HaveOccurred())
		Expect(presented.SerialNumber.Int64()).To(Equal(int64(1)))

		f.write(2, now.Add(time.Minute))
		Expect(os.WriteFile(f.key, []byte("half"), 0o600)).To(Succeed())
		now = now.Add(2 * time.Second)
		presented, err = handshake(loaded.Server(), anyServer)
		Expect(err).NotTo(HaveOccurred())
		Expect(presented.SerialNumber.Int64()).To(Equal(int64(1)))

		f.write(3, now.Add(2*time.Minute))
		now = now.Add(2 * time.Second)
		presented, err = handshake(loaded.Server(), anyServer)
		Expect(err).NotTo(HaveOccurred())
		Expect(presented.SerialNumber.Int64()).To(Equal(int64(3)))
	})

	It("logs once that changed files can't be loaded, and when they can again", func() {
		output := &bytes.Buffer{}
		log := logrus.New()
		log.SetOutput(output)
		f := newFiles()
		f.write(1, now)
		loaded, err := tlsfiles.Load(f.certificate, f.key, "", clock, log)
		Expect(err).NotTo(HaveOccurred())
		connect := func() {
			now = now.Add(2 * time.Second)
			_, err := handshake(loaded.Server(), anyServer)
			Expect(err).NotTo(HaveOccurred())
		}
		f.write(2, now.Add(time.Minute))
		Expect(os.WriteFile(f.key, []byte("half"), 0o600)).To(Succeed())
		for range 3 {
			connect()
		}
		Expect(strings.Count(output.String(), "can't be reloaded")).To(Equal(1))
		Expect(output.String()).To(ContainSubstring(f.certificate))
		Expect(os.Remove(f.key)).To(Succeed())
		for range 3 {
			connect()
		}
		Expect(strings.Count(output.String(), "can't be reloaded")).To(Equal(2))
		f.write(3, now.Add(time.Hour))
		connect()
		Expect(strings.Count(output.String(), "certificate files reloaded")).To(Equal(1))
	})

	It("rejects a peer without a certificate issued by the authorities", func() {
		trusted, untrusted := newFiles(), newFiles()
		trusted.write(1, now)
		untrusted.write(2, now)
		server, err := tlsfiles.Load(trusted.certificate, trusted.key, trusted.certificate, clock, silent)
		Expect(err).NotTo(HaveOccurred())
		untrustedPeer, err := tlsfiles.Load(untrusted.certificate, untrusted.key, trusted.certificate, clock, silent)
		Expect(err).NotTo(HaveOccurred())
		clientConfig := func(f *tlsfiles.Files) *tls.Config {
			config := f.Client()
			config.ServerName = "127.0.0.1"
			return config
		}
		_, err = handshake(server.Server(), clientConfig(server))
		Expect(err).NotTo(HaveOccurred())
		_, err = handshake(server.Server(), clientConfig(untrustedPeer))
		Expect(err).To(HaveOccurred())
		_, err = handshake(server.Server(), anyServer)
		Expect(err).To(HaveOccurred())
	})

	It("names the file that can't be loaded", func() {
		_, err := tlsfiles.Load("/missing/c.pem", "/missing/k.pem", "", nil, silent)
		Expect(err).To(MatchError(ContainSubstring("/missing/")))
	})
})
