// Command harness plays the cases of the review: it starts daemons as the deploy
// file says, between stand-ins of the store, the workers and the clients, and judges
// one rule by what these have seen.
//
// It ends with status 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case.
type run struct {
	trouble bool
	dir     string
	fleet   *fleet
	started time.Time

	mu     sync.Mutex
	record *os.File
}

// logf writes a line with the time since the start to the record.
func (r *run) logf(format string, values ...any) {
	r.logAt(time.Now(), format, values...)
}

func (r *run) logAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// verdict tells whether the rule was broken.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases of the review by name; each file adds its own.
var cases = map[string]func(*run) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// limit ends a run that takes too long.
const limit = 115 * time.Second

func play(work func(*run) (verdict, error), recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, started: time.Now()}
	defer func() { _ = record.Close() }()
	type result struct {
		verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := work(r)
		done <- result{v, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var end result
	select {
	case end = <-done:
	case <-time.After(limit):
		end.err = fmt.Errorf("the case took too long")
	case <-stop:
		end.err = fmt.Errorf("the case was stopped")
	}
	if r.fleet != nil {
		r.fleet.stopAll()
	}
	switch {
	case end.err != nil:
		r.logf("could not run: %v", end.err)
		fmt.Println("could not run:", end.err)
		return 2
	case end.broken:
		r.logf("BROKEN: %s", end.text)
		fmt.Println("BROKEN:", end.text)
		return 1
	}
	r.logf("held: %s", end.text)
	fmt.Println("held:", end.text)
	return 0
}
