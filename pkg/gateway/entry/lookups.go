package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
)

// lookupLines limits the lines per second about answers that lead callers out of
// their region; a burst may have the lines of two seconds.
const lookupLines = 4

// lookupLog counts the answers of the directory by scope, and logs those that lead
// callers out of their region or name nobody.
type lookupLog struct {
	log     boundedLog
	limit   *rate.Limiter
	answers *prometheus.CounterVec
}

// newLookupLog returns a log whose counter is registered with registry.
func newLookupLog(log logrus.FieldLogger, registry prometheus.Registerer) *lookupLog {
	l := &lookupLog{
		log: boundedLog{log: log}, limit: lineLimit(lookupLines),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_directory_answers_total",
			Help: "Answers of the directory, by the daemons that they name.",
		}, []string{"scope"}),
	}
	for _, scope := range Scopes {
		l.answers.WithLabelValues(string(scope))
	}
	registry.MustRegister(l.answers)
	return l
}

// record counts an answer that was given on a snapshot, and logs it if it is unusual.
func (l *lookupLog) record(snap *control.Snapshot, lookup Lookup, given Answer) {
	l.answers.WithLabelValues(string(given.Scope)).Inc()
	if given.Scope == LocalScope || given.Scope == RegionScope {
		return
	}
	line, permitted := l.log.line(l.limit)
	if !permitted {
		return
	}
	fields := logrus.Fields{
		"host": lookup.Host, "region": lookup.Region, "scope": given.Scope, "named": len(given.Addresses),
		"self": snap.Self.State, "joining": snap.Joining, "away": awayByRegion(snap),
	}
	if snap.View.Config != nil {
		fields["homes"] = snap.View.Config.HomeRegionsOf(lookup.Host)
	}
	line.WithFields(fields).Info("no daemon serves in the caller's region")
}

// awayByRegion counts the live daemons that do not serve, by region.
func awayByRegion(snap *control.Snapshot) map[string]int {
	away := make(map[string]int)
	for _, member := range all(snap) {
		if member.State != members.Serving {
			away[string(member.Region)]++
		}
	}
	return away
}

// Resolve returns the addresses that a caller should use, by the newest snapshot; none
// mean that the caller should keep what it has, or ask another daemon.
func (e *Entry) Resolve(lookup Lookup) []string {
	snap := e.Snapshot()
	directory := Directory{Grace: e.opts.Settings.Grace}
	given := directory.Answer(snap, lookup, time.Now())
	e.lookups.record(snap, lookup, given)
	return given.Addresses
}
