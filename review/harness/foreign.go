package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignCase }

// foreignCase puts an entry of another writer beside those of the workers: it lacks
// a field, and another one is of another type. Its address is that of an HTTP server
// which is no worker and knows none of the paths.
func foreignCase(r *run) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	for _, id := range []string{"i-02d9e6b4", "i-51c07aa9"} {
		w := &worker{id: id, service: "wuno96b", zone: "kathmandu-a", slots: 6, store: s}
		w.handle = func(c *workerConn, q *http.Request, _ []byte) bool {
			request := q.Header.Get("Request-Id")
			mu.Lock()
			ran[request] = true
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			return answer(c, request, http.StatusOK, "placed "+request+"\n") == nil
		}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
		w.publish()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return verdict{}, err
	}
	foreign := 0
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			foreign++
			mu.Unlock()
			r.logf("a server that is no worker gets %s %s with Request-Id %s", q.Method, q.URL.Path, q.Header.Get("Request-Id"))
			http.NotFound(w, q)
		}))
	}()
	s.put("op/config", config(1, []map[string]any{
		route("r-order", "/pule252/", "non_idempotent", "wuno96b", 2500*time.Millisecond, nil),
	}, service("wuno96b", 110, false)))
	if r.fleet, err = newFleet(r.dir, s, map[string]string{"kathmandu-a": "kathmandu"}, "kathmandu-a"); err != nil {
		return verdict{}, err
	}
	if err := r.fleet.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + time.Second) // in touch
	if r.trouble {
		entry := map[string]any{"service": "wuno96b", "address": listener.Addr().String(), "zone": "kathmandu-a", "slots": 6, "state": "ready", "coldMs": 0, "seq": "4"}
		r.logf("another writer puts servers/i-99aa: %v", entry)
		s.put("servers/i-99aa", entry)
	}
	time.Sleep(time.Second)
	const orders, lanes = 300, 3
	answers := map[string]outcome{}
	var sending sync.WaitGroup
	for lane := range lanes {
		sending.Go(func() {
			c := &client{address: r.fleet.daemons[0].at(frontPort)}
			defer c.close()
			for number := range orders / lanes {
				id := fmt.Sprintf("order-%d-%d", lane, number)
				o := c.send(call{method: http.MethodPost, path: "/pule252/2f", id: id, body: "one liner, 6 x 4 m"})
				mu.Lock()
				answers[id] = o
				mu.Unlock()
				r.logAt(o.done, "client has for %s: %v", id, o)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	denied := 0
	for _, o := range answers {
		if o.whole && o.seal == "" && o.status >= 300 && o.status < 500 && !promised(o.status) {
			denied++
		}
	}
	return verdict{denied > 5+orders/500, fmt.Sprintf("%d of %d orders were ended with an unsigned 3xx or 4xx (the rule allows %d); %d requests went to a server that is no worker, %d were run by workers", denied, orders, 5+orders/500, foreign, len(ran))}, nil
}
