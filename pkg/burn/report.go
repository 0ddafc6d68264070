package burn

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// DaemonReport is what one daemon counted since it started.
type DaemonReport struct {
	Self snapshot.Self `json:"self"`
	// Since is when the daemon started; nothing before it is counted.
	Since   time.Time `json:"since"`
	At      time.Time `json:"at"`
	Series  []Series  `json:"series"`
	Latency []Latency `json:"latency"`
}

// Series is the counts of one objective of one rank of one service.
type Series struct {
	Key
	// Target is the share of good requests aimed at, 0 to 1.
	Target  float64       `json:"target"`
	Windows []WindowCount `json:"windows"`
	Causes  []CauseCount  `json:"causes"`
	Minutes []MinuteCount `json:"minutes"`
}

// WindowCount counts good and bad requests over a window.
type WindowCount struct {
	Window time.Duration `json:"window"`
	Good   uint64        `json:"good"`
	Bad    uint64        `json:"bad"`
}

// CauseCount counts the bad requests of one cause since the daemon started.
type CauseCount struct {
	Cause Cause  `json:"cause"`
	Count uint64 `json:"count"`
}

// MinuteCount counts one minute, given in minutes since the Unix epoch.
type MinuteCount struct {
	Minute int64  `json:"minute"`
	Good   uint64 `json:"good"`
	Bad    uint64 `json:"bad"`
}

// Latency is the histogram of whole answers' times, in microseconds, encoded as
// HdrHistogram V2 compressed base64.
type Latency struct {
	Service types.ServiceName `json:"service"`
	Rank    types.Rank        `json:"rank"`
	Encoded []byte            `json:"encoded"`
}

// Alert says how urgently a burn rate needs a person.
type Alert string

// The alerts, in the usual multi-window form.
const (
	// AlertNone: the budget lasts.
	AlertNone Alert = ""
	// AlertFast: the 5 min and 1 h windows both burn at 14.4 times the budget
	// or more.
	AlertFast Alert = "fast"
	// AlertSlow: the 30 min and 6 h windows both burn at 6 times the budget or
	// more.
	AlertSlow Alert = "slow"
)

const (
	fastBurn = 14.4
	slowBurn = 6.0
)

// FleetReport is the merged report of all daemons that answered.
type FleetReport struct {
	At time.Time `json:"at"`
	// Daemons lists those that answered and since when each counts.
	Daemons []DaemonCoverage `json:"daemons"`
	// Unreachable lists daemons that gave no report, with the reason.
	Unreachable []Unreachable `json:"unreachable"`
	Series      []FleetSeries `json:"series"`
	Latency     []Quantiles   `json:"latency"`
}

// DaemonCoverage says since when a daemon counts.
type DaemonCoverage struct {
	Self  snapshot.Self `json:"self"`
	Since time.Time     `json:"since"`
}

// Unreachable names a daemon that gave no report.
type Unreachable struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// FleetSeries is one merged series with its rates.
type FleetSeries struct {
	Series
	// Rates holds the burn rate of each window: 1 spends exactly the budget.
	Rates []WindowRate `json:"rates"`
	// BudgetLeft is the share of the error budget left over the longest
	// window; negative when overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert"`
	// Regions holds the bad and good counts of the longest window by region.
	Regions []RegionCount `json:"regions"`
}

// WindowRate is the burn rate of one window.
type WindowRate struct {
	Window time.Duration `json:"window"`
	Rate   float64       `json:"rate"`
	// Covered is the share of daemon time in the window that is counted; less
	// than 1 shows restarted daemons' gaps.
	Covered float64 `json:"covered"`
}

// RegionCount counts the longest window of one region.
type RegionCount struct {
	Region types.Region `json:"region"`
	Good   uint64       `json:"good"`
	Bad    uint64       `json:"bad"`
}

// Quantiles summarises whole answers' times.
type Quantiles struct {
	Service types.ServiceName `json:"service"`
	Rank    types.Rank        `json:"rank"`
	Count   int64             `json:"count"`
	P50     time.Duration     `json:"p50"`
	P95     time.Duration     `json:"p95"`
	P99     time.Duration     `json:"p99"`
}

// Merge adds up the reports of several daemons. It returns an error when a
// histogram can't be read.
func Merge(at time.Time, reports []DaemonReport, missing []Unreachable) (FleetReport, error) {
	fleet := FleetReport{At: at, Unreachable: missing}
	merged := make(map[Key]*FleetSeries)
	for _, report := range reports {
		fleet.Daemons = append(fleet.Daemons, DaemonCoverage{Self: report.Self, Since: report.Since})
		for _, one := range report.Series {
			into, ok := merged[one.Key]
			if !ok {
				into = &FleetSeries{Series: Series{Key: one.Key, Target: one.Target}}
				merged[one.Key] = into
			}
			into.add(one, report.Self.Region)
		}
	}
	for _, series := range merged {
		series.finish(at, fleet.Daemons)
		fleet.Series = append(fleet.Series, *series)
	}
	sort.Slice(fleet.Series, func(i, j int) bool { return fleet.Series[i].Key.less(fleet.Series[j].Key) })
	quantiles, err := mergeLatency(reports)
	if err != nil {
		return FleetReport{}, err
	}
	fleet.Latency = quantiles
	return fleet, nil
}

