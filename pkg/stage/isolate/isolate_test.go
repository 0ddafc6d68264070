package isolate_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/isolate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestIsolate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "isolate")
}

const (
	entriesPerRegion   = 3
	endpointsPerRegion = 6
	// maxCrashed is the number of endpoints that one request may crash.
	maxCrashed = 3
)

var regionNames = []types.Region{"colombo", "singapore", "frankfurt"}

// fleet holds the daemons of three regions, which call each other directly.
type fleet struct {
	guards   map[types.VMID]*isolate.Guard
	trackers map[types.VMID]*quarantine.Tracker
	views    map[types.VMID]*snapshot.Snapshot

	mu      sync.Mutex
	crashed map[types.EndpointID]bool
}

// Call implements isolate.Sender.
func (f *fleet) Call(_ context.Context, to types.VMID, question quarantine.OwnerRequest) (quarantine.Answer, error) {
	tracker := f.trackers[to]
	if tracker == nil {
		return quarantine.Answer{}, errors.New("no such daemon")
	}
	return tracker.Handle(question, time.Now()), nil
}

func newFleet() *fleet {
	f := &fleet{
		guards: map[types.VMID]*isolate.Guard{}, trackers: map[types.VMID]*quarantine.Tracker{},
		views:   map[types.VMID]*snapshot.Snapshot{},
		crashed: map[types.EndpointID]bool{},
	}
	var members []snapshot.Member
	for _, region := range regionNames {
		for i := range entriesPerRegion {
			vm := types.VMID(fmt.Sprintf("%s-%d", region, i))
			members = append(members, snapshot.Member{
				Incarnation: types.Incarnation{VM: vm, Boot: "1"}, Region: region,
				CallerAddress: string(vm), State: snapshot.MemberAlive, Revision: 1,
			})
		}
	}
	for i, self := range members {
		vm := self.Incarnation.VM
		f.views[vm] = &snapshot.Snapshot{
			Self:    snapshot.Self{Incarnation: self.Incarnation, Region: self.Region, CallerAddress: string(vm)},
			Config:  &published.Configuration{},
			Members: markRemoteListed(self.Region, slices.Delete(slices.Clone(members), i, i+1)),
		}
		f.trackers[vm] = quarantine.New(quarantine.Options{})
		f.guards[vm] = isolate.New(isolate.Options{
			Tracker: f.trackers[vm], Snapshot: func() *snapshot.Snapshot { return f.views[vm] }, Sender: f, Now: time.Now,
		})
	}
	return f
}

// markRemoteListed sets the members of other regions to MemberListed, since a
// daemon knows them from the published list only.
func markRemoteListed(region types.Region, members []snapshot.Member) []snapshot.Member {
	for i := range members {
		if members[i].Region != region {
			members[i].State = snapshot.MemberListed
		}
	}
	return members
}

// availableEndpoint returns an endpoint of the region that has not crashed.
func (f *fleet) availableEndpoint(region types.Region, offset int) *snapshot.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range endpointsPerRegion {
		id := types.EndpointID(fmt.Sprintf("%s-e%d", region, (i+offset)%endpointsPerRegion))
		if !f.crashed[id] {
			return &snapshot.Endpoint{ID: id, Region: region}
		}
	}
	return nil
}

// crash marks the endpoint as crashed.
func (f *fleet) crash(id types.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed[id] = true
}

func (f *fleet) crashedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashed)
}

// sendFatalRequest sends the fatal request through one daemon until it is refused
// with a failure; nil when every endpoint of the region has crashed.
func (f *fleet) sendFatalRequest(vm types.VMID, offset int) *types.Failure {
	region := f.views[vm].Self.Region
	req := &request.Request{
		Org: &published.Organisation{Name: "kandy"}, Fingerprint: request.Fingerprint{0xff},
		Repeatable: true, Deadline: time.Now().Add(time.Minute),
	}
	for {
		endpoint := f.availableEndpoint(region, offset)
		if endpoint == nil {
			return nil
		}
		permit, elsewhere, failure := f.guards[vm].Admit(context.Background(), req, endpoint)
		switch {
		case failure != nil:
			return failure
		case elsewhere:
			offset++
		default:
			f.crash(permit.Endpoint)
			permit.Finish(isolate.Crashed)
		}
	}
}

var _ = Describe("a fatal request sent to every entry of three regions at once", func() {
	It("crashes few endpoints and is refused everywhere with the verdict NotRun", func() {
		f := newFleet()
		var wg conc.WaitGroup
		failures := make(chan *types.Failure, len(f.guards))
		nextOffset := 0
		for vm := range f.guards {
			nextOffset++
			offset := nextOffset
			wg.Go(func() { failures <- f.sendFatalRequest(vm, offset) })
		}
		wg.Wait()
		close(failures)
		for failure := range failures {
			Expect(failure).NotTo(BeNil())
			Expect(failure.Code).To(Equal(types.CodeQuarantined))
			Expect(failure.Verdict).To(Equal(types.NotRun))
		}
		for _, guard := range f.guards {
			guard.Wait()
		}
		Expect(f.crashedCount()).To(And(BeNumerically(">=", 2), BeNumerically("<=", maxCrashed)))
	})
})
