package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Slope is a straight line through the values of a figure at several fleet sizes, fitted by least squares.
type Slope struct {
	Points                int
	Intercept             float64 // value of the line at 0 routers
	PerRouter             float64 // increase for each router
	PerRouterHalfInterval float64 // half of the 95% interval of PerRouter; infinite for fewer than three points
	Deviation             float64 // standard deviation of the residuals, with two degrees of freedom subtracted

	meanSize, sizeSquares float64 // mean of the sizes, and sum of their squared distances from it
}

// NewSlope fits a line through the values at the sizes. There must be at least two different sizes.
func NewSlope(sizes, values []float64) Slope {
	s := Slope{Points: len(sizes), PerRouterHalfInterval: math.Inf(1), Deviation: math.NaN()}
	s.Intercept, s.PerRouter = stat.LinearRegression(sizes, values, nil, false)
	s.meanSize = stat.Mean(sizes, nil)
	squares := 0.0
	for i, size := range sizes {
		s.sizeSquares += (size - s.meanSize) * (size - s.meanSize)
		residual := values[i] - s.Intercept - s.PerRouter*size
		squares += residual * residual
	}
	if s.Points > 2 {
		s.Deviation = math.Sqrt(squares / float64(s.Points-2))
		s.PerRouterHalfInterval = s.tQuantile() * s.Deviation / math.Sqrt(s.sizeSquares)
	}
	return s
}

func (s Slope) tQuantile() float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(s.Points - 2)}.Quantile(0.975)
}

// Predict returns the line's value at a size, and half of the 95% interval of a single run at this size.
func (s Slope) Predict(size float64) (value, half float64) {
	value = s.Intercept + s.PerRouter*size
	if s.Points <= 2 {
		return value, math.Inf(1)
	}
	distance := size - s.meanSize
	return value, s.tQuantile() * s.Deviation * math.Sqrt(1+1/float64(s.Points)+distance*distance/s.sizeSquares)
}

// minSlopeSizes is the smallest number of sizes for which a slope is reported. A line fits any two points exactly.
const minSlopeSizes = 3

// fitSlope fits a line through a figure of one phase. It returns false if the records have too few sizes.
func fitSlope(records []*Record, phase, name string) (s Slope, ok bool) {
	var sizes, values []float64
	distinct := map[int]bool{}
	for _, r := range records {
		if value, measured := r.Value(phase, name); measured {
			sizes, values = append(sizes, float64(r.Size)), append(values, value)
			distinct[r.Size] = true
		}
	}
	if len(distinct) < minSlopeSizes {
		return s, false
	}
	return NewSlope(sizes, values), true
}
