package entry

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/sharedrand"
	"github.com/flamingomount/flamingomount/pkg/suspension"
)

// newQuotas returns the quotas of organisations, which limit nothing until a configuration
// has some.
func newQuotas(settings Settings, log logrus.FieldLogger, panics *guard.Guard, registry prometheus.Registerer, memory *bodies.Pool, sockets *graceful.Sockets) *exchange.Exchange {
	return exchange.New(exchange.Options{
		Bounds:  settings.Quota,
		Asker:   exchange.NewHTTPAsker(proxy.NewBoundedTransport(sockets)),
		Bodies:  memory,
		Metrics: exchange.NewMetrics(registry),
		Guard:   panics,
		Log:     log,
		Now:     func() time.Time { return time.Now().Add(suspension.Total()) },
		Rand:    sharedrand.Source{},
	})
}

// quotaDaemons returns the number of daemons among which quotas are divided; zero if it is
// not known yet.
func quotaDaemons(size members.SharedSize) int {
	if !size.MayMint() {
		return 0
	}
	return size.Daemons
}

// partialFleetLog tells operators once that quotas are minted although no daemon of some data
// centre was seen.
type partialFleetLog struct {
	log  logrus.FieldLogger
	done bool
}

// note notes the number of daemons and the snapshot of which it is.
func (l *partialFleetLog) note(size members.SharedSize, expected members.Expected, snap *control.Snapshot) {
	limited := func(organisation *catalog.Organisation) bool { return organisation.Quota != nil }
	if l.done || size.Complete || !size.MayMint() || !slices.ContainsFunc(snap.View.Config.Organisations, limited) {
		return
	}
	l.done = true
	l.log.WithFields(logrus.Fields{
		"daemons": size.Daemons, "data_centres_seen": snap.Peak.DataCentres, "data_centres": expected.DataCentres,
	}).Warn("quotas are divided although daemons of some data centres were not seen; if those run and are cut off, quotas may be exceeded")
}

// quotaNeighbours returns whom this daemon asks for credit of organisations; nobody if the
// configuration has none.
func quotaNeighbours(snap *control.Snapshot) quota.Neighbours {
	if len(snap.View.Config.Organisations) == 0 {
		return quota.Neighbours{Self: snap.Self.VM, Holder: snap.Self.VM}
	}
	others := make([]quota.Daemon, 0, len(snap.Members))
	for _, member := range snap.Members {
		if member.State == members.Serving {
			others = append(others, quota.Daemon{VM: member.VM, Region: member.Region, DataCentre: member.DataCentre})
		}
	}
	self := quota.Daemon{VM: snap.Self.VM, Region: snap.Self.Region, DataCentre: snap.Self.DataCentre}
	return quota.NeighboursOf(self, others)
}
