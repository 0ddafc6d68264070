//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/platform/wire"
)

// worker is a worker of a service. It writes its entry into the store and hands each
// request that it may run to its behaviour.
type worker struct {
	world    *world
	id       string
	service  string
	zone     string
	slots    int
	listener net.Listener
	// serve answers a request that the worker has begun to run. It returns false if the
	// connection is to be closed.
	serve func(w *worker, conn net.Conn, request *http.Request, body []byte) bool

	mu sync.Mutex
	// runs holds when each request was begun and when its run ended; zero while it runs.
	runs map[string][]run
	born int64
}

// run is one run of a request.
type run struct {
	worker       string
	begun, ended time.Time
}

// newWorker starts a worker that listens on a free port; it is visible once published.
func (w *world) newWorker(id, service, zone string, slots int, serve func(*worker, net.Conn, *http.Request, []byte) bool) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	one := &worker{
		world: w, id: id, service: service, zone: zone, slots: slots, listener: listener, serve: serve,
		runs: map[string][]run{}, born: time.Now().UnixMilli(),
	}
	w.workers = append(w.workers, one)
	go one.accept()
	return one, nil
}

// publish writes the worker's entry.
func (w *worker) publish(state string) {
	address, version, seq, cold, born := w.listener.Addr().String(), "v1", int64(0), 0.0, float64(w.born)
	w.world.store.PutJSON(wire.ServersPrefix+w.id, wire.ServerEntry{
		Service: &w.service, Address: &address, Zone: &w.zone, State: &state, Slots: &w.slots,
		Version: &version, Seq: &seq, ColdMs: &cold, StartedAt: &born,
	})
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.converse(conn)
	}
}

// converse answers the requests of a connection.
func (w *worker) converse(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, request, body) {
			return
		}
	}
}

// answer answers a health check, turns away what is for another worker, and runs the rest.
func (w *worker) answer(conn net.Conn, request *http.Request, body []byte) bool {
	if request.URL.Path == "/health" {
		return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id))
	}
	id := request.Header.Get("Request-Id")
	if request.Header.Get(wire.HeaderExpectInstance) != w.id {
		return write(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id))
	}
	index := w.begin(id)
	defer w.finish(id, index)
	return w.serve(w, conn, request, body)
}

func (w *worker) begin(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], run{worker: w.id, begun: time.Now()})
	w.world.record.add("worker %s runs %s", w.id, id)
	return len(w.runs[id]) - 1
}

func (w *worker) finish(id string, index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id][index].ended = time.Now()
	w.world.record.add("worker %s ends %s", w.id, id)
}

// runsOf returns the runs of a request at all workers.
func (w *world) runsOf(id string) []run {
	var found []run
	for _, one := range w.workers {
		one.mu.Lock()
		found = append(found, one.runs[id]...)
		one.mu.Unlock()
	}
	return found
}

// write writes a text and reports whether the connection can take more.
func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// seal is the signature of a worker's answer to a request.
func seal(worker, id string) string {
	return worker + "." + id
}

// writeAnswer writes a complete answer with the request's ID and the worker's signature.
func (w *worker) writeAnswer(conn net.Conn, status int, id, body string) bool {
	return write(conn, fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, seal(w.id, id), len(body), body))
}
