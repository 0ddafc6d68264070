package proxy

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/freshness"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// identify sets which organisation the request is of, on the configuration in force, or
// refuses the request. It decides nothing if the configuration lists no organisations, and
// asks for no credential on a public route. While the configuration may be too old, a
// refusal promises only that the request has not run. A refused request keeps the
// organisation that it had: its quota and its regions bind what follows an attempt that
// another daemon has admitted already.
func (h *Handler) identify(req *Request, snap *control.Snapshot) *types.Failure {
	config := snap.View.Config
	req.Identified = config != nil && len(config.Organisations) > 0
	if !req.Identified && req.identifiedIn == 0 {
		req.Organisation = nil
		return nil
	}
	if config == nil || config.Version < req.identifiedIn && config.OrganisationOf(req.Credential) == nil {
		return notRunFailure(types.CodeUnconfirmed, "this daemon lacks the configuration that names the caller", notReadyRetryAfter)
	}
	if !req.Identified || req.Route.Public {
		req.Organisation = nil
		return nil
	}
	if until := h.trustedUntil(snap); !until.IsZero() && !h.budgetTime().Before(until) {
		return unconfirmedFailure()
	}
	organisation := config.OrganisationOf(req.Credential)
	switch {
	case organisation != nil:
		req.Organisation = organisation
		return nil
	case h.mayLackVersions(snap):
		return unconfirmedFailure()
	}
	return types.NewFailure(types.NotRun, types.CodeUnauthenticated, "no organisation holds this credential")
}

// trustedUntil returns when, in budget time, credentials of the configuration in force may
// not be used any more; zero if no limit is set. If nothing is confirmed, that is the past.
func (h *Handler) trustedUntil(snap *control.Snapshot) time.Time {
	if h.opts.RevocationLimit <= 0 {
		return time.Time{}
	}
	if snap.ConfirmedAt.IsZero() {
		return time.Unix(0, 0)
	}
	return freshness.TrustedUntil(snap.ConfirmedAt, h.opts.RevocationLimit)
}

// mayLackVersions reports whether the configuration in force is older than one of a daemon
// that hears of changes may be.
func (h *Handler) mayLackVersions(snap *control.Snapshot) bool {
	return h.opts.ConfigLimit > 0 && h.budgetTime().Sub(snap.ConfirmedAt) > h.opts.ConfigLimit
}

// unconfirmedFailure refuses a credential that may have been given or taken away meanwhile.
func unconfirmedFailure() *types.Failure {
	return notRunFailure(types.CodeUnconfirmed, "this daemon can't tell whether its configuration is the newest", notReadyRetryAfter)
}

// usableBy returns when, in budget time, the next attempt must have a connection, because
// its credential may not be used any more; zero sets no limit.
func (r *run) usableBy() time.Time {
	if r.req.Organisation == nil {
		return time.Time{}
	}
	return r.h.trustedUntil(r.h.opts.Snapshot())
}

// identifyAgain identifies the caller just before an attempt: its credential may have been
// taken away since the request arrived.
func (r *run) identifyAgain() *types.Failure {
	return r.h.identify(r.req, r.h.opts.Snapshot())
}

// identifiable reports whether a request with a credential can be told apart on a snapshot.
func (h *Handler) identifiable(snap *control.Snapshot) bool {
	if !hasConfig(snap) {
		return false
	}
	needed := len(snap.View.Config.Organisations) > 0 && h.opts.RevocationLimit > 0
	return !needed || h.budgetTime().Before(h.trustedUntil(snap))
}

// outgoingHeader returns the caller's header without what may not leave this daemon.
func (r *run) outgoingHeader() http.Header {
	header := r.req.Header.Clone()
	if r.req.Identified {
		r.h.opts.Dialect.RemoveCaller(header)
	}
	return header
}

// recordOrganisation adds who called, and how old the configuration that says so may be.
func (r *run) recordOrganisation(fields logrus.Fields) {
	if r.req.Organisation == nil {
		return
	}
	fields["organisation"] = r.req.Organisation.Name
	if confirmedAt := r.h.opts.Snapshot().ConfirmedAt; !confirmedAt.IsZero() {
		fields["confirmed_ms"] = r.h.budgetTime().Sub(confirmedAt).Milliseconds()
	}
}
