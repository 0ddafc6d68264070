package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["endless"] = endlessCase }

// Figures of the case.
const (
	endlessFor = 30 * time.Second
	orderEvery = 40 * time.Millisecond
	orderLimit = 2500 * time.Millisecond
	orderGrace = 500 * time.Millisecond
	askEvery   = 14 * time.Millisecond
	askWorkers = 5
	askEvents  = 6
	askPause   = 30 * time.Millisecond
	// fewestLate and lateShare are the rule's: eight or more, and over a quarter.
	fewestLate = 8
	lateShare  = 0.25
	// quotaOn and quotaOff are a core's share of 0.4 as a quota in each tenth of a
	// second.
	quotaOn  = 40 * time.Millisecond
	quotaOff = 60 * time.Millisecond
)

// endlessCase lets one worker answer streams with blank lines without end, while the
// daemon has the platform's share of one core.
func endlessCase(r *run) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	junk := make([]byte, 16<<10)
	for i := range junk {
		junk[i] = '\n'
	}
	var endless atomic.Int64
	for number := range askWorkers {
		w := &worker{id: fmt.Sprintf("i-a%d", number), service: "huvo11a", zone: "kathmandu-a", slots: 64, store: s}
		faulty := number == 0 && r.trouble
		w.handle = func(c *workerConn, q *http.Request, _ []byte) bool {
			id := q.Header.Get("Request-Id")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\n\r\n", id, id); err != nil {
				return false
			}
			if faulty {
				endless.Add(1)
				for {
					if _, err := c.Write(junk); err != nil {
						return false
					}
				}
			}
			for event := 1; event <= askEvents; event++ {
				if _, err := fmt.Fprintf(c, "id: %d\ndata: %s %d of %d\n\n", event, id, event, askEvents); err != nil {
					return false
				}
				time.Sleep(askPause)
			}
			return false
		}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
		w.publish()
	}
	for number := range 2 {
		w := &worker{id: fmt.Sprintf("i-b%d", number), service: "wuno96b", zone: "kathmandu-a", slots: 6, store: s}
		w.handle = func(c *workerConn, q *http.Request, _ []byte) bool {
			time.Sleep(15 * time.Millisecond)
			id := q.Header.Get("Request-Id")
			return answer(c, id, http.StatusOK, "placed "+id+"\n") == nil
		}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
		w.publish()
	}
	s.put("op/config", config(1, []map[string]any{
		askRoute("huvo11a"), route("r-order", "/pule252/", "non_idempotent", "wuno96b", orderLimit, nil),
	}, service("huvo11a", 370, true), service("wuno96b", 110, false)))
	if r.fleet, err = newFleet(r.dir, s, map[string]string{"kathmandu-a": "kathmandu"}, "kathmandu-a"); err != nil {
		return verdict{}, err
	}
	startProcess = startOnOneCore
	if err := r.fleet.startAll(); err != nil {
		return verdict{}, err
	}
	d := r.fleet.daemons[0]
	time.Sleep(contact + time.Second) // in touch
	go func() {
		for {
			time.Sleep(quotaOn)
			d.signal(syscall.SIGSTOP)
			time.Sleep(quotaOff)
			d.signal(syscall.SIGCONT)
		}
	}()
	var mu sync.Mutex
	var took []time.Duration
	results := map[string]int{}
	var clients sync.WaitGroup
	end := time.Now().Add(endlessFor)
	clients.Go(func() {
		for number := 0; time.Now().Before(end); number++ {
			clients.Go(func() {
				o := ask(d.at(frontPort), fmt.Sprintf("ask-%d", number), firstPart)
				mu.Lock()
				results[fmt.Sprintf("ask %d %v", o.status, o.whole)]++
				mu.Unlock()
			})
			time.Sleep(askEvery)
		}
	})
	clients.Go(func() {
		for number := 0; time.Now().Before(end); number++ {
			clients.Go(func() {
				c := &client{address: d.at(frontPort)}
				defer c.close()
				began := time.Now()
				o := c.send(call{method: http.MethodPost, path: "/pule252/2f", id: fmt.Sprintf("order-%d", number), body: "one liner"})
				mu.Lock()
				took = append(took, time.Since(began))
				results[fmt.Sprintf("order %d %v", o.status, o.whole)]++
				mu.Unlock()
			})
			time.Sleep(orderEvery)
		}
	})
	clients.Wait()
	var slowest time.Duration
	over, late := 0, 0
	for _, one := range took {
		slowest = max(slowest, one)
		if one > orderLimit {
			over++
		}
		if one > orderLimit+orderGrace {
			late++
		}
	}
	return verdict{late >= fewestLate && float64(late) > lateShare*float64(over), fmt.Sprintf("%d answers without end; of %d orders %d lasted longer than the route's timeout, %d of these had no answer 0.5 s after it; slowest %v; %v", endless.Load(), len(took), over, late, slowest, results)}, nil
}

// startProcess starts a daemon's process.
var startProcess = (*exec.Cmd).Start

// startOnOneCore starts a process that runs on one core, as the machines of the
// platform have.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one [16]uint64
	if _, _, code := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(before), uintptr(unsafe.Pointer(&before[0]))); code != 0 {
		return code
	}
	one[0] = before[0] & -before[0]
	if _, _, code := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one[0]))); code != 0 {
		return code
	}
	defer func() {
		_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(before), uintptr(unsafe.Pointer(&before[0])))
	}()
	return command.Start()
}
