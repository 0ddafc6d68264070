//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/platform/wire"
)

// Keys of the tenant: one is taken away.
const (
	keptKey  = "jbvk9m68k7b2ex5wa5xw"
	takenKey = "yhks8nbkxxmibw6kpqk8"
)

// Times of the case, those of a deployment with strictRevoke.
const (
	revokeBound = 5 * time.Second
	// copyAge is how long before the revocation the store's copy was made.
	copyAge = time.Second
	// awayFrom and awayFor are when the store goes away, after the acknowledgement of the
	// revocation, and for how long.
	awayFrom = 4600 * time.Millisecond
	awayFor  = 600 * time.Millisecond
	// restartAfter is the delay before the platform starts a process again.
	restartAfter = 300 * time.Millisecond
	// writtenAgain is how long after its return the store has what the operator wrote.
	writtenAgain = 1500 * time.Millisecond
)

// strictLimits are those of a deployment whose keys must stop working in time.
var strictLimits = limits{memoryMB: 284, maxFDs: 4100, bounds: map[string]string{
	"strictRevoke": "true", "revokeMs": "5000", "configMs": "5000", "contactMs": "6000",
	"quotaWindowS": "8", "quotaOvershoot": "0.25", "quotaSlack": "190000",
}}

// keysConfig has one route, and a tenant with keys.
func keysConfig(version uint64, keys ...string) wire.Config {
	config := orderConfig()
	config.Version = version
	config.Tenants = []wire.Tenant{{Name: "huka270", APIKeys: keys, Priority: 1, BillingUnit: wire.BillingRequests}}
	return config
}

// revokedKeyAfterRestore takes a key away, then kills all processes while the store is away
// and comes back from a copy that still has the key.
func revokedKeyAfterRestore(w *world, trouble bool) (bool, string, error) {
	desk := func(one *worker, conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Request-Id")
		w.record.add("worker %s got tenant %q with %s", one.id, request.Header.Get("Tenant"), id)
		time.Sleep(15 * time.Millisecond)
		return one.writeAnswer(conn, http.StatusOK, id, "done "+id+"\n")
	}
	for _, id := range []string{"i-1", "i-2"} {
		one, err := w.newWorker(id, "desk", "north-a", 6, desk)
		if err != nil {
			return false, "", err
		}
		one.publish(wire.StateReady)
	}
	for index := range 3 {
		if _, err := w.newDaemon(fmt.Sprintf("front-%d", index+1), "north-a"); err != nil {
			return false, "", err
		}
	}
	w.publish(keysConfig(7, keptKey, takenKey))
	if err := w.startAll(strictLimits); err != nil {
		return false, "", err
	}
	if got := orderWith(w, w.daemons[0], takenKey).send(w.record); got.status != http.StatusOK {
		return false, "", fmt.Errorf("the key does not work before it is taken away: %d", got.status)
	}
	older := w.store.Copy()
	time.Sleep(copyAge)
	w.publish(keysConfig(11, keptKey))
	acknowledged := time.Now()
	w.record.add("the store acknowledges version 11, which takes the key away")
	time.Sleep(time.Until(acknowledged.Add(awayFrom)))
	if trouble {
		go w.restoreAndRestart(older, acknowledged)
	}
	ran, served := w.sendBoth(acknowledged)
	if served == 0 {
		return false, "", fmt.Errorf("no order with the other key was answered")
	}
	return ran > 0, fmt.Sprintf("orders with the key that stayed answered %d; orders with the taken key that were sent over %v after the acknowledgement and ran: %d", served, revokeBound, ran), nil
}

// orderWith returns an order with a key.
func orderWith(w *world, to *daemon, key string) call {
	c := newCall(to, http.MethodPost, "/order/1", "an order", 5*time.Second)
	c.header = map[string]string{"Authorization": "Bearer " + key}
	return c
}

// restoreAndRestart kills all processes while the store is away, and lets the store come back
// from a copy.
func (w *world) restoreAndRestart(older standin.Copy, acknowledged time.Time) {
	w.record.add("the store goes away; all processes are killed")
	w.store.SetFault(standin.Unresponsive)
	for _, d := range w.daemons {
		d.kill()
	}
	time.Sleep(restartAfter)
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			w.record.add("%s does not start: %v", d.name, err)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(awayFrom + awayFor)))
	w.store.Restore(older)
	w.store.SetFault(standin.NoFault)
	w.record.add("the store is back from its copy, with version 7")
	time.Sleep(writtenAgain)
	w.publish(keysConfig(11, keptKey))
	w.record.add("version 11 is written again")
}

// sendBoth sends orders with both keys to all daemons for some seconds. It returns how many
// with the taken key ran although they were sent later than the bound, and how many with the
// other key were answered.
func (w *world) sendBoth(acknowledged time.Time) (ran, served int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, d := range w.daemons {
		for _, key := range []string{keptKey, takenKey} {
			clients.Go(func() {
				for time.Since(acknowledged) < 9*time.Second {
					c := orderWith(w, d, key)
					late := time.Since(acknowledged) > revokeBound
					got := c.send(w.record)
					mu.Lock()
					switch {
					case key == keptKey && got.status == http.StatusOK:
						served++
					case key == takenKey && late && len(w.runsOf(c.id)) > 0:
						ran++
						w.record.add("CONFIG: %s with the taken key ran", c.id)
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return ran, served
}
