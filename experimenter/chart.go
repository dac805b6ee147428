package experimenter

import (
	"image/color"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of a chart.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 11 * vg.Centimeter
)

// WriteChart draws batch throughput against the first-token latency of online
// callers, as SVG. It draws one point for each row that has online load, except for
// the row batch-alone.
func WriteChart(w io.Writer, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Batch throughput against harm to online callers"
	p.X.Label.Text = "first-token p99, ratio to no batch"
	p.Y.Label.Text = "batch items a second"
	var points plotter.XYs
	var names []string
	for _, r := range rows {
		if r.Policy == batchAlone || r.OnlineP99 == 0 {
			continue
		}
		points = append(points, plotter.XY{X: r.FirstTokenP99Ratio, Y: r.BatchPerSecond})
		names = append(names, " "+r.Policy)
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrap(err, "chart points")
	}
	s.GlyphStyle = draw.GlyphStyle{Color: color.RGBA{R: 30, G: 90, B: 160, A: 255}, Radius: vg.Points(4), Shape: draw.CircleGlyph{}}
	l, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return eris.Wrap(err, "chart labels")
	}
	p.Add(plotter.NewGrid(), s, l)
	p.X.Min, p.Y.Min = 0, 0
	p.X.Max *= 1.2
	t, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return eris.Wrap(err, "draw chart")
	}
	_, err = t.WriteTo(w)
	return eris.Wrap(err, "write chart")
}
