package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// CalibrationMargin is by how much a mostly hollow fleet may differ from one of processes alone.
const CalibrationMargin = 0.1

// Calibration is a figure of fleets of one size, once of processes alone and once mostly hollow.
type Calibration struct {
	Size            int
	Phase, Name     string
	AllReal, Hollow float64 // means over the runs
	Runs            int     // of each
}

// Difference is that of the mostly hollow fleets, as a part of the other value.
func (c *Calibration) Difference() float64 { return c.Hollow/c.AllReal - 1 }

// Within tells whether both are the same within the margin.
func (c *Calibration) Within() bool { return math.Abs(c.Difference()) <= CalibrationMargin }

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
				a, ok := meanOf(real, phase, name)
				b, ok2 := meanOf(hollow, phase, name)
				if ok && ok2 {
					all = append(all, Calibration{size, phase, name, a, b, min(len(real), len(hollow))})
				}
			}
		}
	}
	return all
}

func meanOf(records []*Record, phase, name string) (mean float64, ok bool) {
	count := 0
	for _, r := range records {
		if value, measured := r.Value(phase, name); measured {
			mean += value
			count++
		}
	}
	return mean / float64(max(1, count)), count > 0
}

// WriteCalibration writes the comparison as a Markdown table.
func WriteCalibration(w io.Writer, all []Calibration) {
	fmt.Fprintln(w, "| routers | phase | figure | runs of each | all real | mostly hollow | difference | within 10% |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range all {
		verdict := "yes"
		if !c.Within() {
			verdict = "NO"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %s | %s | %+.1f%% | %s |\n", c.Size, c.Phase, c.Name, c.Runs, short(c.AllReal), short(c.Hollow),
			100*c.Difference(), verdict)
	}
}
