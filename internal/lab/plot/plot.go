// Package plot draws the results of experiments and drills as SVG or PNG files. Its
// only input is the results that a caller passes, and its only output is the files that a caller names.
package plot

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hoptiller/internal/lab/experiment"
)

// palette is the palette of Okabe and Ito. Its colours can be distinguished with any kind of colour vision.
var palette = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff},
	color.RGBA{0xcc, 0x79, 0xa7, 0xff}, color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x56, 0xb4, 0xe9, 0xff},
	color.RGBA{0x33, 0x33, 0x33, 0xff}, color.RGBA{0x99, 0x99, 0x99, 0xff},
}

const (
	width     = 18 * vg.Centimeter
	height    = 11 * vg.Centimeter
	lineWidth = vg.Length(1.4)
)

// newPlot returns an empty plot with a title, labels of its axes and a grid.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.XOffs = false, -vg.Millimeter
	p.Add(plotter.NewGrid())
	return p
}

// save writes a plot in the format of the path's extension: .svg or .png.
func save(p *plot.Plot, path string) error {
	if ext := filepath.Ext(path); ext != ".svg" && ext != ".png" {
		return fmt.Errorf("%s: the extension must be .svg or .png", path)
	}
	return p.Save(width, height, path)
}

// addLine adds a line in the n-th colour, dashed if the palette has fewer colours. A name that is not empty is added to the
// legend.
func addLine(p *plot.Plot, n int, name string, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = palette[n%len(palette)], lineWidth
	if n >= len(palette) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// title returns the name of the experiment that the records are from.
func title(records []*experiment.Record) string {
	if len(records) == 0 {
		return ""
	}
	return records[0].Experiment
}

// Curve is one line of a plot, with the coordinates of its points.
type Curve struct {
	Name string
	X, Y []float64
}

// Curves plots lines in one plot with two logarithmic axes. It returns an error if a coordinate isn't greater than 0.
func Curves(title, x, y string, curves []Curve, path string) error {
	p := newPlot(title, x, y)
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for n, curve := range curves {
		points := make(plotter.XYs, len(curve.X))
		for i := range points {
			points[i] = plotter.XY{X: curve.X[i], Y: curve.Y[i]}
			if !(points[i].X > 0 && points[i].Y > 0) {
				return fmt.Errorf("%s: a logarithmic axis can't show %v", curve.Name, points[i])
			}
		}
		if err := addLine(p, n, curve.Name, points); err != nil {
			return err
		}
	}
	return save(p, path)
}
