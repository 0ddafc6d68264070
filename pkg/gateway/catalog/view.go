package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// evacuationSlack is added to the cold time of endpoints whose data centre was
// taken back, for the way of the news.
const evacuationSlack = time.Second

// View is an immutable reading of a State.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// AppliedRevision is the revision up to which every change is included.
	AppliedRevision uint64
	Endpoints       map[types.ServiceName][]ActiveEndpoint
	Evacuated       map[types.DataCentre]bool
}

// ActiveEndpoint is an endpoint that takes requests.
type ActiveEndpoint struct {
	*Endpoint
	// ColdUntil is when the endpoint stops being cold; it may be in the past.
	ColdUntil time.Time
}

// View returns what is in force: endpoints that are neither draining, gone nor
// in a data centre that is being evacuated, sorted by ID.
func (s *State) View() *View {
	view := &View{
		Config:          s.config,
		AppliedRevision: s.complete,
		Endpoints:       make(map[types.ServiceName][]ActiveEndpoint),
		Evacuated:       make(map[types.DataCentre]bool),
	}
	for _, known := range s.items {
		if known.Evacuated != "" {
			view.Evacuated[known.Evacuated] = true
		}
	}
	for _, known := range s.items {
		endpoint := known.Endpoint
		if known.Deleted {
			endpoint = known.expired
		}
		if endpoint == nil || endpoint.Draining || view.Evacuated[endpoint.DataCentre] {
			continue
		}
		placed := ActiveEndpoint{Endpoint: endpoint, ColdUntil: s.coldUntil(endpoint, known.coldUntil)}
		view.Endpoints[endpoint.Service] = append(view.Endpoints[endpoint.Service], placed)
	}
	for _, endpoints := range view.Endpoints {
		slices.SortFunc(endpoints, func(a, b ActiveEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

// coldUntil is the later of the announced end of the cold time and the one
// that follows an evacuation.
func (s *State) coldUntil(endpoint *Endpoint, until time.Time) time.Time {
	ended, evacuated := s.evacuationEnded[endpoint.DataCentre]
	if !evacuated || s.config == nil || s.config.Services[endpoint.Service] == nil {
		return until
	}
	after := ended.Add(s.config.Services[endpoint.Service].ColdStart + evacuationSlack)
	if after.After(until) {
		return after
	}
	return until
}
