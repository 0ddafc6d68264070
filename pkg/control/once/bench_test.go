package once_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"strconv"
	"testing"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
)

// ordersFor signs count tickets of this incarnation.
func ordersFor(b *testing.B, ring *ticket.Keyring, count int) []once.RequestInfo {
	orders := make([]once.RequestInfo, count)
	for i := range orders {
		claims := ticket.Claims{Org: "coop", Owner: self, Issuer: self, StartBy: at(30)}
		binary.BigEndian.PutUint64(claims.ID[:8], uint64(i))
		text, err := ring.Sign(claims)
		if err != nil {
			b.Fatal(err)
		}
		orders[i] = once.RequestInfo{Org: "coop", Service: service, Key: text}
	}
	return orders
}

func benchKeyring(b *testing.B) *ticket.Keyring {
	ring, err := ticket.NewKeyring(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), ticket.MinSecretBytes)})
	if err != nil {
		b.Fatal(err)
	}
	return ring
}

// BenchmarkOrder measures one order at its owner: verify, begin, finish, and one
// replay of the answer.
func BenchmarkOrder(b *testing.B) {
	ring := benchKeyring(b)
	const batch = 10_000
	orders := ordersFor(b, ring, batch)
	var ledger *once.Ledger
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%batch == 0 {
			ledger = once.NewLedger(self, ring, once.Options{})
		}
		order := orders[i%batch]
		decision := ledger.Begin(at(0), order, view)
		ledger.Finish(at(1), decision.ID, ranWith("done"))
		ledger.Begin(at(2), order, view)
	}
}

// BenchmarkIssue measures one ticket of GET /v1/entries.
func BenchmarkIssue(b *testing.B) {
	issuer := ticket.Issuer{Keyring: benchKeyring(b), Self: self}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := issuer.Issue(at(0), ticket.Request{Org: "coop", Owner: self}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecordMemory reports the memory of remembered orders without their
// answers' bodies.
func BenchmarkRecordMemory(b *testing.B) {
	ring := benchKeyring(b)
	for _, count := range []int{10_000, 30_000, once.DefaultMaxRecords} {
		orders := ordersFor(b, ring, count)
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(recordMemory(ring, orders)/float64(count), "bytes/record")
			}
		})
	}
}

// recordMemory returns the bytes that a ledger takes for the orders.
func recordMemory(ring *ticket.Keyring, orders []once.RequestInfo) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledger := once.NewLedger(self, ring, once.Options{MaxOrgRecords: len(orders)})
	for _, order := range orders {
		decision := ledger.Begin(at(0), order, view)
		ledger.Finish(at(1), decision.ID, ranWith(""))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(ledger)
	return float64(after.HeapAlloc - before.HeapAlloc)
}
