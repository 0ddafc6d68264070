package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("A service whose routes have different objectives", func() {
	const engines, plain = types.ServiceName("engines"), types.ServiceName("desk")
	// route returns one whose requests take longer the less urgent it is.
	route := func(service types.ServiceName, rank int, objective time.Duration) *catalog.Route {
		return &catalog.Route{Rank: rank, Objective: objective, Timeout: time.Duration(5+rank) * time.Second, Backends: []catalog.Backend{{Service: service, Weight: 1}}}
	}
	config := func(routes ...*catalog.Route) *catalog.Config {
		found := &catalog.Config{Version: 1, Routes: routes, Services: map[types.ServiceName]*catalog.Service{
			engines: {Name: engines, Engine: &catalog.Engine{Slots: 24}}, plain: {Name: plain},
		}}
		found.Prepare()
		return found
	}

	timeout := func(route *catalog.Route, timeout time.Duration) *catalog.Route {
		route.Timeout = timeout
		return route
	}

	DescribeTable("mixes them if its engines have to respond sooner to a more urgent route with shorter work", func(mixes bool, routes ...*catalog.Route) {
		Expect(config(routes...).MixesObjectives(engines)).To(Equal(mixes))
		Expect(config(routes...).Predicts()).To(Equal(mixes))
	},
		Entry("sooner", true, route(engines, 0, 800*time.Millisecond), route(engines, 1, 1200*time.Millisecond)),
		Entry("sooner, listed last", true, route(engines, 1, 1200*time.Millisecond), route(engines, 0, 800*time.Millisecond)),
		Entry("later", false, route(engines, 0, 3*time.Second), route(engines, 1, time.Second)),
		Entry("at the same time", false, route(engines, 0, time.Second), route(engines, 1, time.Second)),
		Entry("as urgent", false, route(engines, 1, 800*time.Millisecond), route(engines, 1, time.Second)),
		Entry("with work as long", false, route(engines, 0, time.Second), timeout(route(engines, 1, 3*time.Second), 5*time.Second)),
		Entry("with longer work", false, timeout(route(engines, 0, time.Second), 8*time.Second), timeout(route(engines, 1, 3*time.Second), 4*time.Second)),
		Entry("with work of any length", false, timeout(route(engines, 0, time.Second), 0), route(engines, 1, 3*time.Second)),
		Entry("without an objective", false, route(engines, 0, 0), route(engines, 1, time.Second)),
		Entry("at another service", false, route(plain, 0, 300*time.Millisecond), route(engines, 1, time.Second)),
		Entry("at endpoints that are no engines", false, route(plain, 0, 300*time.Millisecond), route(plain, 1, time.Second)),
		Entry("without routes", false))
})
