package scale

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// CalibrationMargin is by how much a mostly hollow fleet may differ from one of processes alone.
const CalibrationMargin = 0.1

// Calibration is a figure of fleets of one size, once of processes alone and once mostly hollow.
type Calibration struct {
	Size            int
	Phase, Name     string
	AllReal, Hollow float64 // means over the times that the phase was played
	Plays           int     // in the fewer of the two
	Half            float64 // of the 95% interval of Difference by Welch's t; infinite for single plays
}

// Difference is that of the mostly hollow fleets, as a part of the other value.
func (c *Calibration) Difference() float64 { return c.Hollow/c.AllReal - 1 }

// Within tells whether both are the same within the margin.
func (c *Calibration) Within() bool { return math.Abs(c.Difference()) <= CalibrationMargin }

// Chance tells whether a difference beyond the margin can be chance: its interval reaches into the margin.
func (c *Calibration) Chance() bool {
	return !math.IsInf(c.Half, 0) && math.Abs(c.Difference())-c.Half <= CalibrationMargin
}

// calibrated are the figures by which hollow routers are held against real ones.
var calibrated = []string{FigureSent, FigureReceived, FigureAgreed, FigureProcessor}

// Calibrate compares the runs of processes alone with the others, for each size that has both.
func Calibrate(records []*Record) (all []Calibration) {
	for _, size := range sizes(records) {
		var real, hollow []*Record
		for _, r := range records {
			switch {
			case r.Size != size:
			case r.AllReal():
				real = append(real, r)
			default:
				hollow = append(hollow, r)
			}
		}
		for _, phase := range phases(slices.Concat(real, hollow)) {
			for _, name := range calibrated {
				a, b := plays(real, phase, name), plays(hollow, phase, name)
				if len(a) > 0 && len(b) > 0 {
					all = append(all, newCalibration(size, phase, name, a, b))
				}
			}
		}
	}
	return all
}

func newCalibration(size int, phase, name string, real, hollow []float64) Calibration {
	c := Calibration{Size: size, Phase: phase, Name: name, AllReal: stat.Mean(real, nil), Hollow: stat.Mean(hollow, nil),
		Plays: min(len(real), len(hollow)), Half: math.Inf(1)}
	if c.Plays < 2 {
		return c
	}
	a, b := stat.Variance(real, nil)/float64(len(real)), stat.Variance(hollow, nil)/float64(len(hollow))
	if a+b == 0 {
		c.Half = 0
		return c
	}
	freedom := (a + b) * (a + b) / (a*a/float64(len(real)-1) + b*b/float64(len(hollow)-1))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.975)
	c.Half = t * math.Sqrt(a+b) / c.AllReal
	return c
}

// plays are the values of a figure, one for each time that its phase was played.
func plays(records []*Record, phase, name string) (values []float64) {
	for _, r := range records {
		for _, f := range r.Figures {
			if f.Phase == phase && f.Name == name {
				values = append(values, f.Value)
			}
		}
	}
	return values
}

// WriteCalibration writes the comparison as a Markdown table.
func WriteCalibration(w io.Writer, all []Calibration) {
	fmt.Fprintln(w, "| routers | phase | figure | plays of each | all real | mostly hollow | difference, 95% | within 10% |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range all {
		verdict := "yes"
		switch {
		case c.Within():
		case c.Chance():
			verdict = "unsure"
		default:
			verdict = "NO"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %s | %s | %+.1f%% ± %s | %s |\n", c.Size, c.Phase, c.Name, c.Plays, short(c.AllReal), short(c.Hollow),
			100*c.Difference(), interval(100*c.Half), verdict)
	}
}