func (f *FleetSeries) add(one Series, region types.Region) {
	f.Windows = mergeWindows(f.Windows, one.Windows)
	f.Causes = mergeCauses(f.Causes, one.Causes)
	f.Minutes = mergeMinutes(f.Minutes, one.Minutes)
	if len(one.Windows) == 0 {
		return
	}
	longest := one.Windows[len(one.Windows)-1]
	for i := range f.Regions {
		if f.Regions[i].Region == region {
			f.Regions[i].Good += longest.Good
			f.Regions[i].Bad += longest.Bad
			return
		}
	}
	f.Regions = append(f.Regions, RegionCount{Region: region, Good: longest.Good, Bad: longest.Bad})
}

func (f *FleetSeries) finish(at time.Time, daemons []DaemonCoverage) {
	for _, window := range f.Windows {
		f.Rates = append(f.Rates, WindowRate{
			Window:  window.Window,
			Rate:    burnRate(window, f.Target),
			Covered: covered(at, window.Window, daemons),
		})
	}
	if len(f.Rates) > 0 {
		f.BudgetLeft = 1 - f.Rates[len(f.Rates)-1].Rate
	}
	f.Alert = alertOf(f.Rates)
	sort.Slice(f.Regions, func(i, j int) bool { return f.Regions[i].Region < f.Regions[j].Region })
}

func burnRate(window WindowCount, target float64) float64 {
	total := window.Good + window.Bad
	budget := 1 - target
	if total == 0 || budget <= 0 {
		return 0
	}
	return float64(window.Bad) / float64(total) / budget
}

func covered(at time.Time, window time.Duration, daemons []DaemonCoverage) float64 {
	if len(daemons) == 0 {
		return 0
	}
	var sum float64
	for _, daemon := range daemons {
		up := min(max(at.Sub(daemon.Since), 0), window)
		sum += float64(up) / float64(window)
	}
	return sum / float64(len(daemons))
}

func alertOf(rates []WindowRate) Alert {
	if len(rates) < len(Windows()) {
		return AlertNone
	}
	if rates[0].Rate >= fastBurn && rates[2].Rate >= fastBurn {
		return AlertFast
	}
	if rates[1].Rate >= slowBurn && rates[3].Rate >= slowBurn {
		return AlertSlow
	}
	return AlertNone
}

func mergeWindows(into, from []WindowCount) []WindowCount {
	for _, one := range from {
		i := sort.Search(len(into), func(i int) bool { return into[i].Window >= one.Window })
		if i < len(into) && into[i].Window == one.Window {
			into[i].Good += one.Good
			into[i].Bad += one.Bad
			continue
		}
		into = append(into, one)
		sort.Slice(into, func(a, b int) bool { return into[a].Window < into[b].Window })
	}
	return into
}

func mergeCauses(into, from []CauseCount) []CauseCount {
	sums := make(map[Cause]uint64, len(into)+len(from))
	for _, one := range into {
		sums[one.Cause] += one.Count
	}
	for _, one := range from {
		sums[one.Cause] += one.Count
	}
	merged := make([]CauseCount, 0, len(sums))
	for cause, count := range sums {
		merged = append(merged, CauseCount{Cause: cause, Count: count})
	}
	sortCauses(merged)
	return merged
}

func mergeMinutes(into, from []MinuteCount) []MinuteCount {
	sums := make(map[int64]MinuteCount, len(into)+len(from))
	for _, list := range [][]MinuteCount{into, from} {
		for _, one := range list {
			sum := sums[one.Minute]
			sum.Minute = one.Minute
			sum.Good += one.Good
			sum.Bad += one.Bad
			sums[one.Minute] = sum
		}
	}
	merged := make([]MinuteCount, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, sum)
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].Minute < merged[j].Minute })
	return merged
}

const (
	quantileP50 = 50
	quantileP95 = 95
	quantileP99 = 99
)

func mergeLatency(reports []DaemonReport) ([]Quantiles, error) {
	merged := make(map[latencyKey]*hdrhistogram.Histogram)
	for _, report := range reports {
		for _, one := range report.Latency {
			histogram, err := hdrhistogram.Decode(one.Encoded)
			if err != nil {
				return nil, eris.Wrapf(err, "histogram of %s from %s", one.Service, report.Self.Incarnation)
			}
			key := latencyKey{one.Service, one.Rank}
			if merged[key] == nil {
				merged[key] = newHistogram()
			}
			merged[key].Merge(histogram)
		}
	}
	quantiles := make([]Quantiles, 0, len(merged))
	for key, histogram := range merged {
		quantiles = append(quantiles, Quantiles{
			Service: key.service,
			Rank:    key.rank,
			Count:   histogram.TotalCount(),
			P50:     micros(histogram.ValueAtPercentile(quantileP50)),
			P95:     micros(histogram.ValueAtPercentile(quantileP95)),
			P99:     micros(histogram.ValueAtPercentile(quantileP99)),
		})
	}
	sort.Slice(quantiles, func(i, j int) bool {
		a, b := quantiles[i], quantiles[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Rank < b.Rank
	})
	return quantiles, nil
}

func micros(value int64) time.Duration {
	return time.Duration(value) * time.Microsecond
}
