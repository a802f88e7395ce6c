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
	plotBar   = vg.Length(7)
	plotLine  = vg.Length(20)
	plotWidth = 14 * vg.Inch
	plotEdges = 80 * vg.Length(1)
	// smallestBar stands for values that the logarithmic axis cannot show, such as 0.
	smallestBar = 0.01
)

var plotColors = map[string]color.Color{
	Ours:     color.RGBA{R: 31, G: 119, B: 180, A: 255},
	Baseline: color.RGBA{R: 255, G: 127, B: 14, A: 255},
}

// bar is one place of a chart, with the medians by variant.
type bar struct {
	label   string
	medians map[string]float64
}

// Plot writes one bar chart of medians for each section of the rows as DIR/SECTION.png.
func Plot(dir string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "plot")
	}
	bars, order := map[string][]*bar{}, []string{}
	for _, r := range rows {
		if bars[r.Section] == nil {
			order = append(order, r.Section)
		}
		bars[r.Section] = addBar(bars[r.Section], r)
	}
	for _, s := range order {
		if err := plotSection(filepath.Join(dir, s+".png"), s, bars[s]); err != nil {
			return errors.Wrapf(err, "plot of section %s", s)
		}
	}
	return nil
}

// addBar puts the row beside that of the other variant, if there is one.
func addBar(list []*bar, r Row) []*bar {
	label := r.Case + ": " + r.Metric + " (" + r.Unit + ")"
	for _, b := range list {
		if b.label == label {
			b.medians[r.Variant] = r.Median
			return list
		}
	}
	return append(list, &bar{label, map[string]float64{r.Variant: r.Median}})
}

// plotSection draws horizontal bars, because the labels are long, on a logarithmic axis,
// because the figures of a section have several units.
func plotSection(path, name string, list []*bar) error {
	p := plot.New()
	p.Title.Text = name + ": medians, on a logarithmic axis that begins at 0.01"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	labels := make([]string, len(list))
	top := 1.0
	for _, variant := range []string{Ours, Baseline} {
		values := make(plotter.Values, len(list))
		for i, b := range list {
			// The first row is drawn at the top.
			at := len(list) - 1 - i
			labels[at] = b.label
			v, ok := b.medians[variant]
			values[at] = smallestBar
			if ok {
				values[at] = max(v, smallestBar)
			}
			top = max(top, values[at])
		}
		c, err := logBars(values, variant)
		if err != nil {
			return err
		}
		p.Add(c)
		p.Legend.Add(variant, c)
	}
	// The offsets keep the legend and the longest label inside the picture.
	p.Legend.Top, p.Legend.XOffs = true, -plotLine
	p.Y.Label.Text = " "
	p.Title.Padding = plotBar
	p.X.Min, p.X.Max = smallestBar, math.Pow(10, math.Ceil(math.Log10(top))+0.5)
	p.NominalY(labels...)
	return p.Save(plotWidth, plotLine*vg.Length(len(list))+plotEdges, path)
}

// logBars returns the bars of one variant.
func logBars(values plotter.Values, variant string) (*logBarChart, error) {
	c, err := plotter.NewBarChart(values, plotBar)
	if err != nil {
		return nil, err
	}
	c.Horizontal, c.Color, c.LineStyle.Width = true, plotColors[variant], 0
	c.Offset = plotBar / 2
	if variant == Baseline {
		c.Offset = -plotBar / 2
	}
	return &logBarChart{c}, nil
}

// logBarChart draws bars from the axis' lower end; plotter.BarChart draws them from 0,
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
	return smallestBar, slices.Max(b.Values), -0.5, float64(len(b.Values)) - 0.5
}

// GlyphBoxes leaves the axes as they are.
func (b *logBarChart) GlyphBoxes(*plot.Plot) []plot.GlyphBox { return nil }
