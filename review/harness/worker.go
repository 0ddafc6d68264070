package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// worker is a back end on loopback that speaks HTTP/1.1 by hand, so that a case
// decides about every byte of its answers.
type worker struct {
	id, service, zone string
	slots             int
	store             *store
	// handle answers one request, whose body was read; it returns false to close the
	// connection.
	handle func(c *workerConn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	seq      atomic.Int64
}

// workerConn is a connection of a worker.
type workerConn struct {
	net.Conn
	in *bufio.Reader
	// number counts the requests of the connection from 1.
	number int
	// state is for the case's own use.
	state any
}

// start listens and serves; a worker that was crashed gets its address back.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener, w.address, w.conns = listener, listener.Addr().String(), map[net.Conn]bool{}
	go w.serve(listener)
	return nil
}

func (w *worker) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.listener != listener {
			w.mu.Unlock()
			_ = conn.Close()
			return
		}
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serveConn(conn)
	}
}

func (w *worker) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	c := &workerConn{Conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	for {
		request, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.number++
		if request.Header.Get(wire["expect"]) != "" && request.Header.Get(wire["expect"]) != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if !w.handle(c, request, body) {
			return
		}
	}
}

// crash ends the worker's process as far as others see: the listener is gone and
// every connection is reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	w.conns = map[net.Conn]bool{}
}

// publish writes the worker's entry.
func (w *worker) publish() {
	w.store.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "coldMs": 0, "seq": w.seq.Add(1),
	})
}

// answer writes a complete response with the worker's signature.
func answer(c io.Writer, id string, status int, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, id, len(body), body)
	return err
}
