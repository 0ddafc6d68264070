package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// StaticControl is control state for trials and tests: it has one configuration
// and one VM list, which never change, and exchanges no messages with other
// daemons.
type StaticControl struct {
	holder snapshot.Holder
	mu     sync.Mutex
}

var _ Control = (*StaticControl)(nil)

// NewStaticControl returns control state with the given configuration and VM
// list.
func NewStaticControl(self snapshot.Self, config *published.Configuration, listing platform.VMListing) *StaticControl {
	s := new(StaticControl)
	s.holder.Store(staticSnapshot(self, config, listing))
	return s
}

// loadStatic reads the configuration and the VM list from the files named in the
// settings.
func loadStatic(self snapshot.Self, files settings.Static) (*StaticControl, error) {
	config := new(published.Configuration)
	if err := readJSON(files.Configuration, config); err != nil {
		return nil, err
	}
	var listing platform.VMListing
	if err := readJSON(files.VMList, &listing); err != nil {
		return nil, err
	}
	return NewStaticControl(self, config, listing), nil
}

func readJSON(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read static file")
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return eris.Wrapf(err, "%s", path)
	}
	return nil
}

func staticSnapshot(self snapshot.Self, config *published.Configuration, listing platform.VMListing) *snapshot.Snapshot {
	view := &snapshot.Snapshot{
		Self:      self,
		Config:    config,
		Endpoints: make(map[types.ServiceName][]*snapshot.Endpoint),
	}
	for _, vm := range listing.VMs {
		switch vm.Role {
		case platform.RoleEndpoint:
			view.Endpoints[vm.Service] = append(view.Endpoints[vm.Service], staticEndpoint(vm))
		case platform.RoleEntry:
			if vm.Peer != self.Incarnation.VM {
				view.Members = append(view.Members, staticMember(vm))
			}
		}
	}
	for _, endpoints := range view.Endpoints {
		slices.SortFunc(endpoints, func(a, b *snapshot.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

func staticEndpoint(vm platform.VM) *snapshot.Endpoint {
	endpoint := &snapshot.Endpoint{
		ID: vm.Endpoint, Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre,
		Service: vm.Service, Version: vm.Version, Slots: vm.Slots, Counters: new(snapshot.Counters),
	}
	if vm.Leaving {
		endpoint.State, endpoint.Reason = snapshot.EndpointLeaving, "published as leaving"
	}
	return endpoint
}

func staticMember(vm platform.VM) snapshot.Member {
	member := snapshot.Member{
		Incarnation: types.Incarnation{VM: vm.Peer}, Region: vm.Region, DataCentre: vm.DataCentre,
		CallerAddress: vm.Address, State: snapshot.MemberListed,
	}
	if vm.Leaving {
		member.State = snapshot.MemberLeaving
	}
	return member
}

// Load returns the current snapshot.
func (s *StaticControl) Load() *snapshot.Snapshot {
	return s.holder.Load()
}

// Submit handles the start of a drain and ignores every other event.
func (s *StaticControl) Submit(e event.Event) bool {
	if _, draining := e.(event.DrainStarted); draining {
		s.Update(func(view *snapshot.Snapshot) { view.Draining = true })
	}
	return true
}

// Update applies change to a copy of the snapshot and publishes the copy.
func (s *StaticControl) Update(change func(*snapshot.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.holder.Load()
	change(&next)
	s.holder.Store(&next)
}

// Run blocks until ctx ends.
func (s *StaticControl) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Peers returns nil: messages from other daemons are not accepted.
func (s *StaticControl) Peers() http.Handler {
	return nil
}
