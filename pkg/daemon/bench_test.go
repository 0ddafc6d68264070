package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/daemon"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// benchEngine responds without doing work of its own, so that a benchmark measures
// the daemon, both ends of its connections and the Go HTTP stack.
type benchEngine struct {
	// events is the number of token events of a stream.
	events int
	// holdOpen, if set, keeps each stream open after its first event.
	holdOpen chan struct{}
}

const (
	benchResponse = `{"id":"c","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"ok"},"finish_reason":"stop"}]}`
	benchEvent    = `data: {"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n\n"
)

// ServeHTTP responds with one JSON body, or with a stream if events is above 0.
func (e *benchEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
	if e.events == 0 {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, benchResponse)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for range e.events {
		_, _ = io.WriteString(w, benchEvent)
		_ = control.Flush()
		if e.holdOpen != nil {
			select {
			case <-e.holdOpen:
			case <-r.Context().Done():
				return
			}
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// benchFleet is the size of the daemon's configuration and VM list. The endpoints
// are spread over services and regions. With one service and one region, all
// endpoints belong to the service and region of the request.
type benchFleet struct {
	endpoints, organisations, services, regions int
}

// serviceAndRegion returns the service and region of the i-th endpoint.
func (f benchFleet) serviceAndRegion(i int) (types.ServiceName, types.Region) {
	service, region := model, homeRegion
	if n := i % f.services; n > 0 {
		service = types.ServiceName(fmt.Sprintf("model-%d", n))
	}
	if n := i / f.services % f.regions; n > 0 {
		region = types.Region(fmt.Sprintf("region-%d", n))
	}
	return service, region
}

// startBench runs a daemon in front of an engine and returns the address for
// callers.
func startBench(b *testing.B, eng *benchEngine, size benchFleet) string {
	b.Helper()
	caller := benchListener(b)
	startBenchOn(b, caller, eng, size)
	return caller.Addr().String()
}

// startBenchOn runs a daemon that serves callers on the given listener.
func startBenchOn(b *testing.B, caller net.Listener, eng *benchEngine, size benchFleet) {
	b.Helper()
	peer, engineListener := benchListener(b), benchListener(b)
	engineServer := &http.Server{Handler: eng}
	config := testConfig()
	config.Services[model].MaxBodyBytes = 1 << 20
	for i := range size.organisations {
		name := types.OrgName(fmt.Sprintf("org-%d", i))
		config.Orgs[name] = &published.Organisation{Name: name, Share: 1}
	}
	listing := platform.VMListing{}
	for i := range size.endpoints {
		service, region := size.serviceAndRegion(i)
		listing.VMs = append(listing.VMs, platform.VM{
			Role: platform.RoleEndpoint, Region: region, DataCentre: "dc-1", Address: engineListener.Addr().String(),
			Endpoint: types.EndpointID(fmt.Sprintf("e%05d", i)), Service: service, Version: "v1", Slots: 20_000,
		})
	}
	s := settings.Defaults()
	s.Region, s.DataCentre = string(homeRegion), "dc-1"
	log := daemon.NewLog("info")
	log.SetOutput(io.Discard)
	self := snapshot.Self{
		Incarnation: types.Incarnation{VM: types.VMID(peer.Addr().String()), Boot: "b"},
		Region:      homeRegion, DataCentre: "dc-1", CallerAddress: caller.Addr().String(),
	}
	entry, err := daemon.New(daemon.Options{
		Settings: &s, Control: daemon.NewStaticControl(self, config, listing), Boot: "b", Log: log,
		Keys:           []daemon.Key{{ID: "k1", Secret: bytes.Repeat([]byte("k"), 32)}},
		Rand:           &lockedRand{source: rand.New(rand.NewPCG(1, 2))},
		CallerListener: caller, PeerListener: peer,
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = engineServer.Serve(engineListener) })
	wg.Go(func() { _ = entry.Run(ctx, ctx) })
	b.Cleanup(func() {
		cancel()
		_ = engineServer.Close()
		wg.Wait()
	})
}

func benchListener(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}

func rawRequest(address string, streamed bool) string {
	body := `{"model":"quotes","messages":[{"role":"user","content":"which tube?"}],"max_tokens":16}`
	if streamed {
		body = strings.TrimSuffix(body, "}") + `,"stream":true}`
	}
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", address, credential, len(body), body)
}

// processCPU returns the user and system CPU time that this process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// exchange sends one raw request, reads the complete response and returns the
// number of body bytes.
func exchange(b *testing.B, conn net.Conn, reader *bufio.Reader, raw string) int64 {
	if _, err := io.WriteString(conn, raw); err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status %d, %v", response.StatusCode, err)
	}
	return n
}

// measure runs b.N exchanges over one connection, after 50 that are not measured,
// and returns the CPU time of the whole process per exchange.
func measure(b *testing.B, address, raw string) time.Duration {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 50 {
		exchange(b, conn, reader, raw)
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processCPU()
	for range b.N {
		exchange(b, conn, reader, raw)
	}
	used := processCPU() - before
	b.StopTimer()
	return used / time.Duration(b.N)
}

// measureConcurrent runs b.N exchanges over many connections at once, as on a busy
// daemon, and returns the CPU time of the whole process per exchange.
func measureConcurrent(b *testing.B, address, raw string, callers int) time.Duration {
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	conns := make([]net.Conn, callers)
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns[i] = conn
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processCPU()
	var wg conc.WaitGroup
	for _, conn := range conns {
		wg.Go(func() {
			reader := bufio.NewReader(conn)
			for remaining.Add(-1) >= 0 {
				exchange(b, conn, reader, raw)
			}
		})
	}
	wg.Wait()
	used := processCPU() - before
	b.StopTimer()
	return used / time.Duration(b.N)
}

// BenchmarkWholeBusy measures small unary requests of 32 concurrent callers, so
// that no processor spends CPU time looking for work without finding any.
func BenchmarkWholeBusy(b *testing.B) {
	const callers = 32
	b.Run("direct", func(b *testing.B) {
		address := serveDirect(b, &benchEngine{})
		b.ReportMetric(float64(measureConcurrent(b, address, rawRequest(address, false), callers).Microseconds()), "cpu-us/op")
	})
	b.Run("daemon", func(b *testing.B) {
		address := startBench(b, &benchEngine{}, benchFleet{2100, 39_000, 7, 17})
		b.ReportMetric(float64(measureConcurrent(b, address, rawRequest(address, false), callers).Microseconds()), "cpu-us/op")
	})
}

// serveDirect runs the engine without a daemon, as the baseline, and returns its
// address.
func serveDirect(b *testing.B, eng *benchEngine) string {
	b.Helper()
	listener := benchListener(b)
	server := &http.Server{Handler: eng}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	b.Cleanup(func() {
		_ = server.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

// BenchmarkWhole measures a small unary request. The metric cpu-us/op is the CPU
// time of the process; the daemon's share is the difference from "direct".
func BenchmarkWhole(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		address := serveDirect(b, &benchEngine{})
		b.ReportMetric(float64(measure(b, address, rawRequest(address, false)).Microseconds()), "cpu-us/op")
	})
	for _, size := range []benchFleet{{8, 100, 1, 1}, {2100, 39_000, 7, 17}, {2100, 39_000, 1, 1}} {
		name := fmt.Sprintf("endpoints=%d,organisations=%d,services=%d,regions=%d",
			size.endpoints, size.organisations, size.services, size.regions)
		b.Run(name, func(b *testing.B) {
			address := startBench(b, &benchEngine{}, size)
			b.ReportMetric(float64(measure(b, address, rawRequest(address, false)).Microseconds()), "cpu-us/op")
		})
	}
}

// BenchmarkStream measures streams of 1,000 token events; the engine flushes each
// event separately. The metric cpu-us/event is the CPU time of the process.
func BenchmarkStream(b *testing.B) {
	const events = 1000
	run := func(b *testing.B, address string) {
		used := measure(b, address, rawRequest(address, true))
		b.ReportMetric(float64(used.Nanoseconds())/1e3/events, "cpu-us/event")
	}
	b.Run("direct", func(b *testing.B) {
		run(b, serveDirect(b, &benchEngine{events: events}))
	})
	b.Run("daemon", func(b *testing.B) {
		run(b, startBench(b, &benchEngine{events: events}, benchFleet{8, 100, 1, 1}))
	})
}

// pipeListener accepts in-memory connections, which need no file descriptors.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*pipeListener)(nil)

// Accept waits for a connection from dial.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address that nothing listens on.
func (*pipeListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// openStream starts a stream and reads up to its first event.
func openStream(b *testing.B, listener *pipeListener, raw string, buffer []byte) net.Conn {
	b.Helper()
	conn := listener.dial()
	if _, err := io.WriteString(conn, raw); err != nil {
		b.Fatal(err)
	}
	received := ""
	for !strings.Contains(received, "token ") {
		n, err := conn.Read(buffer)
		if err != nil {
			b.Fatalf("stream did not start: %v", err)
		}
		received += string(buffer[:n])
	}
	return conn
}

// BenchmarkOpenStreams holds many streams open at once and reports the memory of
// the process, which includes the callers' ends of the connections and the
// engine. Each stream needs two file descriptors, both for the connection between
// daemon and engine.
func BenchmarkOpenStreams(b *testing.B) {
	const reservedFiles = 100
	for _, streams := range []int{1000, 5000, 9900} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			var files syscall.Rlimit
			if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < uint64(2*streams+reservedFiles) {
				b.Skipf("needs %d open files, the limit is %d", 2*streams+reservedFiles, files.Cur)
			}
			holdStreams(b, streams)
		})
	}
}

func holdStreams(b *testing.B, streams int) {
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	startBenchOn(b, listener, &benchEngine{events: 2, holdOpen: make(chan struct{})}, benchFleet{8, 100, 1, 1})
	raw := rawRequest("gateway", true)
	buffer := make([]byte, 8<<10)
	for range b.N {
		conns := make([]net.Conn, 0, streams)
		for range streams {
			conns = append(conns, openStream(b, listener, raw, buffer))
		}
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.Sys-memory.HeapReleased)/(1<<20), "MiB-held")
		b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(streams)/(1<<10), "KiB/stream")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
