//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/platform/wire"
)

// modelConfig has a route of streams that may be resumed beside the routes of orders.
func modelConfig() wire.Config {
	config := orderConfig()
	config.Routes = append(config.Routes, wire.Route{
		Name: "quotes", Host: host, PathPrefix: "/quote/", Kind: wire.KindStreaming, TimeoutMs: 8000, TargetLatencyMs: 1000, TargetGapMs: 600,
		Priority: 0, Service: "model", MaxAttempts: 2, Sticky: true, Resumable: true,
	})
	config.Services = append(config.Services, wire.Service{
		Name: "model", HealthCheck: "/health", MaxConnections: 370,
		Runtime: &wire.Runtime{Slots: 64, KVTokens: 354561, KVBytes: 327680, LinkMbps: 260000},
	})
	return config
}

// Traffic and faults of the case about memory.
const (
	// faultyRegion is the region whose model workers send bytes without end.
	faultyRegion = "north"
	// orderClients is the number of clients that send one order after the other.
	orderClients = 20
	orderWork    = 60 * time.Millisecond
	// streamInterval is the time between two streams of the clients in the region.
	streamInterval = 10 * time.Millisecond
	// faultyPart is sent each faultyPause: 150 KB a second.
	faultyPart  = 15 << 10
	faultyPause = 100 * time.Millisecond
	// eventInterval is the time between two events of a sound stream.
	eventInterval = 40 * time.Millisecond
	// faultyTime is for how long workers begin such answers.
	faultyTime = 5900 * time.Millisecond
	// trafficTime is for how long clients send.
	trafficTime = 12 * time.Second
)

// lostByMemory lets the model workers of one region answer with bytes that are no events and
// have no end. The platform kills a process whose memory is beyond its limit.
func lostByMemory(w *world, trouble bool) (bool, string, error) {
	var begun atomic.Pointer[time.Time]
	faulty := func(zone string) bool {
		since := begun.Load()
		return trouble && w.zones[zone] == faultyRegion && since != nil && time.Since(*since) < faultyTime
	}
	if err := startWorkers(w, faulty); err != nil {
		return false, "", err
	}
	for _, zone := range []string{"north-a", "south-a", "west-a"} {
		if _, err := w.newDaemon("front-"+zone, zone); err != nil {
			return false, "", err
		}
	}
	w.publish(modelConfig())
	if err := w.startAll(usualLimits); err != nil {
		return false, "", err
	}
	d, now := w.daemons[0], time.Now()
	begun.Store(&now)
	most, killed := watchMemory(d)
	lost, answered := trafficBesideFaults(w, d)
	w.record.add("%s had %d MB of %d at most, killed %t", d.name, most.Load(), usualLimits.memoryMB, killed.Load())
	if answered == 0 {
		return false, "", fmt.Errorf("no order was answered")
	}
	return lost > 3, fmt.Sprintf("%s had %d MB of %d at most, killed by the platform: %t; orders answered %d, sent on kept connections to sound workers, run, and closed without an answer %d",
		d.name, most.Load(), usualLimits.memoryMB, killed.Load(), answered, lost), nil
}

// startWorkers starts 12 model workers, of which those of one region are faulty, and an order
// worker in each region.
func startWorkers(w *world, faulty func(zone string) bool) error {
	desk := func(one *worker, conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Request-Id")
		time.Sleep(orderWork)
		return one.writeAnswer(conn, http.StatusOK, id, "done "+id+"\n")
	}
	stream := func(one *worker, conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Request-Id")
		if !write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\n\r\n", id, seal(one.id, id))) {
			return false
		}
		if faulty(one.zone) {
			part := strings.Repeat("x", faultyPart)
			for faulty(one.zone) && write(conn, part) {
				time.Sleep(faultyPause)
			}
			return false
		}
		for number := 1; number <= 17; number++ {
			time.Sleep(eventInterval)
			if !write(conn, fmt.Sprintf("id: %d\ndata: %s event %d\n\n", number, id, number)) {
				return false
			}
		}
		return false
	}
	for zone, models := range map[string]int{"north-a": 5, "south-a": 4, "west-a": 3} {
		one, err := w.newWorker("d-"+zone, "desk", zone, 6, desk)
		if err != nil {
			return err
		}
		one.publish(wire.StateReady)
		for index := range models {
			one, err := w.newWorker(fmt.Sprintf("m-%s-%d", zone, index), "model", zone, 64, stream)
			if err != nil {
				return err
			}
			one.publish(wire.StateReady)
		}
	}
	return nil
}

// watchMemory kills the process of a daemon when it takes more memory than its limit, as the
// platform does.
func watchMemory(d *daemon) (most *atomic.Int64, killed *atomic.Bool) {
	most, killed = &atomic.Int64{}, &atomic.Bool{}
	go func() {
		for d.running() {
			now := int64(d.residentMB())
			most.Store(max(most.Load(), now))
			if now > int64(usualLimits.memoryMB) {
				d.world.record.add("the platform kills %s: %d MB of %d", d.name, now, usualLimits.memoryMB)
				killed.Store(true)
				d.kill()
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return most, killed
}

// trafficBesideFaults sends orders and streams to a daemon, and counts the orders that were
// lost on kept connections and those that were answered.
func trafficBesideFaults(w *world, d *daemon) (lost, answered int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	ends := time.Now().Add(trafficTime)
	for range orderClients {
		clients.Go(func() {
			transport := newTransport()
			for time.Now().Before(ends) && d.running() {
				c := newCall(d, http.MethodPost, "/order/1", "an order", 5*time.Second)
				c.transport = transport
				got := c.send(w.record)
				mu.Lock()
				switch {
				case got.status == http.StatusOK && got.whole:
					answered++
				case got.kept && got.status == 0 && len(w.runsOf(c.id)) > 0:
					lost++
					w.record.add("LOST: %s came on a kept connection, was run by a sound worker, and was closed without an answer", c.id)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(ends) && d.running() {
		clients.Go(func() {
			c := newCall(d, http.MethodPost, "/quote/1", strings.Repeat("p", 800), 8*time.Second)
			c.header = map[string]string{"Model": "m", wire.HeaderTokenCount: "300,120", wire.HeaderPromptPrefix: "5c1e07a2:55,91bd3f06:245"}
			c.send(w.record)
		})
		time.Sleep(streamInterval)
	}
	clients.Wait()
	return lost, answered
}
