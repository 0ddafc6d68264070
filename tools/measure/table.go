package main

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"

	"github.com/flamingomount/flamingomount/tools/measure/scenario"
)

// parallelSeeds bounds the seeds that run at the same time.
const parallelSeeds = 3

// runAll runs the scenario at every seed; the result is ordered by seed.
func runAll(s scenario.Scenario, o options) [][]scenario.Row {
	seeds := make([]uint64, o.seeds)
	for i := range seeds {
		seeds[i] = o.seed + uint64(i)
	}
	mapper := iter.Mapper[uint64, []scenario.Row]{MaxGoroutines: parallelSeeds}
	return mapper.Map(seeds, func(seed *uint64) []scenario.Row { return s.Run(*seed) })
}

// table shows the least and greatest value of each figure over the seeds, as a
// Markdown table.
func table(runs [][]scenario.Row) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 1, ' ', 0)
	first := runs[0]
	header, rule := []string{"| variant"}, []string{"| ---"}
	for _, figure := range first[0].Figures {
		header = append(header, "| "+figure.Name)
		rule = append(rule, "| ---")
	}
	fmt.Fprintf(w, "%s\t|\n%s\t|\n", strings.Join(header, "\t"), strings.Join(rule, "\t"))
	for i, row := range first {
		cells := []string{"| " + row.Variant}
		for j := range row.Figures {
			low, high := bounds(runs, i, j)
			cells = append(cells, "| "+span(low, high))
		}
		fmt.Fprintf(w, "%s\t|\n", strings.Join(cells, "\t"))
	}
	_ = w.Flush() // A strings.Builder does not fail.
	return text.String()
}

func bounds(runs [][]scenario.Row, row, figure int) (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, rows := range runs {
		value := rows[row].Figures[figure].Value
		low, high = min(low, value), max(high, value)
	}
	return low, high
}

func span(low, high float64) string {
	if math.IsNaN(low) || math.IsNaN(high) {
		return "none"
	}
	return number(low) + " – " + number(high)
}

func number(value float64) string {
	switch {
	case value == math.Trunc(value) || math.Abs(value) >= 1000:
		return strconv.FormatFloat(value, 'f', 0, 64)
	case math.Abs(value) >= 100:
		return strconv.FormatFloat(value, 'f', 1, 64)
	default:
		return strconv.FormatFloat(value, 'f', 2, 64)
	}
}

// writeCSV writes every value: scenario, seed, variant, figure, value.
func writeCSV(path, name string, seed uint64, runs [][]scenario.Row) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrapf(err, "creating %s", path)
	}
	w := csv.NewWriter(file)
	_ = w.Write([]string{"scenario", "seed", "variant", "figure", "value"})
	for i, rows := range runs {
		for _, row := range rows {
			for _, figure := range row.Figures {
				value := strconv.FormatFloat(figure.Value, 'g', -1, 64)
				_ = w.Write([]string{name, strconv.FormatUint(seed+uint64(i), 10), row.Variant, figure.Name, value})
			}
		}
	}
	w.Flush()
	if err := w.Error(); err != nil {
		_ = file.Close()
		return eris.Wrapf(err, "writing %s", path)
	}
	return eris.Wrapf(file.Close(), "closing %s", path)
}
