package plot

import (
	"errors"
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/scoring"
)

// maxLoadShare caps the plotted load of a cache server, which is its work divided by its capacity.
const maxLoadShare = 5

// TimeSeries plots one metric of one run second by second, and marks the beginning and end of each fault. The metrics
// service, asked, refused, fetches and latency have one line. The metrics load and capacity have one line for each cache
// server.
func TimeSeries(r *experiment.Record, metric, path string) error {
	s := r.Series
	if s == nil {
		return errors.New("the results have no time series: the experiment must set series = true")
	}
	lines, label, err := seriesLines(s, metric)
	if err != nil {
		return err
	}
	p := newPlot(fmt.Sprintf("%s, %s, seed %d", r.Experiment, r.Policy, r.Seed), "s", label)
	for n, points := range lines {
		if err := addLine(p, n, "", points); err != nil {
			return err
		}
	}
	if err := addFaults(p, s.Faults); err != nil {
		return err
	}
	return save(p, path)
}

// seriesLines returns the lines of a metric and the label of its axis.
func seriesLines(s *scoring.Series, metric string) (lines []plotter.XYs, label string, err error) {
	switch metric {
	case "service":
		return []plotter.XYs{perSecond(s.Service)}, metric, nil
	case "asked":
		return []plotter.XYs{perSecond(s.Asked)}, metric, nil
	case "latency":
		return []plotter.XYs{perSecond(s.Latency)}, "mean ms until a call is answered", nil
	case "refused":
		return []plotter.XYs{perSecond(s.Refused)}, metric, nil
	case "fetches":
		return []plotter.XYs{perSecond(s.Fetches)}, metric, nil
	case "load":
		for cache := range s.Sent {
			lines = append(lines, perSecond(loadShares(s, cache)))
		}
		return lines, "work sent over capacity, a line a cache", nil
	case "capacity":
		for cache := range s.Capacity {
			lines = append(lines, perSecond(s.Capacity[cache]))
		}
		return lines, "capacity in standard cores, a line a cache", nil
	}
	return nil, "", fmt.Errorf(
		"there is no time series of %q: service, asked, refused, fetches, latency, load and capacity are possible", metric)
}

// addFaults marks the beginning and end of each fault with a labelled vertical line.
func addFaults(p *plot.Plot, faults []scoring.SeriesFault) error {
	for _, fault := range faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: fault.At, Y: p.Y.Min}, {X: fault.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		mark.Color, mark.Dashes = color.Gray{0x80}, []vg.Length{vg.Points(2), vg.Points(2)}
		top := plotter.XYs{{X: fault.At, Y: p.Y.Max}}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: top, Labels: []string{" " + fault.Text}})
		if err != nil {
			return err
		}
		p.Add(mark, label)
	}
	return nil
}

// loadShares returns, for each second, the work sent to a cache server divided by its capacity. The value is 0 for a second
// in which the server has no capacity.
func loadShares(s *scoring.Series, cache int) []float64 {
	shares := make([]float64, len(s.Sent[cache]))
	for i := range shares {
		if s.Capacity[cache][i] > 0 {
			shares[i] = min(maxLoadShare, s.Sent[cache][i]/s.Capacity[cache][i])
		}
	}
	return shares
}

// perSecond returns the points of a line that has one value for each second.
func perSecond[T int | float64](values []T) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i := range points {
		points[i] = plotter.XY{X: float64(i), Y: float64(values[i])}
	}
	return points
}
