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

// signRequests returns count requests with tickets that this incarnation owns.
func signRequests(b *testing.B, ring *ticket.Keyring, count int) []once.RequestInfo {
	requests := make([]once.RequestInfo, count)
	for i := range requests {
		claims := ticket.Claims{Org: "coop", Owner: self, Issuer: self, StartBy: atSecond(30)}
		binary.BigEndian.PutUint64(claims.ID[:8], uint64(i))
		text, err := ring.Sign(claims)
		if err != nil {
			b.Fatal(err)
		}
		requests[i] = once.RequestInfo{Org: "coop", Service: service, Key: text}
	}
	return requests
}

func benchKeyring(b *testing.B) *ticket.Keyring {
	ring, err := ticket.NewKeyring(ticket.Key{ID: "k", Secret: bytes.Repeat([]byte("s"), ticket.MinSecretBytes)})
	if err != nil {
		b.Fatal(err)
	}
	return ring
}

// BenchmarkOrder measures one request at its owner: verify, begin, finish, and
// one replay of the response.
func BenchmarkOrder(b *testing.B) {
	ring := benchKeyring(b)
	const batch = 10_000
	requests := signRequests(b, ring, batch)
	var ledger *once.Ledger
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%batch == 0 {
			ledger = once.NewLedger(self, ring, once.Options{})
		}
		req := requests[i%batch]
		decision := ledger.Begin(atSecond(0), req, view)
		ledger.Finish(atSecond(1), decision.ID, ranOutcome("done"))
		ledger.Begin(atSecond(2), req, view)
	}
}

// BenchmarkIssue measures the issue of one ticket for GET /v1/entries.
func BenchmarkIssue(b *testing.B) {
	issuer := ticket.Issuer{Keyring: benchKeyring(b), Self: self}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := issuer.Issue(atSecond(0), ticket.Request{Org: "coop", Owner: self}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecordMemory reports the memory of recorded requests without the
// bodies of their responses.
func BenchmarkRecordMemory(b *testing.B) {
	ring := benchKeyring(b)
	for _, count := range []int{10_000, 30_000, once.DefaultMaxRecords} {
		requests := signRequests(b, ring, count)
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(recordMemory(ring, requests)/float64(count), "bytes/record")
			}
		})
	}
}

// recordMemory returns the memory that a ledger takes for the requests, in bytes.
func recordMemory(ring *ticket.Keyring, requests []once.RequestInfo) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledger := once.NewLedger(self, ring, once.Options{MaxOrgRecords: len(requests)})
	for _, req := range requests {
		decision := ledger.Begin(atSecond(0), req, view)
		ledger.Finish(atSecond(1), decision.ID, ranOutcome(""))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(ledger)
	return float64(after.HeapAlloc - before.HeapAlloc)
}
