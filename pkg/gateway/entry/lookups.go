package entry

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
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

// record counts an answer that was given on a snapshot, and logs it if it is unusual, with
// the requests by which it was weighed; own holds those of this daemon's callers.
func (l *lookupLog) record(snap *control.Snapshot, lookup Lookup, given Answer, own demand.Counts) {
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
		"self": snap.Self.State, "joining": snap.Joining, "serving": countByRegion(serving(snap)), "away": countByRegion(away(snap)),
	}
	if config := snap.View.Config; config != nil {
		fields["config"] = config.Version
		fields["restricted"] = restrictedRoutes(config, lookup.Host, callersDemand(snap, lookup.Region, own))
	}
	line.WithFields(fields).Info("no daemon serves in the caller's region")
}

// restrictedRoute is a route behind an answer, as it is logged.
type restrictedRoute struct {
	Route    string         `json:"route"`
	Homes    []types.Region `json:"homes"`
	Requests uint64         `json:"requests"`
}

// maxLoggedRoutes bounds the routes in a line.
const maxLoggedRoutes = 16

// restrictedRoutes returns the routes of a host that are restricted to regions, with the
// requests that they had.
func restrictedRoutes(config *catalog.Config, host string, counts demand.Counts) []restrictedRoute {
	var logged []restrictedRoute
	for _, route := range config.RestrictedRoutesOf(host) {
		if len(logged) == maxLoggedRoutes {
			break
		}
		logged = append(logged, restrictedRoute{Route: route.Name, Homes: route.AllowedRegions, Requests: counts[route.Name]})
	}
	return logged
}

// away returns the live daemons that do not serve.
func away(snap *control.Snapshot) []members.Member {
	return slices.DeleteFunc(all(snap), func(member members.Member) bool { return member.State == members.Serving })
}

// countByRegion counts daemons by region.
func countByRegion(daemons []members.Member) map[types.Region]int {
	counts := make(map[types.Region]int)
	for _, member := range daemons {
		counts[member.Region]++
	}
	return counts
}

// Resolve returns which daemons a caller should use, by the newest snapshot; an answer
// without any means that the caller should keep what it has, or ask another daemon.
func (e *Entry) Resolve(lookup Lookup) Answer {
	return e.resolve(e.Snapshot(), lookup)
}

// resolve is Resolve on a snapshot.
func (e *Entry) resolve(snap *control.Snapshot, lookup Lookup) Answer {
	directory := Directory{Grace: e.opts.Settings.Grace}
	given, found := directory.near(snap, lookup)
	var own demand.Counts
	if !found {
		// Only an answer that leads callers elsewhere is weighed by what they ask for.
		own = e.demand.Counts()
		given = directory.Answer(snap, lookup, own, time.Now())
	}
	e.lookups.record(snap, lookup, given, own)
	return given
}
