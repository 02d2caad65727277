package scale

import (
	"slices"

	"gonum.org/v1/gonum/stat"

	"hoptiller/internal/lab/plot"
)

// Plot draws the bytes per second that a router sends over the size of the fleet: a line for each phase with the mean over the
// seeds, and a line for the budget.
func Plot(records []*Record, path string) error {
	all := distinctSizes(records)
	var curves []plot.Curve
	for _, phase := range distinctPhases(records) {
		curve := plot.Curve{Name: phase}
		for _, size := range all {
			at := slices.DeleteFunc(slices.Clone(records), func(r *Record) bool { return r.Size != size })
			if values := figureValues(at, phase, FigureSent); len(values) > 0 {
				curve.X, curve.Y = append(curve.X, float64(size)), append(curve.Y, stat.Mean(values, nil))
			}
		}
		if len(curve.X) > 0 {
			curves = append(curves, curve)
		}
	}
	budget := plot.Curve{Name: "budget"}
	for _, size := range all {
		budget.X, budget.Y = append(budget.X, float64(size)), append(budget.Y, BudgetSent)
	}
	return plot.Curves("What the control of a router sends", "routers", "bytes a second", append(curves, budget), path)
}
