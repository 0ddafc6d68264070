package catalog

import "time"

// returnMargin is added to the cold time of endpoints after the evacuation of
// their data centre, because daemons learn of its end with a delay.
const returnMargin = time.Second

// coldUntil returns the later of the announced end of the cold time and the end
// of the cold time that may follow an evacuation, and whether it is only assumed.
func (s *State) coldUntil(endpoint *Endpoint, until time.Time) (end time.Time, assumed bool) {
	ended, evacuated := s.evacuationEnded[endpoint.DataCentre]
	if !evacuated || s.config == nil || s.config.Services[endpoint.Service] == nil {
		return until, false
	}
	afterEvacuation := ended.Add(s.config.Services[endpoint.Service].ColdStart + returnMargin)
	if afterEvacuation.After(until) {
		return afterEvacuation, true
	}
	return until, false
}
