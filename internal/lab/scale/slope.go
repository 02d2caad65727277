package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Slope is a straight line through what was measured at several sizes, by least squares.
type Slope struct {
	Points    int
	At        float64 // value at no routers
	Per       float64 // and for each router
	PerHalf   float64 // half of the 95% interval of Per; infinite for less than three points
	Deviation float64 // of the residuals, with two degrees of freedom taken

	meanSize, spread float64 // of the sizes: mean, and sum of squared distances from it
}

// NewSlope fits a line. There must be two sizes at least.
func NewSlope(sizes, values []float64) Slope {
	s := Slope{Points: len(sizes), PerHalf: math.Inf(1), Deviation: math.NaN()}
	s.At, s.Per = stat.LinearRegression(sizes, values, nil, false)
	s.meanSize = stat.Mean(sizes, nil)
	squares := 0.0
	for i, size := range sizes {
		s.spread += (size - s.meanSize) * (size - s.meanSize)
		residual := values[i] - s.At - s.Per*size
		squares += residual * residual
	}
	if s.Points > 2 {
		s.Deviation = math.Sqrt(squares / float64(s.Points-2))
		s.PerHalf = s.quantile() * s.Deviation / math.Sqrt(s.spread)
	}
	return s
}

func (s Slope) quantile() float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(s.Points - 2)}.Quantile(0.975)
}

// Predict is the line's value at a size, and half of the 95% interval of a single run there.
func (s Slope) Predict(size float64) (value, half float64) {
	value = s.At + s.Per*size
	if s.Points <= 2 {
		return value, math.Inf(1)
	}
	distance := size - s.meanSize
	return value, s.quantile() * s.Deviation * math.Sqrt(1+1/float64(s.Points)+distance*distance/s.spread)
}

// leastSizes is the number of sizes from which a slope is told: through two a line goes in any case.
const leastSizes = 3

// slopeOf fits a figure of one phase over the sizes of the records.
func slopeOf(records []*Record, phase, name string) (s Slope, ok bool) {
	var sizes, values []float64
	distinct := map[int]bool{}
	for _, r := range records {
		if value, measured := r.Value(phase, name); measured {
			sizes, values = append(sizes, float64(r.Size)), append(values, value)
			distinct[r.Size] = true
		}
	}
	if len(distinct) < leastSizes {
		return s, false
	}
	return NewSlope(sizes, values), true
}
