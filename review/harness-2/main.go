//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds what each case does: it returns whether the rule was broken, and what was
// seen.
var cases = map[string]func(w *world, trouble bool) (bool, string, error){
	"refused": refusedAfterRun,
	"revoked": revokedKeyAfterRestore,
	"memory":  lostByMemory,
	"hop":     stoppedOverHop,
}

// places is the deployment of all cases: zones and their regions.
var places = map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"}

func main() {
	os.Exit(show(os.Args[1:]))
}

func show(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "harness-2 CASE BINARY RECORD")
		return failed
	}
	w, err := newWorld(arguments[1], arguments[2], places)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		w.end()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broke, seen, err := cases[arguments[0]](w, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	w.record.add("result: broken %t: %s", broke, seen)
	fmt.Printf("trouble %t, rule broken %t: %s\n", trouble, broke, seen)
	if broke {
		return broken
	}
	return held
}
