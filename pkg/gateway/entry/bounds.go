package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Shares of the process's limits that accepted connections may take.
const (
	// fewestConnections is the least bound of a listener.
	fewestConnections = 4
	// connectionMemory is the memory of a connection without a request, in bytes: a goroutine
	// with its stack, and the buffers of the HTTP server.
	connectionMemory = 16 << 10
	// connectionMemoryShare and headMemoryShare are shares of the memory limit for
	// callers' connections without a request and for request heads.
	connectionMemoryShare = 0.25
	headMemoryShare       = 0.15
	// bodyMemoryShare is the share of the memory limit for request bodies.
	bodyMemoryShare = 0.2
)

// maxConnections returns the bound on the connections that a listener with a share of the
// sockets has open at once.
func (s *Settings) maxConnections(listener string, share float64) int {
	most := float64(graceful.SocketLimit(s.Descriptors)) * share
	if listener == callersName && s.MemoryBytes > 0 {
		most = min(most, float64(s.MemoryBytes)*connectionMemoryShare/connectionMemory)
	}
	return max(int(most), fewestConnections)
}

// connectionShare returns the share of the sockets that connections to the listener may take.
func (l ExtraListener) connectionShare() float64 {
	if l.ForCallers {
		return graceful.LookupShare
	}
	return graceful.OtherShare
}

// newHeads returns the bound on the memory of request heads.
func (s *Settings) newHeads() *graceful.Heads {
	return graceful.NewHeads(int64(float64(s.MemoryBytes) * headMemoryShare))
}

// newBodies returns the memory of request bodies, whose state the registry shows.
func newBodies(s Settings, registry prometheus.Registerer) *bodies.Pool {
	pool := bodies.NewPool(bodies.Options{Bytes: int64(float64(s.MemoryBytes) * bodyMemoryShare)})
	registry.MustRegister(bodies.NewCollector(pool, "flamingomount_gateway"))
	return pool
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
