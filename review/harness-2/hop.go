//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/flamingomount/flamingomount/platform/wire"
)

// Streams and planned stops of the case about stops over a hop.
const (
	summaryEvents   = 73
	summaryInterval = 130 * time.Millisecond
	summaryDeadline = 15 * time.Second
	// stopGap is the time between the stops of two machines.
	stopGap = 2 * time.Second
	// lastSixth is when the last sixth of the grace time of 8 s begins.
	lastSixth = 8 * time.Second * 5 / 6
	// hopClients send one stream each.
	hopClients = 16
)

// summaryConfig has a route of long streams whose data stays in one region.
func summaryConfig() wire.Config {
	config := orderConfig()
	config.Routes = append(config.Routes, wire.Route{
		Name: "summaries", Host: host, PathPrefix: "/summary/", Kind: wire.KindStreaming, TimeoutMs: float64(summaryDeadline.Milliseconds()),
		TargetLatencyMs: 800, TargetGapMs: 600, Priority: 1, Service: "model", MaxAttempts: 1, Sticky: true, HomeRegions: []string{"north"},
	})
	config.Services = append(config.Services, wire.Service{
		Name: "model", HealthCheck: "/health", MaxConnections: 360,
		Runtime: &wire.Runtime{Slots: 64, KVTokens: 277163, KVBytes: 327680, LinkMbps: 260000},
	})
	return config
}

// stop sends SIGTERM, and SIGKILL at the end of the grace time, as the platform does.
func (d *daemon) stop() time.Time {
	d.world.record.add("%s gets SIGTERM", d.name)
	_ = d.command.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(8*time.Second, d.kill)
	return time.Now()
}

// stoppedOverHop lets clients of a region without endpoints read long streams, while the
// machine that forwards them and then the one that took them are stopped in turn.
func stoppedOverHop(w *world, trouble bool) (bool, string, error) {
	stream := func(one *worker, conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Request-Id")
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		if !write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, seal(one.id, id))) {
			return false
		}
		for number := after + 1; number <= summaryEvents; number++ {
			time.Sleep(summaryInterval)
			event := fmt.Sprintf("id: %d\ndata: %s event %d of %d\n\n", number, id, number, summaryEvents)
			if !write(conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
				return false
			}
		}
		return write(conn, "0\r\n\r\n")
	}
	for _, id := range []string{"m-1", "m-2"} {
		one, err := w.newWorker(id, "model", "north-a", 64, stream)
		if err != nil {
			return false, "", err
		}
		one.publish(wire.StateReady)
	}
	for _, zone := range []string{"south-a", "north-a", "north-a"} {
		if _, err := w.newDaemon(fmt.Sprintf("front-%s-%d", zone, len(w.daemons)+1), zone); err != nil {
			return false, "", err
		}
	}
	w.publish(summaryConfig())
	if err := w.startAll(usualLimits); err != nil {
		return false, "", err
	}
	taking, beside := w.daemons[0], w.daemons[1]
	var mu sync.Mutex
	var stopped time.Time
	lost, whole := 0, 0
	var clients sync.WaitGroup
	for range hopClients {
		clients.Go(func() {
			c := newCall(taking, http.MethodPost, "/summary/1", strings.Repeat("p", 1600), summaryDeadline)
			c.transport = newTransport()
			c.header = map[string]string{"Model": "m", wire.HeaderTokenCount: "826,511", wire.HeaderPromptPrefix: "5c1e07a2:198,91bd3f06:628"}
			got := c.send(w.record)
			ended := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK && got.whole && strings.Count(got.body, "\n\n") == summaryEvents {
				whole++
				return
			}
			runs := w.runsOf(c.id)
			excused := len(runs) == 0 || stopped.IsZero() || runs[0].ended.After(stopped.Add(lastSixth))
			w.record.add("%s ended without its whole answer, %v after the SIGTERM of %s, excused %t", c.id, ended.Sub(stopped), taking.name, excused)
			if !excused {
				lost++
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		beside.stop()
		time.Sleep(stopGap)
		at := taking.stop()
		mu.Lock()
		stopped = at
		mu.Unlock()
	}
	clients.Wait()
	if whole+lost == 0 {
		return false, "", fmt.Errorf("no stream was answered or lost")
	}
	return lost > 0, fmt.Sprintf("%d streams of %v, %d whole, %d lost", hopClients, summaryEvents*summaryInterval, whole, lost), nil
}
