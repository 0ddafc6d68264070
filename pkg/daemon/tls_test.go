package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// newCertificate writes a self-signed certificate for 127.0.0.1 and its key to
// files and returns TLS settings that name them.
func newCertificate() settings.TLS {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	keyData, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	paths := settings.TLS{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
	Expect(os.WriteFile(paths.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600)).To(Succeed())
	Expect(os.WriteFile(paths.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyData}), 0o600)).To(Succeed())
	return paths
}

var _ = Describe("TLS", func() {
	It("protects the caller and peer listeners: an order reaches its ticket's owner through another daemon", func() {
		callers, peers := newCertificate(), newCertificate()
		peers.Authorities = peers.Certificate
		f := newFleet()
		f.tune = func(s *settings.Settings) { s.Caller.TLS, s.Peer.TLS = callers, peers }
		worker := f.addWorker("w1")
		f.start(homeRegion, homeRegion)

		pool := x509.NewCertPool()
		authority, err := os.ReadFile(callers.Certificate)
		Expect(err).NotTo(HaveOccurred())
		Expect(pool.AppendCertsFromPEM(authority)).To(BeTrue())
		httpClient := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
		DeferCleanup(httpClient.CloseIdleConnections)
		send := func(e *entry, method, path, key string) *http.Response {
			request, err := http.NewRequest(method, strings.Replace(e.url, "http://", "https://", 1)+path, strings.NewReader("{}"))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+credential)
			request.Header.Set(types.HeaderIdempotencyKey, key)
			response, err := httpClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(response.Body.Close)
			return response
		}

		var entryList ingress.EntriesResponse
		Expect(json.NewDecoder(send(f.entries[0], http.MethodGet, "/v1/entries?service=orders", "").Body).Decode(&entryList)).To(Succeed())
		_, other := f.ownerOf(entryList.Ticket)
		response := send(other, http.MethodPost, "/v1/services/orders/new", entryList.Ticket)
		Expect(response.StatusCode).To(Equal(200), f.log.String())
		Expect(response.Header.Get(types.HeaderVerdict)).To(Equal("ran"))
		Expect(worker.Runs(entryList.Ticket)).To(Equal(1))

		plaintextResp, err := http.Post("http://"+string(other.Self().Incarnation.VM)+"/peer/v1/requests", "", nil)
		if err == nil {
			Expect(plaintextResp.Body.Close()).To(Succeed())
			Expect(plaintextResp.StatusCode).To(Equal(400))
		}
	})
})
