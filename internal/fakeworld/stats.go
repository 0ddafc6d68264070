package fakeworld

import (
	"math"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// RankStats holds the figures of one rank over the measured time.
type RankStats struct {
	Offered int
	InTime  int
	Late    int
	// Refused calls were told that they were not run; Failed ones may have.
	Refused  int
	Failed   int
	Attempts int
	// Extra is the attempts beyond the first one of each call.
	Extra int
	// Away is the number of calls sent to another region.
	Away      int
	latencies []float64
	firsts    []float64
	// slotSamples sums the slots held at each sample.
	slotSamples int
}

// Stats holds the figures of one run.
type Stats struct {
	Ranks [types.RankCount]RankStats
	// Blocks counts prompt blocks of measured calls; CachedBlocks those found
	// in a cache.
	Blocks       int
	CachedBlocks int
	// WindowTokens is the output of all calls answered in time inside the
	// measured time, whenever they arrived.
	WindowTokens int
	// streams counts offered calls and those answered in time by stream.
	streams map[string]streamStats
	// pending counts the offered calls without an outcome.
	pending int
	// warmedUp is when the measured time begins.
	warmedUp time.Time
	// slots sums the slots that were up at each sample.
	slots int
	// occupied holds the occupied share of each engine at each sample.
	occupied []float64
	closed   bool
}

func newStats(warmup time.Duration) *Stats {
	return &Stats{warmedUp: Epoch.Add(warmup), streams: map[string]streamStats{}}
}

// streamStats holds the figures of one stream.
type streamStats struct {
	offered int
	inTime  int
}

// StreamInTime is the share of a stream's offered calls answered in time.
func (s *Stats) StreamInTime(name string) float64 {
	stream := s.streams[name]
	return ratio(stream.inTime, stream.offered)
}

func (s *Stats) offered(call *Call) {
	if call.Resends == 0 {
		s.pending++
	}
	if call.measured && call.Resends == 0 {
		s.Ranks[call.Request.Rank].Offered++
	}
}

func (s *Stats) prefix(call *Call, hits int) {
	if call.measured {
		s.Blocks += len(call.Request.Prefix)
		s.CachedBlocks += hits
	}
}

func (s *Stats) answered(call *Call, failure *types.Failure, now time.Time) {
	s.pending--
	inTime := failure == nil && !now.After(call.Request.Deadline)
	if inTime && !s.closed && !now.Before(s.warmedUp) {
		s.WindowTokens += call.Request.OutputTokens
	}
	if !call.measured {
		return
	}
	stream := s.streams[call.Stream.Name]
	stream.offered++
	if inTime {
		stream.inTime++
	}
	s.streams[call.Stream.Name] = stream
	r := &s.Ranks[call.Request.Rank]
	r.Attempts += call.Attempts
	r.Extra += max(call.Attempts-1, 0)
	if call.Away > 0 {
		r.Away++
	}
	switch {
	case failure != nil && call.History == types.NotRun:
		r.Refused++
	case failure != nil:
		r.Failed++
	case !inTime:
		r.Late++
		r.record(call, now)
	default:
		r.InTime++
		r.record(call, now)
	}
}

func (r *RankStats) record(call *Call, now time.Time) {
	r.latencies = append(r.latencies, now.Sub(call.Request.Arrived).Seconds())
	r.firsts = append(r.firsts, call.FirstToken.Sub(call.Request.Arrived).Seconds())
}

// occupancy samples who holds the slots of an engine.
func (s *Stats) occupancy(w *World, e *Engine) {
	if s.closed || e.down || w.clock.now.Sub(Epoch) < w.Config.Warmup {
		return
	}
	s.slots += e.Slots
	for j := range e.running {
		s.Ranks[j.call.Request.Rank].slotSamples++
	}
	s.occupied = append(s.occupied, float64(len(e.running)+e.queued())/float64(e.Slots))
}

func (s *Stats) closeWindow() {
	s.closed = true
}

// Share is the share of slot time that the rank held.
func (s *Stats) Share(rank types.Rank) float64 {
	return ratio(s.Ranks[rank].slotSamples, s.slots)
}

// HitRate is the share of prompt blocks found in a cache.
func (s *Stats) HitRate() float64 {
	return ratio(s.CachedBlocks, s.Blocks)
}

// LoadP99 is the 99th percentile of an engine's running and queued requests per
// slot.
func (s *Stats) LoadP99() float64 {
	return Quantile(s.occupied, 0.99)
}

// Answered is the number of calls that got a whole answer, late or not.
func (r *RankStats) Answered() int { return len(r.latencies) }

// InTimeShare is the share of offered calls answered in time.
func (r *RankStats) InTimeShare() float64 { return ratio(r.InTime, r.Offered) }

// AwayShare is the share of offered calls sent to another region.
func (r *RankStats) AwayShare() float64 { return ratio(r.Away, r.Offered) }

// ExtraAttempts is the attempts beyond the first over the offered calls.
func (r *RankStats) ExtraAttempts() float64 {
	return ratio(r.Extra, r.Offered)
}

// Latency is a quantile, in seconds, of the time to the whole answer.
func (r *RankStats) Latency(q float64) float64 { return Quantile(r.latencies, q) }

// FirstToken is a quantile, in seconds, of the time to the first token.
func (r *RankStats) FirstToken(q float64) float64 { return Quantile(r.firsts, q) }

// RefusedShare is the share of offered calls refused as not run.
func (r *RankStats) RefusedShare() float64 { return ratio(r.Refused, r.Offered) }

// FailedShare is the share of offered calls that failed and may have run.
func (r *RankStats) FailedShare() float64 { return ratio(r.Failed, r.Offered) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Quantile returns the q-quantile of the values by the nearest rank; NaN when
// there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
