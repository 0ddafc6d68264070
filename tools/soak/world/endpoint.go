package world

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/link"
)

// Habits of endpoints.
const (
	slots = 16
	// heartbeat is the time between two writes of an endpoint to the store; its entry is
	// removed after lapse without one.
	heartbeat = time.Second
	lapse     = 3 * heartbeat
	// pollStore is the time between two tries to write to a store that is away.
	pollStore = 20 * time.Millisecond
)

// endpoint is one start of a back end with the link before it.
type endpoint struct {
	*standin.Endpoint
	id      string
	service types.ServiceName
	region  types.Region
	link    *link.Link
}

// addEndpoint starts an endpoint behind a link and publishes it.
func (w *World) addEndpoint(service types.ServiceName, region types.Region) (*endpoint, error) {
	w.mu.Lock()
	w.born++
	number := w.born
	// Engines that start before the daemons have warmed up.
	warm := len(w.daemons) == 0
	w.mu.Unlock()
	id := fmt.Sprintf("i-%s-%s-%d", service, region, number)
	found, cold, err := w.newEndpoint(id, service, region, warm)
	if err != nil {
		return nil, err
	}
	if found.link, err = link.NewAt(w.endpointAddress(number), found.Address(), w.senders.opened); err != nil {
		return nil, eris.Wrap(err, "link")
	}
	w.mu.Lock()
	w.links = append(w.links, found.link)
	w.mu.Unlock()
	w.enter(found, cold)
	w.announce(found, ready)
	return found, nil
}

// endpointAddress returns an address of the run's range. Its port is below those that the
// kernel gives to connections, so that it stays free while an endpoint is away.
func (w *World) endpointAddress(number int) string {
	const firstNet, perNet, port = 100, 200, 8150
	return fmt.Sprintf("127.%d.%d.%d:%d", w.loopback, firstNet+number/perNet, 1+number%perNet, port)
}

// newEndpoint prepares one start of an endpoint, and returns the time in which it is
// cold; nil if it isn't.
func (w *World) newEndpoint(id string, service types.ServiceName, region types.Region, warm bool) (*endpoint, *check.Cold, error) {
	now, coldUntil := time.Now(), time.Time{}
	var cold *check.Cold
	if service == engines && !warm {
		length, perSecond := w.opts.cold()
		coldUntil = now.Add(length)
		cold = &check.Cold{Endpoint: id, StartedAt: now, From: now, To: coldUntil, Most: perSecond*coldOvershoot + coldSlack}
	}
	found := &endpoint{id: id, service: service, region: region}
	var err error
	found.Endpoint, err = standin.NewEndpoint(standin.EndpointOptions{
		Deadly: func(parts string) bool { return w.tainted.Load() && strings.Contains(parts, check.DeadlyPart) },
		Crash:  func() { w.crashByPart(found) },
		ID:     id, Service: service, DataCentre: dataCentreOf(region), Slots: slots, Ledger: w.ledger, Store: w.store,
		StartedAt: now, ColdUntil: coldUntil, Sender: w.senders.name,
	})
	return found, cold, eris.Wrap(err, "endpoint")
}

// enter lets an endpoint serve behind its link, and notes it.
func (w *World) enter(one *endpoint, cold *check.Cold) {
	one.SetAdvertisedAddress(one.link.Address())
	one.SetBehaviour(standin.Behaviour{Delay: workTime})
	w.serving.Go(one.Serve)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints = append(w.endpoints, one)
	w.placeOf[one.id] = dataCentreOf(one.region)
	if cold != nil {
		w.record.Colds = append(w.record.Colds, *cold)
	}
}

// pick returns an endpoint of those that are there.
func (w *World) pick(number int) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[number%len(w.endpoints)]
}

func (w *World) remove(one *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints = slices.DeleteFunc(w.endpoints, func(other *endpoint) bool { return other == one })
}

func (w *World) endpointsOf(service types.ServiceName) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*endpoint
	for _, one := range w.endpoints {
		if one.service == service {
			found = append(found, one)
		}
	}
	return found
}
