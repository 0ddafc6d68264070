package burn

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// bucketLength is the time that one bucket of counts covers.
	bucketLength = time.Minute
	// bucketCount is how many buckets a series keeps; together they cover the
	// longest window.
	bucketCount = 360
	// maxCauses bounds the causes that one series tells apart.
	maxCauses = 24

	// Histogram bounds, in microseconds, and precision, in decimal digits.
	histogramMin    = 100
	histogramMax    = 3_600_000_000
	histogramDigits = 2
)

// Windows lists the windows of a report, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}
}

// State counts outcomes. It is not safe for concurrent use: one goroutine owns
// it.
type State struct {
	self    snapshot.Self
	started time.Time
	series  map[Key]*series
	latency map[latencyKey]*hdrhistogram.Histogram
}

type latencyKey struct {
	service types.ServiceName
	rank    types.Rank
}

// series holds the counts of one key in a ring of buckets.
type series struct {
	target  float64
	buckets [bucketCount]bucket
	causes  map[Cause]uint64
}

// bucket counts the requests of one minute. minute tells which one, so that an
// old lap of the ring is never counted.
type bucket struct {
	minute int64
	good   uint32
	bad    uint32
}

// NewState returns empty counts of a daemon that started at the given time.
func NewState(self snapshot.Self, started time.Time) *State {
	return &State{
		self:    self,
		started: started,
		series:  make(map[Key]*series),
		latency: make(map[latencyKey]*hdrhistogram.Histogram),
	}
}

// Record counts one outcome against its service's objectives.
func (s *State) Record(outcome request.Outcome, service *published.Service) {
	for _, verdict := range judge(outcome, service.Objectives[outcome.Rank]) {
		key := Key{Service: outcome.Service, Rank: outcome.Rank, Objective: verdict.objective}
		s.seriesOf(key).add(outcome, verdict)
	}
	if outcome.Code == "" {
		s.recordLatency(outcome)
	}
}

func (s *State) seriesOf(key Key) *series {
	counts, ok := s.series[key]
	if !ok {
		counts = &series{causes: make(map[Cause]uint64)}
		s.series[key] = counts
	}
	return counts
}

func (s *State) recordLatency(outcome request.Outcome) {
	key := latencyKey{outcome.Service, outcome.Rank}
	histogram, ok := s.latency[key]
	if !ok {
		histogram = newHistogram()
		s.latency[key] = histogram
	}
	micros := min(max(outcome.Took.Microseconds(), histogramMin), histogramMax)
	_ = histogram.RecordValue(micros)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func (c *series) add(outcome request.Outcome, verdict verdict) {
	c.target = verdict.target
	minute := outcome.FinishedAt.Unix() / int64(bucketLength/time.Second)
	slot := &c.buckets[minute%bucketCount]
	if slot.minute != minute {
		*slot = bucket{minute: minute}
	}
	if verdict.good {
		slot.good++
		return
	}
	slot.bad++
	cause := causeOf(outcome)
	_, known := c.causes[cause]
	if known || len(c.causes) < maxCauses {
		c.causes[cause]++
	}
}

// count adds up the buckets of the window that ends at now.
func (c *series) count(now time.Time, window time.Duration) (good, bad uint64) {
	last := now.Unix() / int64(bucketLength/time.Second)
	first := last - int64(window/bucketLength) + 1
	for _, slot := range c.buckets {
		if slot.minute < first || slot.minute > last {
			continue
		}
		good += uint64(slot.good)
		bad += uint64(slot.bad)
	}
	return good, bad
}

// Report returns the daemon's counts as of now.
func (s *State) Report(now time.Time) (DaemonReport, error) {
	report := DaemonReport{Self: s.self, Since: s.started, At: now}
	for key, counts := range s.series {
		report.Series = append(report.Series, counts.report(key, now))
	}
	sort.Slice(report.Series, func(i, j int) bool {
		return report.Series[i].Key.less(report.Series[j].Key)
	})
	for key, histogram := range s.latency {
		encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return DaemonReport{}, err
		}
		report.Latency = append(report.Latency, Latency{Service: key.service, Rank: key.rank, Encoded: encoded})
	}
	sort.Slice(report.Latency, func(i, j int) bool {
		a, b := report.Latency[i], report.Latency[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Rank < b.Rank
	})
	return report, nil
}

func (c *series) report(key Key, now time.Time) Series {
	out := Series{Key: key, Target: c.target}
	for _, window := range Windows() {
		good, bad := c.count(now, window)
		out.Windows = append(out.Windows, WindowCount{Window: window, Good: good, Bad: bad})
	}
	for cause, count := range c.causes {
		out.Causes = append(out.Causes, CauseCount{Cause: cause, Count: count})
	}
	sortCauses(out.Causes)
	first := now.Unix()/int64(bucketLength/time.Second) - bucketCount + 1
	for _, slot := range c.buckets {
		if slot.minute >= first && slot.good+slot.bad > 0 {
			out.Minutes = append(out.Minutes, MinuteCount{Minute: slot.minute, Good: uint64(slot.good), Bad: uint64(slot.bad)})
		}
	}
	sort.Slice(out.Minutes, func(i, j int) bool { return out.Minutes[i].Minute < out.Minutes[j].Minute })
	return out
}

func (k Key) less(other Key) bool {
	if k.Service != other.Service {
		return k.Service < other.Service
	}
	if k.Rank != other.Rank {
		return k.Rank < other.Rank
	}
	return k.Objective < other.Objective
}

func sortCauses(causes []CauseCount) {
	sort.Slice(causes, func(i, j int) bool {
		if causes[i].Count != causes[j].Count {
			return causes[i].Count > causes[j].Count
		}
		return causes[i].Cause < causes[j].Cause
	})
}
