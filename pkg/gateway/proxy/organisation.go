package proxy

import (
	"net/http"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// identify sets which organisation the request is of, on the configuration in force, or
// refuses the request. It decides nothing if the configuration lists no organisations, and
// asks for no credential on a public route.
func (h *Handler) identify(req *Request, snap *control.Snapshot) *types.Failure {
	config := snap.View.Config
	req.Organisation, req.Identified = nil, config != nil && len(config.Organisations) > 0
	if !req.Identified && req.identifiedIn == 0 {
		return nil
	}
	if config == nil || config.Version < req.identifiedIn && config.OrganisationOf(req.Credential) == nil {
		return notRunFailure(types.CodeNotReady, "this daemon lacks the configuration that names the caller", notReadyRetryAfter)
	}
	if !req.Identified || req.Route.Public {
		return nil
	}
	req.Organisation = config.OrganisationOf(req.Credential)
	if req.Organisation == nil {
		return types.NewFailure(types.NotRun, types.CodeUnauthenticated, "no organisation holds this credential")
	}
	return nil
}

// identifyAgain identifies the caller just before an attempt: its credential may have been
// taken away since the request arrived.
func (r *run) identifyAgain() *types.Failure {
	return r.h.identify(r.req, r.h.opts.Snapshot())
}

// outgoingHeader returns the caller's header without what may not leave this daemon.
func (r *run) outgoingHeader() http.Header {
	header := r.req.Header.Clone()
	if r.req.Identified {
		r.h.opts.Dialect.RemoveCaller(header)
	}
	return header
}
