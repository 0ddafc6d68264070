package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = pathCase }

// pathCase sends requests whose path begins with an empty segment.
func pathCase(r *run) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	ran := map[string]string{}
	w := &worker{id: "i-02d9e6b4", service: "wuno96b", zone: "kathmandu-a", slots: 6, store: s}
	w.handle = func(c *workerConn, q *http.Request, _ []byte) bool {
		id := q.Header.Get("Request-Id")
		mu.Lock()
		ran[id] = q.RequestURI
		mu.Unlock()
		return answer(c, id, http.StatusOK, "done "+q.RequestURI+"\n") == nil
	}
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	w.publish()
	s.put("op/config", config(1, []map[string]any{route("r-all", "/", "non_idempotent", "wuno96b", 2500*time.Millisecond, nil)}, service("wuno96b", 110, false)))
	if r.fleet, err = newFleet(r.dir, s, map[string]string{"kathmandu-a": "kathmandu"}, "kathmandu-a"); err != nil {
		return verdict{}, err
	}
	if err := r.fleet.startAll(); err != nil {
		return verdict{}, err
	}
	changed := 0
	c := &client{address: r.fleet.daemons[0].at(frontPort)}
	defer c.close()
	for number := range 20 {
		path := fmt.Sprintf("/liners/%d?size=6x4", number)
		if r.trouble {
			path = "/" + path
		}
		id := fmt.Sprintf("order-%d", number)
		o := c.send(call{method: http.MethodPost, path: path, id: id, body: "one liner"})
		r.logf("client sent POST %s; the worker ran POST %s; the client has: %v", path, ran[id], o)
		if ran[id] != "" && ran[id] != path {
			changed++
		}
	}
	return verdict{changed > 0, fmt.Sprintf("%d of 20 requests were run with another path than the client's", changed)}, nil
}
