package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashwatch"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// reporter passes on what attempts observe: broken answers to the crash watch, the
// rest to the control state.
type reporter struct {
	*crashwatch.Watcher
	control *control.Control
	history *crashes.History
}

var _ proxy.Reporter = (*reporter)(nil)

// newReporter returns a reporter. It registers the metrics of crashes.
func newReporter(state *control.Control, history *crashes.History, registry prometheus.Registerer) *reporter {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingomount_gateway_withheld_traits",
		Help: "Contents and prompt parts that are withheld from endpoints because they crashed several.",
	}, func() float64 { return float64(len(state.Load().Withheld)) }))
	return &reporter{
		Watcher: crashwatch.New(proxy.NewDialer().DialContext, state.ReportCrash, time.Now, registry),
		control: state, history: history,
	}
}

// ReportBroken implements proxy.Reporter.
func (r *reporter) ReportBroken(endpoint types.EndpointID, address string, traits crashes.Traits) {
	r.Broken(endpoint, address, traits)
}

// ReportSound implements proxy.Reporter.
func (r *reporter) ReportSound(traits crashes.Traits) {
	r.history.Add(traits, time.Now())
	r.control.ReportSound(traits)
}

// ReportUnreachable implements proxy.Reporter.
func (r *reporter) ReportUnreachable(vm types.VMID, err error) {
	r.control.ReportUnreachable(vm, err)
}
