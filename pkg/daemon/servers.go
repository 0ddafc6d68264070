package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/tlsfiles"
)

// server is an HTTP server and its listener.
type server struct {
	*graceful.Server
	name     string
	listener net.Listener
	// handler is set before the server serves.
	handler http.Handler
}

// serverLimits are the parts of the process's limits that a server may take.
type serverLimits struct {
	// share is that of the sockets.
	share float64
	// heads bounds the memory of the request heads of all servers.
	heads *graceful.Heads
}

// listen opens a listener, or takes the existing one.
func listen(name, address string, existing net.Listener) (net.Listener, error) {
	if existing != nil {
		return existing, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen for %s", name)
}

// maxConnections returns the bound on the connections of a listener with a share of the
// process's sockets.
func maxConnections(s *settings.Settings, share float64) int {
	return max(1, min(s.Limits.Connections, int(float64(graceful.SocketLimit(0))*share)))
}

// newServer opens the listener of a server with the timeouts and limits of the
// settings; it serves TLS if files are configured.
func newServer(name, address string, existing net.Listener, files settings.TLS, limits serverLimits, s *settings.Settings, log logrus.FieldLogger) (*server, error) {
	listener, err := listen(name, address, existing)
	if err != nil {
		return nil, err
	}
	secured, err := serverTLS(files, log)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	srv := &server{name: name, listener: listener}
	srv.Server = graceful.New(graceful.Options{
		Listener: listener, TLS: secured, MaxConnections: maxConnections(s, limits.share), Heads: limits.heads,
		HTTP: &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { srv.handler.ServeHTTP(w, r) }),
			ReadHeaderTimeout: s.Timeouts.Header,
			IdleTimeout:       s.Timeouts.Idle,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
		},
	})
	return srv, nil
}

// serverTLS returns nil if no files are configured.
func serverTLS(files settings.TLS, log logrus.FieldLogger) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	loaded, err := tlsfiles.Load(files.Certificate, files.Key, files.Authorities, nil, log)
	if err != nil {
		return nil, err
	}
	return loaded.Server(), nil
}

// serve serves until the server is shut down.
func (s *server) serve() error {
	return eris.Wrapf(s.Serve(), "serve %s", s.name)
}

// shutdown stops listening and waits for requests in flight until ctx ends. It
// then closes the remaining connections and returns an error.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
		return eris.Wrapf(err, "requests of %s were cut off", s.name)
	}
	return nil
}
