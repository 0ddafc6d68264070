package drain

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Sign is how an endpoint was seen to leave.
type Sign string

// The signs of leaving.
const (
	// SignListed: the VM list marks the endpoint as leaving.
	SignListed Sign = "listed as leaving"
	// SignUnlisted: the VM list no longer has the endpoint.
	SignUnlisted Sign = "no longer listed"
	// SignRefusal: the endpoint refused a request with X-Leaving.
	SignRefusal Sign = "refused a request as leaving"
	// SignReport: the endpoint's answer or load report carried X-Leaving.
	SignReport Sign = "reported that it leaves"
)

// DefaultSignLifetime is how long an in-band sign holds while the VM list
// contradicts it.
const DefaultSignLifetime = 2 * time.Minute

// Departure is the earliest sign that an endpoint leaves.
type Departure struct {
	Sign Sign
	// At is when the sign was first seen.
	At time.Time
}

// endpointState holds the two sources of signs apart, since the VM list lags
// and must not undo what the endpoint itself says.
type endpointState struct {
	listed  Departure
	inBand  Departure
	renewed time.Time
}

// Endpoints tracks which endpoints are leaving, by whichever sign comes first.
type Endpoints struct {
	lifetime time.Duration
	known    map[types.EndpointID]*endpointState
}

// NewEndpoints returns a tracker without endpoints. A zero lifetime means
// DefaultSignLifetime.
func NewEndpoints(signLifetime time.Duration) *Endpoints {
	if signLifetime == 0 {
		signLifetime = DefaultSignLifetime
	}
	return &Endpoints{lifetime: signLifetime, known: make(map[types.EndpointID]*endpointState)}
}

// Listing is what one reading of the VM list says of one endpoint.
type Listing struct {
	Endpoint types.EndpointID
	Leaving  bool
}

// Listed takes in a whole reading of the VM list. An endpoint that is listed
// again after it was gone is a new one, and its earlier in-band sign is dropped.
func (e *Endpoints) Listed(now time.Time, listings []Listing) {
	present := make(map[types.EndpointID]bool, len(listings))
	for _, listing := range listings {
		present[listing.Endpoint] = true
		e.listOne(now, listing)
	}
	for id, state := range e.known {
		if present[id] || state.listed.Sign == SignUnlisted {
			continue
		}
		state.listed = Departure{Sign: SignUnlisted, At: now}
	}
}

func (e *Endpoints) listOne(now time.Time, listing Listing) {
	state, ok := e.known[listing.Endpoint]
	if !ok || state.listed.Sign == SignUnlisted {
		state = &endpointState{}
		e.known[listing.Endpoint] = state
	}
	switch {
	case !listing.Leaving:
		state.listed = Departure{}
	case state.listed.Sign != SignListed:
		state.listed = Departure{Sign: SignListed, At: now}
	}
}

// Observe takes in a sign that the endpoint itself gave.
func (e *Endpoints) Observe(now time.Time, id types.EndpointID, sign Sign) {
	state, ok := e.known[id]
	if !ok {
		state = &endpointState{}
		e.known[id] = state
	}
	if !state.holds(now, e.lifetime) {
		state.inBand = Departure{Sign: sign, At: now}
	}
	state.renewed = now
}

func (s *endpointState) holds(now time.Time, lifetime time.Duration) bool {
	return s.inBand.Sign != "" && now.Sub(s.renewed) < lifetime
}

// Leaving returns the earliest sign that holds at now, and false when the
// endpoint may receive new work. An endpoint that was never listed is not
// leaving unless it said so.
func (e *Endpoints) Leaving(now time.Time, id types.EndpointID) (Departure, bool) {
	state, ok := e.known[id]
	if !ok {
		return Departure{}, false
	}
	inBand := state.holds(now, e.lifetime)
	listed := state.listed.Sign != ""
	if inBand && (!listed || state.inBand.At.Before(state.listed.At)) {
		return state.inBand, true
	}
	return state.listed, listed
}

// Forget drops an endpoint that is no longer of interest.
func (e *Endpoints) Forget(id types.EndpointID) {
	delete(e.known, id)
}
