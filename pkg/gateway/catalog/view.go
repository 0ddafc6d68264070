package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// evacuationMargin is added to the cold time of endpoints after the evacuation
// of their data centre, because daemons learn of its end with a delay.
const evacuationMargin = time.Second

// View is an immutable snapshot of a State.
type View struct {
	// Config is nil until a configuration has been received.
	Config *Config
	// AppliedRevision is the revision up to which every change is included.
	AppliedRevision uint64
	Endpoints       map[types.ServiceName][]ActiveEndpoint
	Evacuated       map[types.DataCentre]bool
}

// ActiveEndpoint is an endpoint that accepts requests.
type ActiveEndpoint struct {
	*Endpoint
	// ColdUntil is the end of the endpoint's cold time; it may be in the past.
	ColdUntil time.Time
}

// View returns a snapshot with the current configuration and, sorted by ID, the
// endpoints that are neither draining, deleted (beyond their grace time) nor in
// a data centre that is being evacuated.
func (s *State) View() *View {
	view := &View{
		Config:          s.config,
		AppliedRevision: s.appliedRevision,
		Endpoints:       make(map[types.ServiceName][]ActiveEndpoint),
		Evacuated:       make(map[types.DataCentre]bool),
	}
	for _, stored := range s.byKey {
		if stored.Evacuated != "" {
			view.Evacuated[stored.Evacuated] = true
		}
	}
	for _, stored := range s.byKey {
		endpoint := stored.Endpoint
		if stored.Deleted {
			endpoint = stored.graceEndpoint
		}
		if endpoint == nil || endpoint.Draining || view.Evacuated[endpoint.DataCentre] {
			continue
		}
		active := ActiveEndpoint{Endpoint: endpoint, ColdUntil: s.coldUntil(endpoint, stored.coldUntil)}
		view.Endpoints[endpoint.Service] = append(view.Endpoints[endpoint.Service], active)
	}
	for _, endpoints := range view.Endpoints {
		slices.SortFunc(endpoints, func(a, b ActiveEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

// coldUntil returns the later of the announced end of the cold time and the end
// of the cold time that follows an evacuation.
func (s *State) coldUntil(endpoint *Endpoint, until time.Time) time.Time {
	ended, evacuated := s.evacuationEnded[endpoint.DataCentre]
	if !evacuated || s.config == nil || s.config.Services[endpoint.Service] == nil {
		return until
	}
	afterEvacuation := ended.Add(s.config.Services[endpoint.Service].ColdStart + evacuationMargin)
	if afterEvacuation.After(until) {
		return afterEvacuation
	}
	return until
}
