package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// newResolver returns a daemon whose callers asked for a number of restricted routes, and how
// often its count of them was asked for the time since.
func newResolver(routes int) (daemon *Entry, reads *int) {
	daemon, err := New(Options{Settings: Settings{VM: "a:1", Region: "north", DataCentre: "north-a", Grace: time.Second}, Output: io.Discard})
	Expect(err).NotTo(HaveOccurred())
	reads = new(int)
	daemon.demand = demand.NewCounter(func() time.Time {
		*reads++
		return time.Now()
	})
	for route := range routes {
		daemon.demand.Record(&catalog.Route{Name: fmt.Sprint("r", route), AllowedRegions: []types.Region{"north"}})
	}
	*reads = 0
	return daemon, reads
}

// servingNorth is a snapshot in which the own region has two daemons.
func servingNorth() *control.Snapshot {
	member := func(vm types.VMID) members.Member {
		return members.Member{VM: vm, CallerAddress: string(vm), State: members.Serving, Region: "north", DataCentre: "north-a"}
	}
	config := &catalog.Config{Routes: []*catalog.Route{{Name: "r0", Host: "bound.example", Prefix: "/", AllowedRegions: []types.Region{"north"}}}}
	config.Prepare()
	return &control.Snapshot{Self: member("a:1"), Members: []members.Member{member("b:1")}, View: &catalog.View{Config: config}}
}

var _ = ginkgo.Describe("The directory of a daemon", func() {
	ginkgo.It("asks for what callers asked for only if their region has no daemon", func() {
		daemon, reads := newResolver(1)
		snap := servingNorth()
		given := daemon.resolve(snap, Lookup{Host: "bound.example", Region: "north", DataCentre: "north-a"})
		Expect(given.Scope).To(Equal(LocalScope))
		Expect(daemon.resolve(snap, Lookup{Host: "bound.example", Region: "north", DataCentre: "north-b"}).Scope).To(Equal(RegionScope))
		Expect(*reads).To(BeZero())
		daemon.resolve(snap, Lookup{Host: "bound.example", Region: "south", DataCentre: "south-a"})
		Expect(*reads).To(Equal(1))
	})
})

func BenchmarkResolve(b *testing.B) {
	RegisterTestingT(b)
	daemon, _ := newResolver(400)
	snap := servingNorth()
	for b.Loop() {
		daemon.resolve(snap, Lookup{Host: "bound.example", Region: "north", DataCentre: "north-a"})
	}
}
