package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drainCase }

// Figures of the case: the route of survey-quote in the site file has a timeout and
// a deadline of 8 s.
const (
	quoteTimeout = 8 * time.Second
	quoteTakes   = 4900 * time.Millisecond
	quoteEvents  = 17
	// excusedUntil is how long after SIGTERM the rule excuses requests that are still
	// at work in the last sixth of the grace time.
	excusedUntil = 3 * time.Second
)

// drainCase stops one of two machines with SIGTERM while clients with kept
// connections go on sending streams that take 4.9 s.
func drainCase(r *run) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	ranOn := map[string]time.Time{}
	w := &worker{id: "i-7f3a91c2", service: "huvo11a", zone: "kathmandu-a", slots: 64, store: s}
	w.handle = func(c *workerConn, q *http.Request, _ []byte) bool {
		id := q.Header.Get("Request-Id")
		mu.Lock()
		ranOn[id] = time.Now()
		mu.Unlock()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
			return false
		}
		for number := 1; number <= quoteEvents; number++ {
			event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", number, id, number, quoteEvents)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(quoteTakes / quoteEvents)
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	s.put("op/config", config(1, []map[string]any{
		route("r-quote", "/lohu930/", "streaming", "huvo11a", quoteTimeout, map[string]any{wire["objective"]: 1000, "targetGapMs": 600, wire["attempts"]: 2, "resumable": true, "priority": 0}),
	}, service("huvo11a", 370, true)))
	w.publish()
	if r.fleet, err = newFleet(r.dir, s, map[string]string{"kathmandu-a": "kathmandu"}, "kathmandu-a", "kathmandu-a"); err != nil {
		return verdict{}, err
	}
	if err := r.fleet.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	stopped := r.fleet.daemons[0]

	type sending struct {
		id string
		o  outcome
	}
	var results []sending
	var sendings sync.WaitGroup
	// Clients hold connections that they have used before, and open new ones.
	const clients, gap, firstSent = 20, 20 * time.Millisecond, 2900 * time.Millisecond
	pool := make([]*client, clients)
	for number := range pool {
		pool[number] = &client{address: stopped.at(frontPort)}
		o := pool[number].send(call{method: http.MethodGet, path: "/none/1", id: fmt.Sprintf("warm-%d", number)})
		if o.status != http.StatusNotFound {
			return verdict{}, fmt.Errorf("warm-up: %v", o)
		}
	}
	term := time.Now()
	if r.trouble {
		r.logf("SIGTERM to %s", stopped.node)
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(firstSent - time.Since(term))
	for number, c := range pool {
		id := fmt.Sprintf("quote-%d", number)
		sendings.Go(func() {
			o := c.send(call{method: http.MethodPost, path: "/lohu930/2f", id: id, body: "survey", deadline: quoteTimeout})
			c.close()
			mu.Lock()
			results = append(results, sending{id, o})
			mu.Unlock()
		})
		time.Sleep(gap)
	}
	sendings.Wait()
	time.Sleep(300 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	lost, taken, whole := 0, 0, 0
	for _, one := range results {
		began, ran := ranOn[one.id]
		sentAfter := one.o.sent.Sub(term)
		if one.o.sent.IsZero() {
			r.logAt(one.o.done, "%s not sent: %v", one.id, one.o.err)
			continue
		}
		run := "no worker ran it"
		if ran {
			run = fmt.Sprintf("the worker began it at %.3f s", began.Sub(term).Seconds())
		}
		r.logAt(one.o.sent, "%s sent %.3f s after the signal; %s; at %.3f s the client has: %v", one.id, sentAfter.Seconds(), run, one.o.done.Sub(term).Seconds(), one.o)
		if ran {
			taken++
		}
		if one.o.whole && one.o.status == http.StatusOK {
			whole++
		}
		// Passed on to a worker, sent more than 3 s after the signal, no complete answer
		// before the client's deadline and the route's timeout, by the machine's own doing.
		if ran && sentAfter > excusedUntil && !one.o.whole && !one.o.timedOut() && one.o.done.Sub(one.o.sent) < quoteTimeout {
			lost++
			r.logf("LOST: %s", one.id)
		}
	}
	return verdict{lost > 0, fmt.Sprintf("%d requests sent later than 3 s after the signal were passed on to the worker and cut; %d of %d reached the worker, %d were answered whole", lost, taken, len(results), whole)}, nil
}
