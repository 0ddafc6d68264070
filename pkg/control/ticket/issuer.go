package ticket

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// DefaultWindow is how long a ticket may be used to start a request.
const DefaultWindow = 30 * time.Second

// Issuer issues tickets for one daemon incarnation.
type Issuer struct {
	// Keyring signs the tickets.
	Keyring *Keyring
	// Self is the issuing incarnation.
	Self types.Incarnation
	// Window is how long a ticket may be used to start a request; zero means
	// DefaultWindow. All daemons of a deployment use the same value.
	Window time.Duration
}

// Request names the parties of a ticket to issue.
type Request struct {
	// ID must come from a cryptographically secure random number generator.
	ID ID
	// Org is the organisation that may use the ticket.
	Org types.OrgName
	// Owner is a live daemon, the only one that may run the request.
	Owner types.Incarnation
	// Floor is the configuration revision in force at the issuer.
	Floor types.Revision
}

// Issue returns the text of a ticket that expires Window after now.
func (i Issuer) Issue(now time.Time, req Request) (string, error) {
	window := i.Window
	if window == 0 {
		window = DefaultWindow
	}
	return i.Keyring.Sign(Claims{
		ID:      req.ID,
		Org:     req.Org,
		Owner:   req.Owner,
		Issuer:  i.Self,
		Floor:   req.Floor,
		StartBy: now.Add(window),
	})
}
