package main

import (
	"fmt"
	"strings"
)

// table returns the lines of the table, with a column for each size.
func table(rows []row) []string {
	lines := []string{line("daemons", rows, func(r row) string { return fmt.Sprint(r.daemons) })}
	add := func(name string, cell func(row) string) { lines = append(lines, line(name, rows, cell)) }
	add("sent, bytes/s", func(r row) string { return fmt.Sprintf("%.0f", r.sent) })
	add("received, bytes/s", func(r row) string { return fmt.Sprintf("%.0f", r.received) })
	add("both ways, mean", func(r row) string { return fmt.Sprintf("%.0f", r.sent+r.received) })
	add("both ways, busiest daemon", func(r row) string { return fmt.Sprintf("%.0f", r.worst) })
	add("requests/s", func(r row) string { return fmt.Sprintf("%.2f", r.messages) })
	add("share of a core, %", func(r row) string { return fmt.Sprintf("%.3f", r.cpu*100) })
	add("memory, MB", func(r row) string { return fmt.Sprintf("%.2f", r.memory/1e6) })
	add("configuration reads/s, fleet", func(r row) string { return fmt.Sprintf("%.2f", r.configReads) })
	add("  most in one second", func(r row) string { return fmt.Sprintf("%.0f", r.configPeak) })
	add("VM list reads/s, fleet", func(r row) string { return fmt.Sprintf("%.2f", r.listReads) })
	add("publish to last daemon, s", func(r row) string { return cell(r.publish) })
	add("crashed: out of its region's answers, s", func(r row) string { return cell(r.crash.region) })
	add("crashed: out of all answers, s", func(r row) string { return cell(r.crash.all) })
	add("paused: out of its region's answers, s", func(r row) string { return cell(r.pause.region) })
	add("paused: out of all answers, s", func(r row) string { return cell(r.pause.all) })
	add("leaving: out of its region's answers, s", func(r row) string { return cell(r.leave.region) })
	add("leaving: out of all answers, s", func(r row) string { return cell(r.leave.all) })
	add("data centre restart: daemons", func(r row) string { return fmt.Sprint(r.restart.daemons) })
	add("  seconds to service", func(r row) string { return fmt.Sprintf("%.1f", r.restart.seconds) })
	add("  configuration reads", func(r row) string { return fmt.Sprint(r.restart.configReads) })
	add("  most in one second", func(r row) string { return fmt.Sprint(r.restart.peak) })
	add("  received a daemon, KB", func(r row) string { return fmt.Sprintf("%.0f", r.restart.received/1e3) })
	return lines
}

func line(name string, rows []row, cell func(row) string) string {
	cells := []string{name}
	for _, r := range rows {
		cells = append(cells, cell(r))
	}
	return strings.Join(cells, "\t")
}

// cell shows the median and the largest of the trials.
func cell(s spread) string {
	return fmt.Sprintf("%.1f (%.1f)", s.median, s.worst)
}
