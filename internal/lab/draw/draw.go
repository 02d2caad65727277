// Package draw makes plots of experiments' results, as SVG or PNG. It reads
// nothing but the results, and writes nothing but the files it is told to.
package draw

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/tally"
)

// palette is Okabe and Ito's, which people with any kind of colour vision can tell apart.
var palette = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff},
	color.RGBA{0xcc, 0x79, 0xa7, 0xff}, color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x56, 0xb4, 0xe9, 0xff},
	color.RGBA{0x33, 0x33, 0x33, 0xff}, color.RGBA{0x99, 0x99, 0x99, 0xff},
}

const width, height = 18 * vg.Centimeter, 11 * vg.Centimeter

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.XOffs = false, -vg.Millimeter
	p.Add(plotter.NewGrid())
	return p
}

func save(p *plot.Plot, path string) error {
	if ext := filepath.Ext(path); ext != ".svg" && ext != ".png" {
		return fmt.Errorf("%s: .svg or .png is meant", path)
	}
	return p.Save(width, height, path)
}

// line adds a line of its own colour, with a name in the legend.
func line(p *plot.Plot, n int, name string, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = palette[n%len(palette)], vg.Points(1.4)
	if n >= len(palette) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// Sweep plots a figure of the results over a figure of the sweep: for each policy the means over the
// seeds, with their 95% confidence intervals.
func Sweep(records []*experiment.Record, x, y, path string) error {
	if len(records) > 0 {
		if _, ok := number(records[0].At[x]); !ok {
			return Bars(records, x, y, path) // names have no place on a line
		}
	}
	p := newPlot(title(records), x, y)
	values, xs := map[string]map[float64][]float64{}, map[float64]bool{}
	var policies []string
	for _, r := range records {
		at, ok := number(r.At[x])
		v, ok2 := r.Value(y)
		if !ok || !ok2 {
			return fmt.Errorf("the results have no number %q over %q", y, x)
		}
		if values[r.Policy] == nil {
			values[r.Policy] = map[float64][]float64{}
			policies = append(policies, r.Policy)
		}
		values[r.Policy][at] = append(values[r.Policy][at], v)
		xs[at] = true
	}
	low, high := math.Inf(1), math.Inf(-1)
	for at := range xs {
		low, high = min(low, at), max(high, at)
	}
	if low > 0 && high/low >= 20 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for n, policy := range policies {
		var points plotter.XYs
		var bars plotter.YErrors
		for _, at := range sorted(values[policy]) {
			e := experiment.NewEstimate(values[policy][at])
			points = append(points, plotter.XY{X: at, Y: e.Mean})
			half := e.Half
			if math.IsInf(half, 0) {
				half = 0
			}
			bars = append(bars, struct{ Low, High float64 }{half, half})
		}
		if err := line(p, n, policy, points); err != nil {
			return err
		}
		errors, err := plotter.NewYErrorBars(struct {
			plotter.XYs
			plotter.YErrors
		}{points, bars})
		if err != nil {
			return err
		}
		errors.Color = palette[n%len(palette)]
		p.Add(errors)
	}
	return save(p, path)
}

// Bars plots a figure for each point of the sweep side by side, a bar a policy. The points are named by
// the figure x of the sweep, or if that is empty by all of them.
func Bars(records []*experiment.Record, x, y, path string) error {
	p := newPlot(title(records), "", y)
	var policies, points []string
	sums := map[[2]string][]float64{}
	name := func(r *experiment.Record) string {
		if x != "" {
			return fmt.Sprint(r.At[x])
		}
		return r.Point()
	}
	for _, r := range records {
		v, ok := r.Value(y)
		if !ok {
			return fmt.Errorf("the results have no number %q", y)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
		if !slices.Contains(points, name(r)) {
			points = append(points, name(r))
		}
		sums[[2]string{r.Policy, name(r)}] = append(sums[[2]string{r.Policy, name(r)}], v)
	}
	w := vg.Length(float64(width) * 0.75 / float64(len(policies)*max(len(points), 1)))
	for n, policy := range policies {
		var values plotter.Values
		for _, point := range points {
			values = append(values, experiment.NewEstimate(sums[[2]string{policy, point}]).Mean)
		}
		bars, err := plotter.NewBarChart(values, w)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = palette[n%len(palette)], 0
		bars.Offset = w * vg.Length(float64(n)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(points...)
	if len(points) > 6 {
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = math.Pi/4, draw.XRight
	}
	p.Legend.Top = true
	p.Y.Max *= 1.25 // for the legend
	return save(p, path)
}

// Course plots what happened second by second in one run: service, what was asked or refused, fetches, the
// latency of calls, or by cache the capacity or the work sent over it ("load").
func Course(r *experiment.Record, what, path string) error {
	s := r.Series
	if s == nil {
		return fmt.Errorf("the results have no course: the experiment must say series = true")
	}
	p := newPlot(fmt.Sprintf("%s, %s, seed %d", r.Experiment, r.Policy, r.Seed), "s", what)
	var err error
	switch what {
	case "service":
		err = line(p, 0, "", seconds(len(s.Service), func(i int) float64 { return s.Service[i] }))
	case "asked":
		err = line(p, 0, "", seconds(len(s.Asked), func(i int) float64 { return float64(s.Asked[i]) }))
	case "latency":
		err = line(p, 0, "", seconds(len(s.Latency), func(i int) float64 { return s.Latency[i] }))
		p.Y.Label.Text = "mean ms until a call is answered"
	case "refused":
		err = line(p, 0, "", seconds(len(s.Refused), func(i int) float64 { return float64(s.Refused[i]) }))
	case "fetches":
		err = line(p, 0, "", seconds(len(s.Fetches), func(i int) float64 { return float64(s.Fetches[i]) }))
	case "load":
		for c := range s.Sent {
			if err = line(p, c, "", seconds(len(s.Sent[c]), func(i int) float64 { return part(s, c, i) })); err != nil {
				break
			}
		}
		p.Y.Label.Text = "work sent over capacity, a line a cache"
	case "capacity":
		for c := range s.Capacity {
			if err = line(p, c, "", seconds(len(s.Capacity[c]), func(i int) float64 { return s.Capacity[c][i] })); err != nil {
				break
			}
		}
		p.Y.Label.Text = "capacity in standard cores, a line a cache"
	default:
		err = fmt.Errorf("there is no course of %q: service, asked, refused, fetches, latency, load and capacity are meant", what)
	}
	if err != nil {
		return err
	}
	for _, f := range s.Faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: f.At, Y: p.Y.Min}, {X: f.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		mark.Color, mark.Dashes = color.Gray{0x80}, []vg.Length{vg.Points(2), vg.Points(2)}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.At, Y: p.Y.Max}}, Labels: []string{" " + f.Text}})
		if err != nil {
			return err
		}
		p.Add(mark, label)
	}
	return save(p, path)
}

