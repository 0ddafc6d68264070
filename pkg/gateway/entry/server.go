package entry

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Limits of accepted connections.
const (
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of a request; the configuration may set a
	// lower limit.
	maxHeaderBytes = 64 << 10
	keepAliveIdle  = 5 * time.Second
	keepAliveEvery = 2 * time.Second
	keepAliveCount = 3
)

// server is the server of one listener.
type server struct {
	*graceful.Server
	name string
}

// open listens on an address for connections that may take a share of the process's sockets;
// an empty address opens nothing.
func (e *Entry) open(name, address string, handler http.Handler, connectionShare float64) error {
	if address == "" {
		return nil
	}
	config := net.ListenConfig{KeepAliveConfig: keepAliveOf(name)}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s on %s", name, address)
	}
	times := e.opts.Settings.stopSchedule().shutdownTimes()
	if name == peersName {
		// Other daemons send again by themselves what an idle connection does not take.
		times.Idle = 0
	}
	e.servers = append(e.servers, &server{name: name, Server: graceful.New(graceful.Options{
		Listener:   listener,
		HTTP:       e.httpServer(name, handler),
		Times:      times,
		Unanswered: e.unanswered.on(name),

		MaxConnections: e.opts.Settings.maxConnections(name, connectionShare),
		Sockets:        e.sockets,
		Heads:          e.heads,
		Yielded:        e.yielded.WithLabelValues(name).Inc,
	})})
	return nil
}

// keepAliveOf returns the probes of the connections of a listener.
func keepAliveOf(name string) net.KeepAliveConfig {
	if name == peersName {
		return proxy.KeepAlive()
	}
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}
}

func (e *Entry) httpServer(name string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           e.counted(e.guard.Handler(name, handler)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Errors that callers cause on their connections do not concern operators.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// counted counts the requests that a handler serves.
func (e *Entry) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.handling.Add(1)
		defer e.handling.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// serve serves until the server is closed; it then returns nil.
func (s *server) serve() error {
	return eris.Wrapf(s.Serve(), "serve %s", s.name)
}

// close closes all listeners and connections.
func (e *Entry) close() {
	for _, srv := range e.servers {
		// Closing fails only for a listener that is closed already.
		_ = srv.Close()
	}
}
