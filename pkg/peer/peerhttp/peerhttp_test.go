package peerhttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/peer/peerhttp"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestPeerhttp(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerhttp")
}

var keys = peer.Keys{Current: "k1", Accepted: map[peer.KeyID][]byte{"k1": []byte("0123456789abcdef0123456789abcdef")}}

// echo replies to every message as vm and stores the latest message.
type echo struct {
	vm   types.VMID
	last atomic.Pointer[peer.Message]
}

func (e *echo) Answer(_ context.Context, msg *peer.Message) *peer.Message {
	e.last.Store(msg)
	return &peer.Message{From: types.Incarnation{VM: e.vm, Boot: "b"}, To: msg.From.VM, Revision: 9}
}

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	read, written *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.read, l.written}, err
}

type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// server is a listening daemon together with the client of another daemon.
type server struct {
	vm types.VMID
	// fillers is how many lines the heads of replies have beside their own.
	fillers       atomic.Int64
	echo          *echo
	client        *peerhttp.Client
	clientGuard   *peer.Guard
	read, written atomic.Int64
	stop          func()
}

const senderVM types.VMID = "10.0.0.1:7000"

func newServer() *server {
	s := &server{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.vm = types.VMID(listener.Addr().String())
	s.echo = &echo{vm: s.vm}
	started := time.Now()
	guard := peer.NewGuard(s.vm, keys, started, 1)
	handler := peerhttp.NewHandler(guard, s.echo, nil, peerhttp.NewMetrics(nil), time.Now)
	ts := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range s.fillers.Load() {
			w.Header().Add("Filler", "1234567")
		}
		handler.ServeHTTP(w, r)
	}))
	_ = ts.Listener.Close()
	ts.Listener = countingListener{listener, &s.read, &s.written}
	ts.Start()
	s.clientGuard = peer.NewGuard(senderVM, keys, started, 1)
	s.client = peerhttp.NewClient(s.clientGuard, peerhttp.NewMetrics(nil), time.Now, nil)
	s.stop = func() { s.client.CloseIdle(); ts.Close() }
	return s
}

func heartbeat(to types.VMID) *peer.Message {
	return &peer.Message{
		From: types.Incarnation{VM: senderVM, Boot: "0123456789abcdef"}, To: to, Region: "kathmandu", DataCentre: "ktm-1",
		Revision: 41, ManifestHash: "0123456789abcdef", Established: true, Beat: 1764824000000,
		Members: []peer.MemberUpdate{{Incarnation: types.Incarnation{VM: "10.0.0.3:7000", Boot: "fedcba9876543210"}, State: snapshot.MemberAlive, Beat: 1764824000000}},
	}
}

var _ = Describe("Messages over HTTP", func() {
	var s *server
	BeforeEach(func() {
		s = newServer()
		DeferCleanup(s.stop)
	})

	It("carry a message and its authenticated reply", func() {
		reply, err := s.client.Send(context.Background(), heartbeat(s.vm))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(Equal(types.Revision(9)))
		Expect(s.echo.last.Load().From.VM).To(Equal(senderVM))
	})

	post := func(sealed peer.Sealed) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+string(s.vm)+peerhttp.Path, bytes.NewReader(sealed.Body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Peer-Mac", sealed.MAC)
		if sealed.Compressed {
			req.Header.Set("Content-Encoding", "gzip")
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}

	It("refuse replayed and forged messages", func() {
		sealed, err := s.clientGuard.Seal(time.Now(), peer.Request, 0, heartbeat(s.vm))
		Expect(err).NotTo(HaveOccurred())
		Expect(post(sealed)).To(Equal(http.StatusOK))
		Expect(post(sealed)).To(Equal(http.StatusForbidden))
		sealed.Body = append([]byte(" "), sealed.Body...)
		Expect(post(sealed)).To(Equal(http.StatusForbidden))
	})

	It("refuse a reply from a server without the key", func() {
		impostor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		}))
		defer impostor.Close()
		vm := types.VMID(strings.TrimPrefix(impostor.URL, "http://"))
		_, err := s.client.Send(context.Background(), heartbeat(vm))
		Expect(err).To(MatchError(ContainSubstring(peer.ErrForged.Error())))
	})

	It("refuse a valid reply whose head is a megabyte", func() {
		s.fillers.Store(64 << 10)
		_, err := s.client.Send(context.Background(), heartbeat(s.vm))
		Expect(err).To(HaveOccurred())
		s.fillers.Store(0)
		_, err = s.client.Send(context.Background(), heartbeat(s.vm))
		Expect(err).NotTo(HaveOccurred())
	})

	It("add at most the header bytes that the fake network assumes", func() {
		const headerBytes = 220 // same value as headerBytes in internal/fakenet
		msg := heartbeat(s.vm)
		_, err := s.client.Send(context.Background(), msg)
		Expect(err).NotTo(HaveOccurred())
		sealed, err := s.clientGuard.Seal(time.Now(), peer.Request, 0, heartbeat(s.vm))
		Expect(err).NotTo(HaveOccurred())
		Expect(sealed.Compressed).To(BeTrue())
		Expect(s.read.Load()).To(BeNumerically("<=", len(sealed.Body)+headerBytes))
	})
})

func BenchmarkExchange(b *testing.B) {
	s := newServer()
	defer s.stop()
	for b.Loop() {
		if _, err := s.client.Send(context.Background(), heartbeat(s.vm)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(s.read.Load())/float64(b.N), "request-B/op")
	b.ReportMetric(float64(s.written.Load())/float64(b.N), "answer-B/op")
}
