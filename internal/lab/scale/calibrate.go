package scale

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// CalibrationMargin is the fraction by which a mostly hollow fleet may differ from a fleet of processes alone.
const CalibrationMargin = 0.1

// Calibration compares a figure of two kinds of fleets of one size: processes alone, and mostly hollow routers.
type Calibration struct {
	Size                    int
	Phase, Name             string
	ProcessMean, HollowMean float64 // means over all repetitions of the phase
	Repetitions             int     // of the phase, for the kind of fleet with fewer of them
	HalfInterval            float64 // half of the 95% interval of Difference by Welch's t; infinite for single repetitions
}

// Difference returns the relative difference of the mostly hollow fleets from the fleets of processes.
func (c *Calibration) Difference() float64 { return c.HollowMean/c.ProcessMean - 1 }

// WithinMargin reports whether the difference is within CalibrationMargin.
func (c *Calibration) WithinMargin() bool { return math.Abs(c.Difference()) <= CalibrationMargin }

// Inconclusive reports whether a difference beyond the margin may be chance: its interval reaches into the margin.
func (c *Calibration) Inconclusive() bool {
	return !math.IsInf(c.HalfInterval, 0) && math.Abs(c.Difference())-c.HalfInterval <= CalibrationMargin
}

// calibratedFigures lists the figures in which hollow routers are compared with processes.
var calibratedFigures = []string{FigureSent, FigureReceived, FigureAgreementTime, FigureProcessor}

// Calibrate compares the runs of processes alone with the mostly hollow ones, for each size that has both.
func Calibrate(records []*Record) (all []Calibration) {
	for _, size := range distinctSizes(records) {
		var allProcesses, mostlyHollow []*Record
		for _, r := range records {
			switch {
			case r.Size != size:
			case r.ProcessesOnly():
				allProcesses = append(allProcesses, r)
			default:
				mostlyHollow = append(mostlyHollow, r)
			}
		}
		for _, phase := range distinctPhases(slices.Concat(allProcesses, mostlyHollow)) {
			for _, name := range calibratedFigures {
				a, b := figureValues(allProcesses, phase, name), figureValues(mostlyHollow, phase, name)
				if len(a) > 0 && len(b) > 0 {
					all = append(all, newCalibration(size, phase, name, a, b))
				}
			}
		}
	}
	return all
}

func newCalibration(size int, phase, name string, processValues, hollowValues []float64) Calibration {
	c := Calibration{Size: size, Phase: phase, Name: name, ProcessMean: stat.Mean(processValues, nil),
		HollowMean:  stat.Mean(hollowValues, nil),
		Repetitions: min(len(processValues), len(hollowValues)), HalfInterval: math.Inf(1)}
	if c.Repetitions < 2 {
		return c
	}
	a, b := stat.Variance(processValues, nil)/float64(len(processValues)), stat.Variance(hollowValues,
		nil)/float64(len(hollowValues))
	if a+b == 0 {
		c.HalfInterval = 0
		return c
	}
	degreesOfFreedom := (a + b) * (a + b) / (a*a/float64(len(processValues)-1) + b*b/float64(len(hollowValues)-1))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
	c.HalfInterval = t * math.Sqrt(a+b) / c.ProcessMean
	return c
}

// figureValues returns the values of a figure, one for each repetition of its phase.
func figureValues(records []*Record, phase, name string) (values []float64) {
	for _, r := range records {
		for _, f := range r.Figures {
			if f.Phase == phase && f.Name == name {
				values = append(values, f.Value)
			}
		}
	}
	return values
}

// WriteCalibration writes the comparisons as a Markdown table.
func WriteCalibration(w io.Writer, all []Calibration) {
	fmt.Fprintln(w, "| routers | phase | figure | plays of each | all real | mostly hollow | difference, 95% | within 10% |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range all {
		verdict := "yes"
		switch {
		case c.WithinMargin():
		case c.Inconclusive():
			verdict = "unsure"
		default:
			verdict = "NO"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %s | %s | %+.1f%% ± %s | %s |\n", c.Size, c.Phase, c.Name, c.Repetitions,
			formatValue(c.ProcessMean), formatValue(c.HollowMean),
			100*c.Difference(), formatHalfInterval(100*c.HalfInterval), verdict)
	}
}
