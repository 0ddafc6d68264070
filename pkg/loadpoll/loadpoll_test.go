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

// viewOf lists endpoints of the own region at one address.
func viewOf(address string, ids ...types.EndpointID) *snapshot.Snapshot {
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

func pollerOf(view *snapshot.Snapshot, submit func(event.Event) bool) *Poller {
	return New(Options{Snapshot: func() *snapshot.Snapshot { return view }, Submit: submit})
}

func ask(url, prompt string) {
	body := `{"max_tokens":1,"prompt":"` + prompt + `"}`
	resp, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

var _ = Describe("the poller", func() {
	var one *engine.Engine
	var server *httptest.Server
	var events []event.Event
	var view *snapshot.Snapshot
	var poller *Poller
	BeforeEach(func() {
		one = engine.New(engine.Options{TokenInterval: time.Microsecond, BlockPrefill: time.Microsecond})
		server = httptest.NewServer(one)
		DeferCleanup(server.Close)
		events = nil
		view = viewOf(server.Listener.Addr().String(), "a", "b", "c")
		poller = pollerOf(view, func(e event.Event) bool {
			events = append(events, e)
			return true
		})
	})

	It("reads the endpoints of the own region in turn", func() {
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

	It("brings each cache event once, and shows a restarted engine by numbers that go back", func() {
		view.Endpoints["quotes"] = view.Endpoints["quotes"][:1]
		batches := func() []event.CacheEventsRead {
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
		ask(server.URL, strings.Repeat("x", 4096))
		first := batches()
		Expect(first).To(HaveLen(1))
		Expect(first[0].Batch.Events).To(HaveLen(4))
		Expect(batches()).To(BeEmpty())
		one.Crash()
		one.Restart()
		again := batches()
		Expect(again).To(HaveLen(1))
		Expect(again[0].Batch.Next).To(BeNumerically("<", first[0].Batch.Next))
	})

	It("leaves out an endpoint that does not answer", func() {
		one.Crash()
		poller.readNext(context.Background())
		Expect(events).To(BeEmpty())
	})
})

// countedListener counts the bytes of its connections, both ways.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRead reads an idle engine's load and cache events; wire-B/read is
// the bytes of both calls, both ways, without TCP and IP.
func BenchmarkRead(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(engine.New(engine.Options{}))
	server.Listener = countedListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	poller := pollerOf(viewOf(server.Listener.Addr().String(), "a"), func(event.Event) bool { return true })
	for b.Loop() {
		poller.readNext(context.Background())
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/read")
}
