package loadpoll

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestLoadpoll(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadpoll")
}

// newSnapshot returns a snapshot with endpoints of the local region that share an
// address.
func newSnapshot(address string, ids ...types.EndpointID) *snapshot.Snapshot {
	view := &snapshot.Snapshot{
		Self: snapshot.Self{Region: "pokhara"},
		Config: &published.Configuration{Services: map[types.ServiceName]*published.Service{
			"quotes": {Name: "quotes", Kind: published.KindModel},
		}},
		Endpoints: map[types.ServiceName][]*snapshot.Endpoint{},
	}
	for _, id := range ids {
		view.Endpoints["quotes"] = append(view.Endpoints["quotes"], &snapshot.Endpoint{
			ID: id, Service: "quotes", Region: "pokhara", Address: address,
		})
	}
	return view
}

func newPoller(view *snapshot.Snapshot, submit func(event.Event) bool) *Poller {
	return New(Options{Snapshot: func() *snapshot.Snapshot { return view }, Submit: submit})
}

func postCompletion(url, prompt string) {
	body := `{"max_tokens":1,"prompt":"` + prompt + `"}`
	resp, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

var _ = Describe("the poller", func() {
	var fakeEngine *engine.Engine
	var server *httptest.Server
	var events []event.Event
	var view *snapshot.Snapshot
	var poller *Poller
	BeforeEach(func() {
		fakeEngine = engine.New(engine.Options{TokenInterval: time.Microsecond, BlockPrefill: time.Microsecond})
		server = httptest.NewServer(fakeEngine)
		DeferCleanup(server.Close)
		events = nil
		view = newSnapshot(server.Listener.Addr().String(), "a", "b", "c")
		poller = newPoller(view, func(e event.Event) bool {
			events = append(events, e)
			return true
		})
	})

	It("polls the endpoints of the local region in turn", func() {
		view.Endpoints["quotes"][1].Region = "kathmandu"
		var read []types.EndpointID
		for range 4 {
			poller.readNext(context.Background())
		}
		for _, e := range events {
			if load, ok := e.(event.LoadReported); ok {
				read = append(read, load.Endpoint)
				Expect(load.Load.TakenAt).NotTo(BeZero())
			}
		}
		Expect(read).To(Equal([]types.EndpointID{"a", "c", "a", "c"}))
	})

	It("submits each cache event once, and a lower sequence number after an engine restart", func() {
		view.Endpoints["quotes"] = view.Endpoints["quotes"][:1]
		readBatches := func() []event.CacheEventsRead {
			events = nil
			poller.readNext(context.Background())
			var found []event.CacheEventsRead
			for _, e := range events {
				if batch, ok := e.(event.CacheEventsRead); ok {
					found = append(found, batch)
				}
			}
			return found
		}
		postCompletion(server.URL, strings.Repeat("x", 4096))
		first := readBatches()
		Expect(first).To(HaveLen(1))
		Expect(first[0].Batch.Events).To(HaveLen(4))
		Expect(readBatches()).To(BeEmpty())
		fakeEngine.Crash()
		fakeEngine.Restart()
		afterRestart := readBatches()
		Expect(afterRestart).To(HaveLen(1))
		Expect(afterRestart[0].Batch.Next).To(BeNumerically("<", first[0].Batch.Next))
	})

	It("submits nothing for an endpoint that does not respond", func() {
		fakeEngine.Crash()
		poller.readNext(context.Background())
		Expect(events).To(BeEmpty())
	})
})

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRead measures polling the load and cache events of an idle engine.
// The metric wire-B/read is the bytes of both HTTP requests and responses,
// without TCP and IP headers.
func BenchmarkRead(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(engine.New(engine.Options{}))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	poller := newPoller(newSnapshot(server.Listener.Addr().String(), "a"), func(event.Event) bool { return true })
	for b.Loop() {
		poller.readNext(context.Background())
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/read")
}
