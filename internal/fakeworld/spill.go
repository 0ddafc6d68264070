package fakeworld

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// sendAway forwards a call to another region if the planner says so, and
// reports whether it did. A call that was not run there is served here.
func (d *Daemon) sendAway(p *passage) bool {
	if d.planner == nil {
		return false
	}
	call := p.call
	decision, failure := d.planner.Decide(spill.Input{
		Request: call.Request, Snapshot: d.Snapshot, LocalWait: d.waitHere(call.Request.Rank),
		WarmTokens: d.warmTokens(call.Request), Bytes: call.Request.InputTokens * bytesPerToken,
		Expected: expected(call.Request), Now: d.world.clock.now,
	})
	if failure != nil || decision.Region == "" {
		return false
	}
	call.Request.Path = append(call.Request.Path, d.Snapshot.Self.Incarnation)
	call.Away++
	d.world.forward(d, call, decision.Region, func(failure *types.Failure) {
		if failure != nil && failure.Verdict == types.NotRun && call.History == types.NotRun {
			call.Request.Path = nil
			d.admit(p)
			return
		}
		delete(d.waiting, p.id)
		p.reply(failure)
	})
	return true
}

// waitHere is the wait that admission predicts; zero while there is room.
func (d *Daemon) waitHere(rank types.Rank) time.Duration {
	reader, ok := d.admitter.(capacityReader)
	if !ok || reader.Free(rank) > 0 {
		return 0
	}
	return d.waits.Predict(rank, reader.Wait(rank), d.world.clock.now)
}

// warmTokens is the part of the prompt that some engine here has cached.
func (d *Daemon) warmTokens(r *request.Request) int {
	if d.Snapshot.Prefixes == nil {
		return 0
	}
	blocks := 0
	for blocks < len(r.Prefix) && len(d.Snapshot.Prefixes.Holders(r.Prefix[blocks])) > 0 {
		blocks++
	}
	return blocks * request.PrefixBlockBytes / bytesPerToken
}

// LinkMegabits is how much has been sent from one region to another.
func (w *World) LinkMegabits(from, to types.Region) float64 {
	const bitsPerMegabit = 1e6
	l := w.links[linkKey{from, to}]
	if l == nil {
		return 0
	}
	return float64(l.sentBits) / bitsPerMegabit
}
