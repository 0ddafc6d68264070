package proxy

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// manyOrganisations returns a configuration with a number of organisations.
func manyOrganisations(count int) *catalog.Config {
	route := &catalog.Route{Name: "r", Host: "a.example", Prefix: "/", Kind: catalog.Idempotent}
	config := &catalog.Config{Version: 1, Routes: []*catalog.Route{route}}
	for i := range count {
		name := fmt.Sprintf("organisation-%d", i)
		config.Organisations = append(config.Organisations, &catalog.Organisation{
			Name: types.OrgName(name), Credentials: []catalog.CredentialDigest{catalog.DigestOf("key of " + name)},
			Quota: &catalog.Quota{Rate: 10, Burst: 10},
		})
	}
	config.Prepare()
	return config
}

func BenchmarkIdentify(b *testing.B) {
	for _, count := range []int{0, 16, 39_000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			config := manyOrganisations(count)
			h := New(Options{Now: time.Now, RevocationLimit: 5 * time.Second})
			snap := &control.Snapshot{View: &catalog.View{Config: config}, ConfirmedAt: time.Now().Add(time.Hour)}
			req := &Request{Route: config.Routes[0], Header: http.Header{}}
			b.ReportAllocs()
			for b.Loop() {
				if count > 0 {
					req.Credential = catalog.DigestOf("key of organisation-7")
				}
				if failure := h.identify(req, snap); failure != nil {
					b.Fatal(failure.Message)
				}
			}
		})
	}
}

// BenchmarkOrganisationMemory reports the memory that organisations of a configuration take.
func BenchmarkOrganisationMemory(b *testing.B) {
	const count = 39_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		config := manyOrganisations(count)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/organisation")
		runtime.KeepAlive(config)
	}
}
