//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/platform/wire"
)

// orderConfig has one route of each simple kind.
func orderConfig() wire.Config {
	return wire.Config{
		Version: 7,
		Routes: []wire.Route{
			{Name: "orders", Host: host, PathPrefix: "/order/", Kind: wire.KindNonIdempotent, TimeoutMs: 2500, TargetLatencyMs: 300, Priority: 2, Service: "desk", MaxAttempts: 1},
			{Name: "status", Host: host, PathPrefix: "/status/", Kind: wire.KindIdempotent, TimeoutMs: 2500, TargetLatencyMs: 300, Priority: 2, Service: "desk", MaxAttempts: 2},
		},
		Services: []wire.Service{{Name: "desk", HealthCheck: "/health", MaxConnections: 110}},
		Limits:   wire.ConfigLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// Traffic and fault of the case about refusals.
const (
	orderTime = 15 * time.Millisecond
	// failFrom and failFor are when a worker fails requests, after the begin of traffic.
	failFrom = time.Second
	failFor  = 4 * time.Second
	// refusedClients send one order after the other for refusedTime.
	refusedClients = 9
	refusedTime    = 6 * time.Second
)

// refusedAfterRun lets one of three workers run orders and fail two in five of them with status
// 503 or 429, without saying that they were not run.
func refusedAfterRun(w *world, trouble bool) (bool, string, error) {
	var mu sync.Mutex
	count, begun := 0, time.Time{}
	status := func(one *worker) int {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(begun)
		if !trouble || one.id != "i-2" || since < failFrom || since > failFrom+failFor {
			return http.StatusOK
		}
		count++
		switch count % 5 {
		case 1:
			return http.StatusServiceUnavailable
		case 3:
			return http.StatusTooManyRequests
		}
		return http.StatusOK
	}
	desk := func(one *worker, conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Request-Id")
		time.Sleep(orderTime)
		if failed := status(one); failed != http.StatusOK {
			return one.writeAnswer(conn, failed, id, "the order was written, its confirmation failed\n")
		}
		return one.writeAnswer(conn, http.StatusOK, id, "done "+id+"\n")
	}
	if err := w.startDesk(desk, "i-1", "i-2", "i-3"); err != nil {
		return false, "", err
	}
	begun = time.Now()
	var clients sync.WaitGroup
	statuses, promised, doubled := map[int]int{}, 0, 0
	for index := range refusedClients {
		clients.Go(func() {
			to := w.daemons[index%len(w.daemons)]
			for time.Since(begun) < refusedTime {
				c := newCall(to, http.MethodPost, "/order/1", "an order", 5*time.Second)
				got := c.send(w.record)
				ranAgain := false
				if promisesNotRun(got.status) && len(w.runsOf(c.id)) > 0 {
					w.record.add("REFUSED: %s was answered %d and has run", c.id, got.status)
					// A client sends the order again after such an answer, under a new ID.
					again := newCall(to, http.MethodPost, "/order/1", "an order", 5*time.Second)
					ranAgain = again.send(w.record).status == http.StatusOK
					w.record.add("the order of %s was sent again as %s, run again: %t", c.id, again.id, ranAgain)
				}
				mu.Lock()
				statuses[got.status]++
				if promisesNotRun(got.status) && len(w.runsOf(c.id)) > 0 {
					promised++
				}
				if ranAgain {
					doubled++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if statuses[http.StatusOK] == 0 {
		return false, "", fmt.Errorf("no order was answered")
	}
	return promised > 0, fmt.Sprintf("statuses %v; orders that had run and were answered as not run %d; of these run again for the client's next try %d", statuses, promised, doubled), nil
}

// promisesNotRun reports whether a status promises that the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// startDesk starts workers of the order service, and three daemons in their zone.
func (w *world) startDesk(serve func(*worker, net.Conn, *http.Request, []byte) bool, ids ...string) error {
	for _, id := range ids {
		one, err := w.newWorker(id, "desk", "north-a", 6, serve)
		if err != nil {
			return err
		}
		one.publish(wire.StateReady)
	}
	for index := range 3 {
		if _, err := w.newDaemon(fmt.Sprintf("front-%d", index+1), "north-a"); err != nil {
			return err
		}
	}
	w.publish(orderConfig())
	return w.startAll(usualLimits)
}
