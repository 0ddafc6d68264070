//go:build review2

// Command harness-2 shows faults of the gateway in real processes. It starts the
// daemons of the deploy file on loopback, with a store, workers and clients of its
// own, and judges only what these have seen. Its first argument names the case:
//
//	harness-2 CASE BINARY RECORD
//
// BINARY is the daemon's program, RECORD the file that gets what was sent, answered and
// run. With TROUBLE=0 in the environment the disruption is left out. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main
