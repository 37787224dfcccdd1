package load

import (
	"fmt"
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// PlotFormat is the image format of a plot.
type PlotFormat string

// Plot formats.
const (
	PNG PlotFormat = "png"
	SVG PlotFormat = "svg"
)

// plotStep is the distance between plotted quantiles, in percent.
const plotStep = 0.5

// Plot draws the quantiles of the slowdown of each report: slowdown over percent
// of jobs.
func Plot(w io.Writer, format PlotFormat, reports ...*Report) error {
	graph := chart.Chart{
		Title:  "slowdown (response time over ideal response time)",
		XAxis:  chart.XAxis{Name: "percent of jobs"},
		YAxis:  chart.YAxis{Name: "slowdown"},
		Series: make([]chart.Series, 0, len(reports)),
	}
	for i, rep := range reports {
		graph.Series = append(graph.Series, series(rep, i))
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	renderer := chart.PNG
	if format == SVG {
		renderer = chart.SVG
	}
	if err := graph.Render(renderer, w); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	return nil
}

// series returns the curve of one report, in the i-th color.
func series(rep *Report, i int) chart.Series {
	s := chart.ContinuousSeries{Name: rep.Name, Style: chart.Style{StrokeColor: chart.GetDefaultColor(i)}}
	for q := plotStep; q < 100; q += plotStep {
		s.XValues = append(s.XValues, q)
		s.YValues = append(s.YValues, float64(rep.slowdown.ValueAtQuantile(q))/slowdownUnit)
	}
	return s
}
