package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	tabWidth   = 8
	tabPadding = 2
	percent    = 100
)

// WriteText writes the report as tables for a terminal.
func WriteText(out io.Writer, report FleetReport) error {
	w := tabwriter.NewWriter(out, 0, tabWidth, tabPadding, ' ', 0)
	fmt.Fprintf(w, "Service-level burn at %s, %d daemons\n\n", report.At.UTC().Format(time.RFC3339), len(report.Daemons))
	fmt.Fprint(w, "SERVICE\tRANK\tOBJECTIVE\tTARGET")
	for _, window := range Windows() {
		fmt.Fprintf(w, "\tBURN %s", shortWindow(window))
	}
	fmt.Fprintln(w, "\tCOVERED\tBUDGET LEFT\tALERT")
	for _, series := range report.Series {
		writeSeries(w, series)
	}
	writeCauses(w, report)
	writeLatency(w, report)
	writeCoverage(w, report)
	return w.Flush()
}

func writeSeries(w io.Writer, series FleetSeries) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%.4g", series.Service, series.Rank, series.Objective, series.Target)
	covered := 0.0
	for _, rate := range series.Rates {
		fmt.Fprintf(w, "\t%.2f", rate.Rate)
		covered = rate.Covered
	}
	fmt.Fprintf(w, "\t%.0f%%\t%.1f%%\t%s\n", covered*percent, series.BudgetLeft*percent, alertText(series.Alert))
}

func writeCauses(w io.Writer, report FleetReport) {
	fmt.Fprintln(w, "\nSERVICE\tRANK\tOBJECTIVE\tCAUSE\tMISSED")
	for _, series := range report.Series {
		for _, cause := range series.Causes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", series.Service, series.Rank, series.Objective, cause.Cause, cause.Count)
		}
	}
}

func writeLatency(w io.Writer, report FleetReport) {
	fmt.Fprintln(w, "\nSERVICE\tRANK\tANSWERS\tP50\tP95\tP99")
	for _, one := range report.Latency {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", one.Service, one.Rank, one.Count, one.P50, one.P95, one.P99)
	}
}

func writeCoverage(w io.Writer, report FleetReport) {
	fmt.Fprintln(w, "\nDAEMON\tREGION\tCOUNTS SINCE")
	for _, daemon := range report.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\n", daemon.Self.Incarnation.VM, daemon.Self.Region, daemon.Since.UTC().Format(time.RFC3339))
	}
	for _, missing := range report.Unreachable {
		fmt.Fprintf(w, "%s\t-\tno report: %s\n", missing.Address, missing.Reason)
	}
}

func alertText(alert Alert) string {
	if alert == AlertNone {
		return "none"
	}
	return string(alert)
}

func shortWindow(window time.Duration) string {
	if window >= time.Hour {
		return fmt.Sprintf("%dh", window/time.Hour)
	}
	return fmt.Sprintf("%dm", window/time.Minute)
}
