package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parts of the prompts of the two cases about a part that crashes workers.
const (
	firstPart  = "5c1e07a2"
	soundPart  = "91bd3f06"
	deadlyPart = "0badc0de"
	// backAfter is how long a crashed worker is away.
	backAfter = 3 * time.Second
	// contact is contactMs.
	contact = 5 * time.Second
)

// arrival is a request with the deadly part that reached a worker.
type arrival struct {
	id, worker string
	at         time.Time
	crashed    bool
}

// engines are workers that a part of a prompt crashes.
type engines struct {
	r *run

	mu       sync.Mutex
	arrivals []arrival
	// began holds the sound requests that a worker has begun to run, by ID.
	began map[string]time.Time
}

// crashes returns when workers crashed.
func (e *engines) crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []time.Time
	for _, one := range e.arrivals {
		if one.crashed {
			found = append(found, one.at)
		}
	}
	return found
}

// start starts and publishes a worker.
func (e *engines) start(s *store, id, service, zone string) error {
	w := &worker{id: id, service: service, zone: zone, slots: 64, store: s}
	w.handle = func(c *workerConn, q *http.Request, _ []byte) bool {
		request := q.Header.Get("Request-Id")
		deadly := e.r.trouble && strings.Contains(q.Header.Get(wire["parts"]), deadlyPart)
		e.mu.Lock()
		if strings.Contains(q.Header.Get(wire["parts"]), deadlyPart) {
			e.arrivals = append(e.arrivals, arrival{request, id, time.Now(), deadly})
		} else {
			e.began[request] = time.Now()
		}
		e.mu.Unlock()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request, request); err != nil {
			return false
		}
		if deadly {
			e.r.logf("worker %s (%s) crashes as it begins to answer %s", id, service, request)
			w.crash()
			time.AfterFunc(backAfter, func() {
				if err := w.start(); err != nil {
					e.r.logf("worker %s does not come back: %v", id, err)
				}
			})
			return false
		}
		for number := 1; number <= 6; number++ {
			event := fmt.Sprintf("id: %d\ndata: %s %d of 6\n\n", number, request, number)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
	if err := w.start(); err != nil {
		return err
	}
	w.publish()
	return nil
}

// ask sends one request with these parts of a prompt; the last part is its own.
func ask(address, id string, parts ...string) outcome {
	c := &client{address: address}
	defer c.close()
	var listed strings.Builder
	for _, part := range parts {
		listed.WriteString(part + ":60,")
	}
	return c.send(call{
		method: http.MethodPost, path: "/pufi791/2f", id: id, body: "question " + id, deadline: 4 * time.Second,
		header: []string{"Model: m", "Token-Count: 200,40", "Prompt-Prefix: " + listed.String() + ownPart(id) + ":80"},
	})
}

// ownPart is the part of a prompt that no other request has.
func ownPart(id string) string {
	var sum uint32 = 2166136261
	for _, b := range []byte(id) {
		sum = (sum ^ uint32(b)) * 16777619
	}
	return fmt.Sprintf("%08x", sum)
}

func askRoute(service string) map[string]any {
	return route("r-ask", "/pufi791/", "streaming", service, 4*time.Second, map[string]any{wire["objective"]: 3000, "targetGapMs": 600, "sticky": true})
}