// part is the work sent to a cache over what it could do; nothing is drawn as more than 5.
func part(s *tally.Series, cache, i int) float64 {
	if s.Capacity[cache][i] <= 0 {
		return 0
	}
	return min(5, s.Sent[cache][i]/s.Capacity[cache][i])
}

func seconds(n int, y func(int) float64) plotter.XYs {
	points := make(plotter.XYs, n)
	for i := range points {
		points[i] = plotter.XY{X: float64(i), Y: y(i)}
	}
	return points
}

func title(records []*experiment.Record) string {
	if len(records) == 0 {
		return ""
	}
	return records[0].Experiment
}

func number(v any) (float64, bool) {
	switch x := v.(type) {
	case float64:
		return x, true
	case int64:
		return float64(x), true
	}
	return 0, false
}

func sorted(m map[float64][]float64) (keys []float64) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Curve is one line of a plot.
type Curve struct {
	Name string
	X, Y []float64
}

// Curves plots lines over a common axis, both axes logarithmic; all values must be more than 0.
func Curves(title, x, y string, curves []Curve, path string) error {
	p := newPlot(title, x, y)
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for n, c := range curves {
		points := make(plotter.XYs, len(c.X))
		for i := range points {
			if points[i] = (plotter.XY{X: c.X[i], Y: c.Y[i]}); !(c.X[i] > 0 && c.Y[i] > 0) {
				return fmt.Errorf("%s: a logarithmic axis has no place for %v", c.Name, points[i])
			}
		}
		if err := line(p, n, c.Name, points); err != nil {
			return err
		}
	}
	return save(p, path)
}
