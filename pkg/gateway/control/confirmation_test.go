package control_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// noStore is the store at a daemon that it turns away.
type noStore struct{}

func (noStore) ReadAll(context.Context) ([]catalog.Record, catalog.Position, error) {
	return nil, catalog.Position{}, errDown
}

func (noStore) ReadEvacuations(context.Context) ([]catalog.Record, catalog.Position, error) {
	return nil, catalog.Position{}, errDown
}

func (noStore) Watch(context.Context, catalog.Position, time.Duration) (catalog.Delta, error) {
	return catalog.Delta{}, errors.New("turned away")
}

var _ = Describe("how old the configuration of a daemon may be", func() {
	const limit = 5 * time.Second
	var store *fakeStore
	var vms []types.VMID
	sharedStore := func(types.VMID) control.Store { return store }
	BeforeEach(func() {
		store, vms = newFakeStore(), nil
		store.put(configRecord(3))
		for i := range 8 {
			vms = append(vms, types.VMID(fmt.Sprintf("10.0.0.%d:1", i)))
		}
	})
	// confirmedAfter counts the daemons whose configuration is confirmed after a time.
	confirmedAfter := func(f *fleet, at time.Time) int {
		count := 0
		for _, daemon := range f.daemons {
			if daemon.Load().ConfirmedAt.After(at) {
				count++
			}
		}
		return count
	}
	// all expects that every daemon is confirmed after now.
	all := func(f *fleet) {
		GinkgoHelper()
		now := time.Now()
		Eventually(func() int { return confirmedAfter(f, now) }, waitLimit).Should(Equal(len(f.daemons)))
	}

	It("is known again and again by all daemons, though few read the store", func() {
		f := newRevokingFleet(limit, store, sharedStore, vms...)
		defer f.stop()
		all(f)
		all(f)
	})

	It("is known by daemons that the store turns away", func() {
		f := newRevokingFleet(limit, store, func(vm types.VMID) control.Store {
			if vm == vms[3] {
				return store
			}
			return noStore{}
		}, vms...)
		defer f.stop()
		all(f)
	})

	It("is not known to be younger than the last answer of the store", func() {
		f := newRevokingFleet(limit, store, sharedStore, vms...)
		defer f.stop()
		all(f)
		store.set(func() { store.down = true })
		down := time.Now()
		Consistently(func() int { return confirmedAfter(f, down) }, 3*time.Second).Should(BeZero())
		store.set(func() { store.down = false })
		all(f)
	})

	It("is not known to be younger at a daemon that reaches nobody", func() {
		f := newRevokingFleet(limit, store, func(vm types.VMID) control.Store {
			if vm == vms[7] {
				return noStore{}
			}
			return store
		}, vms...)
		defer f.stop()
		all(f)
		f.peers.setCut(vms[7], true)
		cut := time.Now()
		Eventually(func() int { return confirmedAfter(f, cut) }, waitLimit).Should(Equal(len(vms) - 1))
		Expect(f.daemons[7].Load().ConfirmedAt.After(cut)).To(BeFalse())
		f.peers.setCut(vms[7], false)
		all(f)
	})

	It("is not known while another daemon has a newer configuration than the restored store", func() {
		f := newRevokingFleet(limit, store, sharedStore, vms...)
		defer f.stop()
		all(f)
		copied := store.copy()
		store.put(configRecord(4))
		Eventually(f.versions, waitLimit).Should(HaveEach(uint64(4)))
		store.restore(copied)
		all(f)
		Expect(f.versions()).To(HaveEach(uint64(4)))
	})
})
