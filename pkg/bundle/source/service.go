package source

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// The values of a service's file that may be left out.
const (
	defaultUrgentDeadline  = 10 * time.Second
	defaultPatientDeadline = 10 * time.Minute
	defaultInTime          = 0.99
	defaultMaxBodyBytes    = 4 << 20
)

func (l *loader) addService(file string, doc *document) {
	name := doc.Service.Value
	if !l.define(file, doc.Service.Line, "service", kindService, string(name)) {
		return
	}
	s := &published.Service{
		Name: name, Team: doc.Team.Value, Kind: published.Kind(doc.Kind.Value),
		MaxRank: types.RankPatient, RefusalMeansNotRun: doc.RefusalMeansNotRun.Value,
		Deadlines:    [types.RankCount]time.Duration{defaultUrgentDeadline, defaultPatientDeadline},
		MaxBodyBytes: defaultMaxBodyBytes,
	}
	if s.Team == "" {
		l.report(file, doc.Team.Line, "team", "must name the team that owns the service")
	}
	if doc.MaxRank.set() {
		s.MaxRank = doc.MaxRank.Value
	}
	l.addKind(file, doc, s)
	l.addAllowed(file, doc, s)
	l.addCalls(file, doc, s)
	positive(l, file, "deadlines.urgent", doc.Deadlines.Urgent, &s.Deadlines[types.RankUrgent])
	positive(l, file, "deadlines.patient", doc.Deadlines.Patient, &s.Deadlines[types.RankPatient])
	l.addObjective(file, "objectives.urgent", doc.Objectives.Urgent, &s.Objectives[types.RankUrgent])
	l.addObjective(file, "objectives.patient", doc.Objectives.Patient, &s.Objectives[types.RankPatient])
	positive(l, file, "max_body_bytes", doc.MaxBodyBytes, &s.MaxBodyBytes)
	positive(l, file, "cost_per_thousand_tokens", doc.CostPerThousand, &s.CostPerThousandTokens)
	l.config.Services[name] = s
	l.addPlacement(file, doc, s)
}

func (l *loader) addKind(file string, doc *document, s *published.Service) {
	switch s.Kind {
	case published.KindModel:
		if len(doc.Versions) == 0 {
			l.report(file, doc.Kind.Line, "versions", "a model service must list its versions")
		}
	case published.KindPlain:
		if len(doc.Versions) > 0 {
			l.report(file, doc.Versions[0].Line, "versions", "a plain service has no versions")
		}
	default:
		l.report(file, doc.Kind.Line, "kind", "is %q; it must be %q or %q", s.Kind, published.KindModel, published.KindPlain)
	}
	for _, version := range doc.Versions {
		if version.Value == "" || slices.Contains(s.Versions, version.Value) {
			l.report(file, version.Line, "versions", "version %q is empty or listed twice", version.Value)
			continue
		}
		s.Versions = append(s.Versions, version.Value)
	}
}

func (l *loader) addAllowed(file string, doc *document, s *published.Service) {
	if len(doc.ServiceRegions) == 0 {
		l.report(file, doc.Service.Line, "allowed_regions", "is empty: the service's data could go nowhere")
	}
	for _, region := range doc.ServiceRegions {
		l.refer(file, region.Line, "allowed_regions", kindRegion, string(region.Value))
		if slices.Contains(s.Regions, region.Value) {
			l.report(file, region.Line, "allowed_regions", "region %q is listed twice", region.Value)
			continue
		}
		s.Regions = append(s.Regions, region.Value)
	}
}

func (l *loader) addCalls(file string, doc *document, s *published.Service) {
	if len(doc.Calls) > 0 && s.Kind == published.KindModel {
		l.report(file, doc.Calls[0].Method.Line, "calls", "a model service lists no calls")
	}
	for i := range doc.Calls {
		entry := &doc.Calls[i]
		call := published.Call{Method: entry.Method.Value, PathPrefix: entry.PathPrefix.Value, Repeatable: entry.Repeatable.Value}
		if call.Method == "" || call.Method != strings.ToUpper(call.Method) {
			l.report(file, entry.Method.Line, "calls.method", "is %q; it must be an HTTP method in upper case", call.Method)
		}
		if !strings.HasPrefix(call.PathPrefix, "/") {
			l.report(file, entry.PathPrefix.Line, "calls.path_prefix", "is %q; it must begin with /", call.PathPrefix)
		}
		s.Calls = append(s.Calls, call)
	}
}

func (l *loader) addObjective(file, name string, entry objectiveEntry, into *published.Objective) {
	into.InTime = defaultInTime
	l.share(file, name+".in_time", entry.InTime, &into.InTime)
	positive(l, file, name+".first_token", entry.FirstToken, &into.FirstToken)
	positive(l, file, name+".between_tokens", entry.BetweenTokens, &into.BetweenTokens)
	l.share(file, name+".latency_share", entry.LatencyShare, &into.LatencyShare)
	l.share(file, name+".finished", entry.Finished, &into.Finished)
}

func (l *loader) addPlacement(file string, doc *document, s *published.Service) {
	if !doc.Replicas.set() {
		return
	}
	placement := published.PlacementRequest{Replicas: map[types.Region]map[types.ModelVersion]int{}}
	positive(l, file, "weight_bytes", doc.WeightBytes, &placement.WeightBytes)
	for _, region := range slices.Sorted(maps.Keys(doc.Replicas.Value)) {
		byVersion := doc.Replicas.Value[region]
		if !s.Allows(region) {
			l.report(file, doc.Replicas.Line, "replicas", "region %q is not among allowed_regions", region)
		}
		for _, version := range slices.Sorted(maps.Keys(byVersion)) {
			if byVersion[version] < 0 || (s.Kind == published.KindModel && !slices.Contains(s.Versions, version)) {
				l.report(file, doc.Replicas.Line, "replicas", "version %q with %d replicas: the version must be listed and the number not below 0", version, byVersion[version])
			}
		}
		placement.Replicas[region] = byVersion
	}
	l.config.Placement[s.Name] = placement
}
