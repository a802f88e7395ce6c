package measure

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	barWidth        = vg.Length(7)
	rowHeight       = vg.Length(20)
	plotWidth       = 14 * vg.Inch
	verticalMargins = 80 * vg.Length(1)
	// axisMinimum replaces values that the logarithmic axis cannot show, such as 0.
	axisMinimum = 0.01
)

var plotColors = map[string]color.Color{
	Ours:     color.RGBA{R: 31, G: 119, B: 180, A: 255},
	Baseline: color.RGBA{R: 255, G: 127, B: 14, A: 255},
}

// bar is one row of a chart, with its medians by variant.
type bar struct {
	label   string
	medians map[string]float64
}

// Plot writes one bar chart of medians for each section of the rows as DIR/SECTION.png.
func Plot(dir string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "plot")
	}
	bars, sections := map[string][]*bar{}, []string{}
	for _, r := range rows {
		if bars[r.Section] == nil {
			sections = append(sections, r.Section)
		}
		bars[r.Section] = addBar(bars[r.Section], r)
	}
	for _, s := range sections {
		if err := plotSection(filepath.Join(dir, s+".png"), s, bars[s]); err != nil {
			return errors.Wrapf(err, "plot of section %s", s)
		}
	}
	return nil
}

// addBar adds the row to the bar of the same metric in another variant, or appends a new bar.
func addBar(bars []*bar, r Row) []*bar {
	label := r.Case + ": " + r.Metric + " (" + r.Unit + ")"
	for _, b := range bars {
		if b.label == label {
			b.medians[r.Variant] = r.Median
			return bars
		}
	}
	return append(bars, &bar{label, map[string]float64{r.Variant: r.Median}})
}

// plotSection draws horizontal bars, because the labels are long, on a logarithmic axis,
// because the metrics of a section have different units.
func plotSection(path, name string, bars []*bar) error {
	p := plot.New()
	p.Title.Text = name + ": medians, on a logarithmic axis that begins at 0.01"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	labels := make([]string, len(bars))
	largest := 1.0
	for _, variant := range []string{Ours, Baseline} {
		values := make(plotter.Values, len(bars))
		for i, b := range bars {
			// The first row is drawn at the top.
			index := len(bars) - 1 - i
			labels[index] = b.label
			v, ok := b.medians[variant]
			values[index] = axisMinimum
			if ok {
				values[index] = max(v, axisMinimum)
			}
			largest = max(largest, values[index])
		}
		chart, err := newLogBarChart(values, variant)
		if err != nil {
			return err
		}
		p.Add(chart)
		p.Legend.Add(variant, chart)
	}
	// The offsets keep the legend and the longest label inside the picture.
	p.Legend.Top, p.Legend.XOffs = true, -rowHeight
	p.Y.Label.Text = " "
	p.Title.Padding = barWidth
	p.X.Min, p.X.Max = axisMinimum, math.Pow(10, math.Ceil(math.Log10(largest))+0.5)
	p.NominalY(labels...)
	return p.Save(plotWidth, rowHeight*vg.Length(len(bars))+verticalMargins, path)
}

// newLogBarChart returns the bars of one variant.
func newLogBarChart(values plotter.Values, variant string) (*logBarChart, error) {
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	chart.Horizontal, chart.Color, chart.LineStyle.Width = true, plotColors[variant], 0
	chart.Offset = barWidth / 2
	if variant == Baseline {
		chart.Offset = -barWidth / 2
	}
	return &logBarChart{chart}, nil
}

// logBarChart draws bars from the lower end of the axis. plotter.BarChart draws them from 0,
// which a logarithmic axis does not have.
type logBarChart struct{ *plotter.BarChart }

// Plot draws the bars.
func (b *logBarChart) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	for i, v := range b.Values {
		y := toY(float64(i)) + b.Offset
		left, right := toX(p.X.Min), toX(v)
		c.FillPolygon(b.Color, []vg.Point{
			{X: left, Y: y - b.Width/2}, {X: right, Y: y - b.Width/2}, {X: right, Y: y + b.Width/2}, {X: left, Y: y + b.Width/2},
		})
	}
}

// DataRange returns the range of the values, which begins above 0.
func (b *logBarChart) DataRange() (xmin, xmax, ymin, ymax float64) {
	return axisMinimum, slices.Max(b.Values), -0.5, float64(len(b.Values)) - 0.5
}

// GlyphBoxes returns no boxes, so that the axes keep their size.
func (b *logBarChart) GlyphBoxes(*plot.Plot) []plot.GlyphBox { return nil }
