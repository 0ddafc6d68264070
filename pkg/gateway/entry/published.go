package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/suspension"
)

// unknownAge is the value of a gauge of an age that is not known, in seconds.
const unknownAge = -1

// registerConfirmation registers how old the configuration in force may be.
func registerConfirmation(state *control.Control, registry prometheus.Registerer) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingomount_gateway_config_confirmed_age_seconds",
		Help: "Time since this daemon had every version of the configuration that the store had acknowledged; -1 if nothing is confirmed.",
	}, func() float64 {
		confirmedAt := state.Load().ConfirmedAt
		if confirmedAt.IsZero() {
			return unknownAge
		}
		return time.Now().Add(suspension.Total()).Sub(confirmedAt).Seconds()
	}))
}

// registerPublished registers the metrics of the published state that is in force.
func registerPublished(state *control.Control, registry prometheus.Registerer) {
	gauge := func(name, help string, value func(*catalog.View) uint64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "flamingomount_gateway_" + name, Help: help},
			func() float64 { return float64(value(state.Load().View)) }))
	}
	gauge("store_era", "Era of the store, which rises each time that it comes back from a copy.",
		func(view *catalog.View) uint64 { return view.Era })
	gauge("store_revision", "Revision of the era up to which every change is known.",
		func(view *catalog.View) uint64 { return view.AppliedRevision })
	gauge("config_version", "Version of the configuration in force; 0 if there is none.",
		func(view *catalog.View) uint64 {
			if view.Config == nil {
				return 0
			}
			return view.Config.Version
		})
}
