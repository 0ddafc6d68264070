package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// View is an immutable snapshot of a State.
type View struct {
	// Config is nil until a configuration has been received.
	Config *Config
	// AppliedRevision is the revision of Era up to which every change is included.
	AppliedRevision uint64
	// Era is the store's era; zero if it has none.
	Era       uint64
	Endpoints map[types.ServiceName][]ActiveEndpoint
	// Leaving lists the endpoints that get no more requests but may still run: they
	// are draining or held, or their data centre has been evacuated.
	Leaving   map[types.ServiceName][]ActiveEndpoint
	Evacuated map[types.DataCentre]bool
}

// ActiveEndpoint is an endpoint that accepts requests.
type ActiveEndpoint struct {
	*Endpoint
	// ColdUntil is the end of the endpoint's cold time; it may be in the past.
	ColdUntil time.Time
	// ColdAssumed is true if the endpoint has not announced this cold time: its
	// data centre was evacuated, and it may have become cold before it returned.
	ColdAssumed bool
	// LastRequestAt is when the endpoint gets its last request, because its data
	// centre is being evacuated; zero means that it stays.
	LastRequestAt time.Time
}

// Accepts reports whether the endpoint may get a request at a time.
func (e ActiveEndpoint) Accepts(now time.Time) bool {
	return e.LastRequestAt.IsZero() || now.Before(e.LastRequestAt)
}

// Position returns the position up to which every change is included.
func (v *View) Position() Position {
	return Position{Era: v.Era, Revision: v.AppliedRevision}
}

// View returns a snapshot with the current configuration and the endpoints that
// are not deleted (beyond their grace time). Endpoints are sorted by ID; those
// that are draining, held or in a data centre that has been evacuated are listed apart.
func (s *State) View(now time.Time) *View {
	view := &View{
		Config:          s.config,
		AppliedRevision: s.applied.Revision,
		Era:             s.applied.Era,
		Endpoints:       make(map[types.ServiceName][]ActiveEndpoint),
		Leaving:         make(map[types.ServiceName][]ActiveEndpoint),
		Evacuated:       make(map[types.DataCentre]bool),
	}
	evacuations := s.evacuations()
	for dc := range evacuations {
		view.Evacuated[dc] = true
	}
	for _, stored := range s.byKey {
		endpoint := stored.Endpoint
		if stored.Deleted {
			endpoint = stored.graceEndpoint
		}
		if endpoint == nil {
			continue
		}
		last, evacuated := evacuations[endpoint.DataCentre]
		active := ActiveEndpoint{Endpoint: endpoint, LastRequestAt: last}
		active.ColdUntil, active.ColdAssumed = s.coldUntil(endpoint, stored.coldUntil)
		if endpoint.Draining || now.Before(stored.heldUntil) || evacuated && !now.Before(last) {
			view.Leaving[endpoint.Service] = append(view.Leaving[endpoint.Service], active)
			continue
		}
		view.Endpoints[endpoint.Service] = append(view.Endpoints[endpoint.Service], active)
	}
	sortByID(view.Endpoints)
	sortByID(view.Leaving)
	return view
}

func sortByID(byService map[types.ServiceName][]ActiveEndpoint) {
	for _, endpoints := range byService {
		slices.SortFunc(endpoints, func(a, b ActiveEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
}
