package burn

import (
	"bytes"
	_ "embed"
	"html/template"
	"image/color"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed report.html
var pageText string

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 4 * vg.Centimeter
)

var badColour = color.RGBA{R: 0xb0, G: 0x20, B: 0x20, A: 0xff}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(share float64) float64 { return share * percent },
	"window":  shortWindow,
	"alert":   alertText,
	"plot":    plotSeries,
	"stamp":   func(at time.Time) string { return at.UTC().Format(time.RFC3339) },
}).Parse(pageText))

// WriteHTML writes the report as one self-contained page with a plot of each
// series' missed requests by minute. It returns the first error of a plot or of
// out.
func WriteHTML(out io.Writer, report FleetReport) error {
	return eris.Wrap(page.Execute(out, report), "write burn report page")
}

// plotSeries draws the share of missed requests by minute as an SVG image.
func plotSeries(series FleetSeries) (template.HTML, error) {
	points := make(plotter.XYs, 0, len(series.Minutes))
	for _, minute := range series.Minutes {
		points = append(points, plotter.XY{
			X: float64(minute.Minute * int64(bucketLength/time.Second)),
			Y: percent * float64(minute.Bad) / float64(minute.Good+minute.Bad),
		})
	}
	chart := plot.New()
	chart.Y.Label.Text = "missed, %"
	chart.Y.Min, chart.Y.Max = 0, percent
	chart.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	if len(points) > 0 {
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", eris.Wrap(err, "plot missed requests")
		}
		line.Color = badColour
		chart.Add(line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(canvas))
	var image bytes.Buffer
	_, err := canvas.WriteTo(&image)
	if err != nil {
		return "", eris.Wrap(err, "plot missed requests")
	}
	start := bytes.Index(image.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", eris.New("plot holds no image")
	}
	return template.HTML(image.Bytes()[start:]), nil
}
