package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["withheld"] = withheldCase }

// Figures of the withheld case.
const (
	batchPeriod  = 10 * time.Second
	batchSize    = 10
	deadlyPeriod = 600 * time.Millisecond
	// rollGap is the time between the stops of the two machines.
	rollGap = 1300 * time.Millisecond
)

// withheldCase stops and starts both machines in turn, and then lets a part of
// prompts crash workers before the next batch of sound requests, which have the same
// first part, comes.
func withheldCase(r *run) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	e := &engines{r: r, began: map[string]time.Time{}}
	s.put("op/config", config(1, []map[string]any{askRoute("huvo11a")}, service("huvo11a", 370, true)))
	for number := range 6 {
		if err := e.start(s, fmt.Sprintf("i-a%d", number), "huvo11a", "kathmandu-a"); err != nil {
			return verdict{}, err
		}
	}
	if r.fleet, err = newFleet(r.dir, s, map[string]string{"kathmandu-a": "kathmandu"}, "kathmandu-a", "kathmandu-a"); err != nil {
		return verdict{}, err
	}
	if err := r.fleet.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + time.Second) // in touch
	type sound struct {
		sent  time.Time
		began bool
	}
	var mu sync.Mutex
	var sounds []sound
	var clients sync.WaitGroup
	sent := 0
	batch := func() {
		for range batchSize {
			sent++
			id, address := fmt.Sprintf("sound-%d", sent), r.fleet.daemons[sent%2].at(frontPort)
			clients.Go(func() {
				at := time.Now()
				o := ask(address, id, firstPart, soundPart)
				e.mu.Lock()
				_, began := e.began[id]
				e.mu.Unlock()
				mu.Lock()
				sounds = append(sounds, sound{at, began})
				mu.Unlock()
				r.logAt(o.done, "client has for %s: %v", id, o)
			})
		}
	}
	for range 3 {
		start := time.Now()
		batch()
		time.Sleep(time.Until(start.Add(batchPeriod)))
	}
	start := time.Now()
	batch()
	time.Sleep(500 * time.Millisecond)
	var rolling sync.WaitGroup
	for number, d := range r.fleet.daemons {
		if number > 0 {
			time.Sleep(rollGap)
		}
		r.logf("SIGTERM to %s", d.node)
		d.signal(syscall.SIGTERM)
		rolling.Go(func() {
			<-d.ended
			time.Sleep(200 * time.Millisecond)
			if err := r.fleet.start(d); err != nil {
				r.logf("%s does not start: %v", d.node, err)
			}
		})
	}
	rolling.Wait()
	for _, d := range r.fleet.daemons {
		if err := d.awaitReady(5 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	r.logf("both machines run again")
	stop := make(chan struct{})
	var deadly sync.WaitGroup
	deadly.Go(func() {
		for number := 0; ; number++ {
			id, address := fmt.Sprintf("deadly-%d", number), r.fleet.daemons[number%2].at(frontPort)
			clients.Go(func() {
				o := ask(address, id, firstPart, deadlyPart)
				r.logAt(o.done, "client has for %s: %v", id, o)
			})
			select {
			case <-time.After(deadlyPeriod):
			case <-stop:
				return
			}
		}
	})
	rolled := time.Now()
	for range 5 {
		start = start.Add(batchPeriod)
		time.Sleep(time.Until(start))
		batch()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	deadly.Wait()
	clients.Wait()
	from, crashes := rolled.Add(2*contact), e.crashes()
	if r.trouble {
		if len(crashes) == 0 {
			return verdict{}, fmt.Errorf("no worker crashed")
		}
		from = crashes[min(len(crashes), 5)-1].Add(2 * contact)
	}
	r.logf("%d crashes; sound requests count from %.3f s on", len(crashes), from.Sub(r.started).Seconds())
	outside, outsideBegan, after, afterBegan := 0, 0, 0, 0
	for _, one := range sounds {
		switch {
		case one.sent.Before(rolled):
			outside++
			if one.began {
				outsideBegan++
			}
		case one.sent.After(from):
			after++
			if one.began {
				afterBegan++
			}
		}
	}
	broken := outside >= 20 && after >= 20 && float64(afterBegan)/float64(after) < 0.5*float64(outsideBegan)/float64(outside)
	return verdict{broken, fmt.Sprintf("%d crashes; before them %d of %d sound requests began at a worker; from 10 s after the fifth crash on, %d of %d", len(crashes), outsideBegan, outside, afterBegan, after)}, nil
}
