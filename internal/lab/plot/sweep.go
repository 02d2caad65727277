package plot

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"hoptiller/internal/lab/experiment"
)

const (
	logScaleFrom     = 20   // the axis is logarithmic if the sweep's largest value is at least this many times its smallest
	barsWidth        = 0.75 // fraction of the plot's width that all bars take together
	maxLevelLabels   = 6    // if the axis has more labels, they are rotated by 45 degrees
	barsLegendMargin = 1.25 // top of the axis relative to the highest bar, which leaves space for the legend
)

// sample holds the values of one metric for one policy, by the value of the swept parameter.
type sample map[float64][]float64

// Sweep plots the metric y over the swept parameter x. It draws a line for each policy through the means over the seeds,
// with their 95% confidence intervals. If the parameter isn't a number, it plots Bars.
func Sweep(records []*experiment.Record, x, y, path string) error {
	if len(records) > 0 {
		if _, ok := toNumber(records[0].At[x]); !ok {
			return Bars(records, x, y, path)
		}
	}
	p := newPlot(title(records), x, y)
	samples, policies, err := collect(records, x, y)
	if err != nil {
		return err
	}
	low, high := math.Inf(1), math.Inf(-1)
	for _, values := range samples {
		for at := range values {
			low, high = min(low, at), max(high, at)
		}
	}
	if low > 0 && high/low >= logScaleFrom {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for n, policy := range policies {
		if err := addEstimates(p, n, policy, samples[policy]); err != nil {
			return err
		}
	}
	return save(p, path)
}

// collect groups the values of the metric y by policy and by the swept parameter x. It returns the policies in the order
// of the records.
func collect(records []*experiment.Record, x, y string) (samples map[string]sample, policies []string, err error) {
	samples = map[string]sample{}
	for _, r := range records {
		at, ok := toNumber(r.At[x])
		value, ok2 := r.Value(y)
		if !ok || !ok2 {
			return nil, nil, fmt.Errorf("the results have no number %q over %q", y, x)
		}
		if samples[r.Policy] == nil {
			samples[r.Policy] = sample{}
			policies = append(policies, r.Policy)
		}
		samples[r.Policy][at] = append(samples[r.Policy][at], value)
	}
	return samples, policies, nil
}

// addEstimates adds the line of one policy with its confidence intervals, in the n-th colour.
func addEstimates(p *plot.Plot, n int, policy string, values sample) error {
	var points plotter.XYs
	var intervals plotter.YErrors
	for _, at := range slices.Sorted(maps.Keys(values)) {
		estimate := experiment.NewEstimate(values[at])
		points = append(points, plotter.XY{X: at, Y: estimate.Mean})
		half := estimate.HalfWidth
		if math.IsInf(half, 0) { // a single seed has no interval
			half = 0
		}
		intervals = append(intervals, struct{ Low, High float64 }{half, half})
	}
	if err := addLine(p, n, policy, points); err != nil {
		return err
	}
	errorBars, err := plotter.NewYErrorBars(struct {
		plotter.XYs
		plotter.YErrors
	}{points, intervals})
	if err != nil {
		return err
	}
	errorBars.Color = palette[n%len(palette)]
	p.Add(errorBars)
	return nil
}

// Bars plots the mean of the metric y as a bar for each point of the sweep and each policy. The name of a point is its value
// of the swept parameter x, or the values of all parameters if x is empty.
func Bars(records []*experiment.Record, x, y, path string) error {
	p := newPlot(title(records), "", y)
	var policies, points []string
	values := map[[2]string][]float64{} // by policy and point
	for _, r := range records {
		value, ok := r.Value(y)
		if !ok {
			return fmt.Errorf("the results have no number %q", y)
		}
		point := pointName(r, x)
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
		if !slices.Contains(points, point) {
			points = append(points, point)
		}
		key := [2]string{r.Policy, point}
		values[key] = append(values[key], value)
	}
	barWidth := vg.Length(float64(width) * barsWidth / float64(len(policies)*max(len(points), 1)))
	for n, policy := range policies {
		var means plotter.Values
		for _, point := range points {
			means = append(means, experiment.NewEstimate(values[[2]string{policy, point}]).Mean)
		}
		bars, err := plotter.NewBarChart(means, barWidth)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = palette[n%len(palette)], 0
		bars.Offset = barWidth * vg.Length(float64(n)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(points...)
	if len(points) > maxLevelLabels {
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = math.Pi/4, draw.XRight
	}
	p.Legend.Top = true
	p.Y.Max *= barsLegendMargin
	return save(p, path)
}

// pointName returns the name of a record's point for Bars.
func pointName(r *experiment.Record, x string) string {
	if x == "" {
		return r.Point()
	}
	return fmt.Sprint(r.At[x])
}

// toNumber converts a value of a swept parameter to a float64. It returns false if the value is no number.
func toNumber(v any) (float64, bool) {
	switch x := v.(type) {
	case float64:
		return x, true
	case int64:
		return float64(x), true
	}
	return 0, false
}
