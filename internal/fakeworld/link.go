package fakeworld

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/types"
)

type admissionID = admission.ID

type linkKey struct {
	from, to types.Region
}

// link is one direction of a link between regions: bytes pass one after the
// other.
type link struct {
	oneWay   time.Duration
	bits     int64
	freeAt   time.Time
	cut      bool
	sentBits int64
}

func (w *World) addLink(l published.Link) {
	w.links[linkKey{l.From, l.To}] = &link{oneWay: l.OneWay, bits: l.BitsPerSecond}
	w.links[linkKey{l.To, l.From}] = &link{oneWay: l.OneWay, bits: l.BitsPerSecond}
}

// Partition cuts or mends the link between two regions.
func (w *World) Partition(a, b types.Region, cut bool) {
	for _, key := range []linkKey{{a, b}, {b, a}} {
		if l := w.links[key]; l != nil {
			l.cut = cut
		}
	}
}

// transfer runs a function once the bytes have crossed the link; it reports
// false when the link is cut or unknown.
func (w *World) transfer(from, to types.Region, bytes int64, arrived func()) bool {
	l := w.links[linkKey{from, to}]
	if l == nil || l.cut {
		return false
	}
	sent := l.freeAt
	if sent.Before(w.clock.now) {
		sent = w.clock.now
	}
	bits := bytes * 8
	l.freeAt = sent.Add(time.Duration(float64(bits) / float64(l.bits) * float64(time.Second)))
	l.sentBits += bits
	w.clock.after(l.freeAt.Sub(w.clock.now)+l.oneWay, arrived)
	return true
}

// connectTimeout is how long a daemon waits for a peer across a cut link.
const connectTimeout = time.Second

// forward carries a call to another region and its answer back.
func (w *World) forward(from *Daemon, call *Call, region types.Region, reply func(*types.Failure)) {
	here := from.Snapshot.Self.Region
	bytes := int64(call.Request.InputTokens * bytesPerToken)
	back := func(failure *types.Failure) {
		answer := int64(call.Request.OutputTokens * bytesPerToken)
		if !w.transfer(region, here, answer, func() { reply(failure) }) {
			w.clock.after(connectTimeout, func() {
				reply(types.NewFailure(types.MayHaveRun, types.CodeAnswerIncomplete, "the link was cut"))
			})
		}
	}
	arrived := w.transfer(here, region, bytes, func() {
		daemons := w.regions[region].daemons
		daemons[w.rand.IntN(len(daemons))].accept(call, back)
	})
	if !arrived {
		w.clock.after(connectTimeout, func() {
			reply(types.NewFailure(types.NotRun, types.CodeNoEndpoint, "the region can't be reached"))
		})
	}
}

// capacityReader is what a region's summary reads from admission.
type capacityReader interface {
	Wait(rank types.Rank) time.Duration
	Free(rank types.Rank) int
}

// summarise tells every other region what room this one has.
func (w *World) summarise(region types.Region) {
	summary := snapshot.RegionSummary{Region: region, Revision: 1, TakenAt: w.clock.now}
	for _, rank := range types.Ranks() {
		service := snapshot.ServiceSummary{Service: Service, Rank: rank}
		daemons := w.regions[region].daemons
		for _, d := range daemons {
			reader, ok := d.admitter.(capacityReader)
			if !ok {
				return
			}
			service.FreeSlots += reader.Free(rank)
			service.Wait += reader.Wait(rank) / time.Duration(len(daemons))
		}
		summary.Services = append(summary.Services, service)
	}
	for _, other := range w.Config.Regions {
		l := w.links[linkKey{region, other.Name}]
		if l == nil || l.cut {
			continue
		}
		w.clock.after(l.oneWay, func() { w.deliver(other.Name, summary) })
	}
}

func (w *World) deliver(to types.Region, summary snapshot.RegionSummary) {
	summary.ReceivedAt = w.clock.now
	for _, d := range w.regions[to].daemons {
		d.Snapshot.Regions[summary.Region] = &summary
	}
}
