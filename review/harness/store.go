package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store or an event of a watch.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// store is a sound metadata store: range and watch, linearizable.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	log      []item
	revision uint64
	changed  chan struct{}
	listener net.Listener
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), listener: listener}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value as JSON and returns its revision.
func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.CreatedAt
	}
	written := item{Key: key, Value: base64.StdEncoding.EncodeToString(text), Revision: s.revision, CreatedAt: created}
	s.items[key] = written
	s.note(written)
	return s.revision
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(event item) {
	s.log = append(s.log, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get(wire["prefix"])
	switch r.URL.Path {
	case wire["range"]:
		s.mu.Lock()
		defer s.mu.Unlock()
		found := []item{}
		for key, one := range s.items {
			if strings.HasPrefix(key, prefix) && key > query.Get("after") {
				found = append(found, one)
			}
		}
		sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
		reply(w, map[string]any{"items": found, "hasMore": false, wire["revision"]: s.revision})
	case wire["watch"]:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, prefix, after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.log {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, wire["revision"]: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, wire["revision"]: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}
