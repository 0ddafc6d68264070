package proxy

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// gotOnTime is the time from the first event of a stream after which its answer has
// got on. A request that crashes its endpoint does so when the answer begins.
const gotOnTime = 300 * time.Millisecond

// knownTraits returns the traits of the request.
func (r *run) knownTraits() crashes.Traits {
	if r.traits == nil {
		r.traits = r.req.traits()
	}
	return r.traits
}

// withheld returns a trait of the request that is withheld from all endpoints, alone or
// together with others of the request, and false if there is none. What is withheld only
// together with the trait on trial is on trial with it.
func (r *run) withheld() (crashes.Trait, bool) {
	verdicts := r.h.opts.Snapshot().Withheld
	if len(verdicts) == 0 {
		return 0, false
	}
	traits := r.knownTraits()
	index := slices.IndexFunc(traits, func(trait crashes.Trait) bool {
		verdict, found := verdicts[trait]
		return found && trait != r.trial && !slices.Contains(verdict.With, r.trial) && verdict.Applies(traits)
	})
	if index < 0 {
		return 0, false
	}
	return traits[index], true
}

// refuseWithheld returns the refusal of a request with a withheld trait. It returns
// nil if there is none, or if this request may try it.
func (r *run) refuseWithheld() *types.Failure {
	trait, found := r.withheld()
	if !found || r.beginTrial(trait) {
		return nil
	}
	r.withheldTrait = trait
	r.h.opts.Metrics.countWithheld(r.req.Service)
	return r.withheldFailure(trait)
}

// withheldFailure is the refusal of a request because of a trait.
func (r *run) withheldFailure(trait crashes.Trait) *types.Failure {
	verdict := r.h.opts.Snapshot().Withheld[trait]
	left := max(verdict.RetryAt.Sub(r.h.opts.Now()), notReadyRetryAfter)
	return notRunFailure(types.CodeQuarantined, "what this request shares with others crashed several endpoints: "+trait.String(), left)
}

// maxLoggedPart bounds the name of a part in a log line.
const maxLoggedPart = 64

// partOf returns the part of the prompt that a trait of the request stands for; empty
// if it stands for the whole content.
func (r *run) partOf(trait crashes.Trait) string {
	index := slices.IndexFunc(r.req.SharedParts, func(part string) bool {
		shared := crashes.PartTrait(crashes.AllServices, part)
		return shared == trait || shared.Of(r.req.Service) == trait
	})
	if index < 0 {
		return ""
	}
	part := r.req.SharedParts[index]
	return part[:min(len(part), maxLoggedPart)]
}

// beginTrial lets the request try a withheld trait if its time has come, if this
// daemon is the one that may try it, and if no other request does so now. Only one
// attempt is made, and no other trait may be withheld without this one.
func (r *run) beginTrial(trait crashes.Trait) bool {
	if r.trial != 0 || r.sent > 0 || r.req.ForwardedBy != "" || !r.h.opts.Snapshot().MayTry(trait, r.h.opts.Now()) {
		return false
	}
	if _, tried := r.h.trials.LoadOrStore(trait, true); tried {
		return false
	}
	r.trial = trait
	if _, found := r.withheld(); found {
		r.endTrial()
		return false
	}
	return true
}

// endTrial lets another request try the trait.
func (r *run) endTrial() {
	if r.trial != 0 {
		r.h.trials.Delete(r.trial)
		r.trial = 0
	}
}

// reportGotOn reports that the answer of the current attempt has got on.
func (r *run) reportGotOn() {
	if r.gotOn {
		return
	}
	r.gotOn = true
	r.h.opts.Reporter.ReportSound(r.knownTraits())
}

// noteProgress records the progress of a stream.
func (r *run) noteProgress(firstEvent time.Time) {
	if !r.gotOn && r.h.opts.Now().Sub(firstEvent) >= gotOnTime {
		r.reportGotOn()
	}
}

// reportBroken reports that an endpoint broke off its answer, unless the answer had
// got on.
func (r *run) reportBroken(endpoint *catalog.Endpoint) {
	if !r.gotOn {
		r.h.opts.Reporter.ReportBroken(endpoint.ID, endpoint.Address, r.knownTraits())
	}
}
