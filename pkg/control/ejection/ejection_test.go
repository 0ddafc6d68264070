package ejection_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/ejection"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestEjection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ejection")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newHealth() *ejection.Health {
	health := ejection.New(outlier.Options{})
	health.Track(map[types.ServiceName][]*snapshot.Endpoint{
		"quotes": {{ID: "a", Service: "quotes"}, {ID: "b", Service: "quotes"}, {ID: "c", Service: "quotes"}, {ID: "d", Service: "quotes"}},
	})
	return health
}

func stateOf(health *ejection.Health, at time.Time) snapshot.EndpointState {
	state, _, _ := health.StateOf("a", at)
	return state
}

var _ = Describe("ejection", func() {
	It("ejects an endpoint that refuses connections, and makes it ready again later", func() {
		health := newHealth()
		health.Observe(event.AttemptFinished{At: start, Endpoint: "b", Connected: true})
		unreachable := event.AttemptFinished{At: start, Endpoint: "a", Code: types.CodeNoEndpoint}
		changed := false
		for range 3 {
			changed = health.Observe(unreachable) || changed
		}
		Expect(changed).To(BeTrue())
		Expect(stateOf(health, start)).To(Equal(snapshot.EndpointEjected))
		Expect(health.Tick(start.Add(time.Second))).To(BeFalse())
		Expect(health.Tick(start.Add(time.Hour))).To(BeTrue())
		Expect(stateOf(health, start.Add(time.Hour))).To(Equal(snapshot.EndpointReady))
	})

	DescribeTable("does not eject an endpoint for attempts with a neutral outcome",
		func(e event.AttemptFinished) {
			health := newHealth()
			e.At, e.Endpoint, e.Connected = start, "a", true
			for range 20 {
				Expect(health.Observe(e)).To(BeFalse())
			}
			Expect(stateOf(health, start)).To(Equal(snapshot.EndpointReady))
		},
		Entry("overloaded", event.AttemptFinished{Code: types.CodeOverloaded}),
		Entry("leaving", event.AttemptFinished{Code: types.CodeDraining, Leaving: true}),
		Entry("caller gone", event.AttemptFinished{Code: types.CodeCallerGone}),
	)
})
