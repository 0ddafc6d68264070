package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// jsonCopy returns a copy made by encoding and decoding the value as JSON, as
// between daemons.
func jsonCopy[T any](value T) T {
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	var copy T
	Expect(json.Unmarshal(data, &copy)).To(Succeed())
	return copy
}

// fakeStore is an in-memory store that can fail as the real one does.
type fakeStore struct {
	// watches counts the watch calls.
	watches atomic.Int64
	mu      sync.Mutex
	records map[string]catalog.Record
	log     []catalog.Record
	rev     uint64
	// era rises by one with each restore.
	era uint64
	// kept is the oldest revision after which the history is complete.
	kept   uint64
	down   bool
	silent bool
	// deaf makes watches miss changes, as a store that is about to drop its
	// history does.
	deaf    bool
	changed chan struct{}
	reads   int
}

var errDown = errors.New("the store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[string]catalog.Record{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(record catalog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	record.Revision, record.Era = s.rev, s.era
	if record.Deleted {
		delete(s.records, record.Key)
	} else {
		s.records[record.Key] = record
	}
	s.log = append(s.log, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// copied is the content of a fakeStore at one time.
type copied struct {
	records map[string]catalog.Record
	log     []catalog.Record
	rev     uint64
}

func (s *fakeStore) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{records: maps.Clone(s.records), log: slices.Clone(s.log), rev: s.rev}
}

// restore goes on from a copy in a new era. The copy's records are of that era too, as
// its answers say.
func (s *fakeStore) restore(from copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records, s.log, s.rev = map[string]catalog.Record{}, nil, from.rev
	for key, record := range from.records {
		record.Era = s.era
		s.records[key] = record
	}
	for _, record := range from.log {
		record.Era = s.era
		s.log = append(s.log, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// endpoints returns the IDs of the endpoints that the store shows.
func (s *fakeStore) endpoints() []types.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []types.EndpointID
	for _, record := range s.records {
		if record.Endpoint != nil {
			ids = append(ids, record.Endpoint.ID)
		}
	}
	return ids
}

// ReadAll implements control.Store.
func (s *fakeStore) ReadAll(context.Context) ([]catalog.Record, catalog.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, catalog.Position{}, errDown
	}
	var all []catalog.Record
	for _, record := range s.records {
		all = append(all, record)
	}
	return jsonCopy(all), catalog.Position{Era: s.era, Revision: s.rev}, nil
}

// ReadEvacuations implements control.Store.
func (s *fakeStore) ReadEvacuations(context.Context) ([]catalog.Record, catalog.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, catalog.Position{}, errDown
	}
	var found []catalog.Record
	for _, record := range s.records {
		if record.Evacuated != "" {
			found = append(found, record)
		}
	}
	return jsonCopy(found), catalog.Position{Era: s.era, Revision: s.rev}, nil
}

// Watch implements control.Store.
func (s *fakeStore) Watch(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.Delta, error) {
	s.watches.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		delta, changed, err := s.since(after)
		if err != nil || len(delta.Records) > 0 {
			return delta, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return delta, nil
		case <-ctx.Done():
			return delta, ctx.Err()
		}
	}
}

func (s *fakeStore) since(position catalog.Position) (catalog.Delta, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := position.Revision
	delta := catalog.Delta{Era: s.era, From: after, To: s.rev}
	switch {
	case s.down:
		return delta, nil, errDown
	case s.silent || s.deaf:
		delta.To = after
		return delta, make(chan struct{}), nil
	case position.Era < s.era:
		return delta, nil, control.ErrRestored
	case after < s.kept:
		return delta, nil, control.ErrHistoryLost
	}
	for _, record := range s.log {
		if record.Revision > after {
			delta.Records = append(delta.Records, record)
		}
	}
	return jsonCopy(delta), s.changed, nil
}

// fakePeers connects daemons in memory; those in cut are unreachable.
type fakePeers struct {
	mu      sync.Mutex
	daemons map[types.VMID]*control.Control
	cut     map[types.VMID]bool
	// rows counts the table rows in replies to messages without a table.
	rows int
	// sent counts the messages.
	sent atomic.Int64
}

// connect makes a daemon reachable.
func (p *fakePeers) connect(vm types.VMID, daemon *control.Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons[vm] = daemon
}

func newFakePeers() *fakePeers {
	return &fakePeers{daemons: map[types.VMID]*control.Control{}, cut: map[types.VMID]bool{}}
}

// runUntil runs a function in the background and returns one that cancels it and waits.
func runUntil(cancel func(), run func()) (stop func()) {
	var running conc.WaitGroup
	running.Go(run)
	return func() {
		cancel()
		running.Wait()
	}
}

// Send implements control.Peers.
func (p *fakePeers) Send(ctx context.Context, to types.VMID, message *control.Message) (*control.Message, error) {
	p.sent.Add(1)
	p.mu.Lock()
	target, broken := p.daemons[to], p.cut[to] || p.cut[message.From]
	p.mu.Unlock()
	if target == nil || broken {
		return nil, errors.New("unreachable")
	}
	reply := target.Receive(ctx, jsonCopy(message))
	if reply == nil {
		return nil, errors.New("stopping")
	}
	if len(message.Members) == 0 {
		p.mu.Lock()
		p.rows += len(reply.Members)
		p.mu.Unlock()
	}
	return jsonCopy(reply), nil
}

func (p *fakePeers) setCut(vm types.VMID, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[vm] = cut
}
