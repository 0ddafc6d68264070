package graceful

import (
	"context"
	"sync"
	"time"
)

const (
	// uncountedSockets is the number of sockets and pipes that are kept for what nobody counts:
	// listeners, the connections to the store, the output.
	uncountedSockets = 24
	// dialledPart is the part of the sockets that no accepted connection takes, as a divisor.
	dialledPart = 16
	// dialPause is the time between two looks for a socket to dial with.
	dialPause = 10 * time.Millisecond
)

// Sockets bounds the connections that a process has open: those that its servers accept together
// with those that it dials. A nil Sockets has no limit. It is safe for concurrent use.
type Sockets struct {
	limit int

	mu      sync.Mutex
	open    int
	servers []*Server
}

// NewSockets returns a bound for a process that may open a number of descriptors; zero means the
// limit of the operating system.
func NewSockets(descriptors int) *Sockets {
	limit := SocketLimit(descriptors)
	return &Sockets{limit: max(limit-uncountedSockets, limit/2)}
}

// Reserve waits until there is a socket to dial with: while there is none, connections of the
// servers that wait for a request yield. It returns the error of ctx if that ends first.
func (s *Sockets) Reserve(ctx context.Context) (release func(), err error) {
	if s == nil {
		return func() {}, nil
	}
	for !s.take(s.limit) {
		s.yieldLongest()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialPause):
		}
	}
	return sync.OnceFunc(s.release), nil
}

// takeAccepted takes a socket for an accepted connection, and reports whether there is one.
func (s *Sockets) takeAccepted() bool {
	return s == nil || s.take(s.limit-s.limit/dialledPart)
}

func (s *Sockets) take(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= limit {
		return false
	}
	s.open++
	return true
}

func (s *Sockets) release() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// add makes the connections of a server yield to those that are dialled.
func (s *Sockets) add(server *Server) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

// yieldLongest makes a connection of each server yield that has waited long enough.
func (s *Sockets) yieldLongest() {
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		server.yieldLongest()
	}
}
