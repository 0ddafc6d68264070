package entry

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Shares of the process's limits that accepted connections may take.
const (
	// callerConnections, peerConnections and otherConnections are shares of the descriptors for
	// sockets; the last is that of each further listener. The rest is for connections to
	// endpoints, other daemons and the store.
	callerConnections = 0.55
	peerConnections   = 0.2
	otherConnections  = 0.02
	// fewestConnections is the least bound of a listener.
	fewestConnections = 4
	// connectionMemory is the memory of a connection without a request, in bytes: a goroutine
	// with its stack, and the buffers of the HTTP server.
	connectionMemory = 16 << 10
	// connectionMemoryShare and headMemoryShare are shares of the memory limit for
	// callers' connections without a request and for request heads.
	connectionMemoryShare = 0.25
	headMemoryShare       = 0.15
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
)

// socketLimit returns how many sockets the process may have open: those of the settings, or
// of the operating system if they set none.
func (s *Settings) socketLimit() int {
	files := s.Descriptors
	if files <= 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return math.MaxInt32
		}
		files = int(min(limit.Cur, math.MaxInt32))
	}
	return max(files-fileDescriptors, files/2)
}

// maxConnections returns the bound on the connections that a listener has open at once.
func (s *Settings) maxConnections(listener string) int {
	most := float64(s.socketLimit())
	switch listener {
	case callersName:
		most *= callerConnections
		if s.MemoryBytes > 0 {
			most = min(most, float64(s.MemoryBytes)*connectionMemoryShare/connectionMemory)
		}
	case peersName:
		most *= peerConnections
	default:
		most *= otherConnections
	}
	return max(int(most), fewestConnections)
}

// newHeads returns the bound on the memory of request heads.
func (s *Settings) newHeads() *graceful.Heads {
	return graceful.NewHeads(int64(float64(s.MemoryBytes) * headMemoryShare))
}

// newYieldedTotal returns the counter of connections that were closed to make room.
func newYieldedTotal(registry prometheus.Registerer) *prometheus.CounterVec {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingomount_gateway_connections_yielded_total",
		Help: "Connections that were closed before a request had arrived, to make room for others, by listener.",
	}, []string{"listener"})
	registry.MustRegister(total)
	return total
}
