package main

import (
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/flamingomount/flamingomount/tools/measure/scenario"
)

const (
	plotHeight = 10 * vg.Centimeter
	// barRoom is the width of the plot for each variant.
	barRoom = 4 * vg.Centimeter
)

// writePlot draws one figure: a box over the seeds for each variant.
func writePlot(path, name, figure string, runs [][]scenario.Row) error {
	first := runs[0]
	column := slices.IndexFunc(first[0].Figures, func(f scenario.Figure) bool { return f.Name == figure })
	if column < 0 {
		return eris.Errorf("scenario %s has no figure %q", name, figure)
	}
	p := plot.New()
	p.Title.Text = name
	p.Y.Label.Text = figure
	var variants []string
	for i, row := range first {
		values := make(plotter.Values, 0, len(runs))
		for _, rows := range runs {
			values = append(values, rows[i].Figures[column].Value)
		}
		box, err := plotter.NewBoxPlot(vg.Centimeter, float64(i), values)
		if err != nil {
			return eris.Wrapf(err, "drawing %s", row.Variant)
		}
		p.Add(box)
		variants = append(variants, row.Variant)
	}
	p.NominalX(variants...)
	width := barRoom * vg.Length(len(variants)+1)
	return eris.Wrapf(p.Save(width, plotHeight, path), "writing %s", path)
}
