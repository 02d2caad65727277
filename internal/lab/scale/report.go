package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// The operators' budget for the control of a router, and the fleet size for which slopes predict figures.
const (
	BudgetProcessor = 2.4    // % of a core
	BudgetMemory    = 128.0  // MB
	BudgetSent      = 6000.0 // B/s
	targetSize      = 650.0
)

// budgets lists the figures that the budget limits.
var budgets = []struct {
	name, unit string
	limit      float64
}{
	{FigureProcessor, UnitCore, BudgetProcessor},
	{FigureMemory, UnitMegabytes, BudgetMemory},
	{FigureSent, UnitBytes, BudgetSent},
}

// tableFigures lists the figures that are columns of the table.
var tableFigures = []struct{ name, title string }{
	{FigureAgreementTime, "agreed s"}, {FigureProcessor, "processor %"}, {FigurePeakProcessor, "peak %"}, {FigureMemory,
		"memory MB"},
	{FigureSent, "sent B/s"}, {FigurePeakSent, "peak B/s"}, {FigureReceived, "received B/s"}, {FigureSentDatagrams, "sent 1/s"},
	{FigureThreads, "threads"}, {FigureConnections, "sockets"}, {FigureDiscoveryCalls, "discovery calls"},
}

// WriteTable writes the records of mostly hollow fleets as a Markdown table, with a row for each size and phase that has the
// means over the runs that count. Below it lists the failed phases, and the runs for which the machine was too busy.
func WriteTable(w io.Writer, records []*Record) {
	titles := []string{"routers", "runs", "phase"}
	for _, f := range tableFigures {
		titles = append(titles, f.title)
	}
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(titles, " | "), strings.Repeat(" --- |", len(titles)))
	for _, size := range distinctSizes(records) {
		at := Counted(slices.DeleteFunc(slices.Clone(records), func(r *Record) bool { return r.Size != size }))
		runs := fmt.Sprint(len(at))
		if at[0].MachineLoad.Busy {
			runs += " (busy)"
		}
		for _, phase := range distinctPhases(at) {
			row := []string{fmt.Sprint(size), runs, phase}
			for _, f := range tableFigures {
				row = append(row, meanText(at, phase, f.name))
			}
			fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
		}
	}
	for _, r := range records {
		for _, what := range r.Failed {
			fmt.Fprintf(w, "\n%s: FAILED %s\n", r.Name(), what)
		}
		if r.MachineLoad.Busy {
			fmt.Fprintf(w, "\n%s: the machine was too busy (load %.1f to %.1f on %d cores, a timer was %.0f ms late): its figures don't count\n",
				r.Name(), r.MachineLoad.LoadBefore, r.MachineLoad.LoadAfter, r.MachineLoad.Cores, r.MachineLoad.MaxTimerDelayMS)
		}
	}
}

// Counted returns the records whose figures count: those of runs on a machine that was not too busy, or all if there are none.
func Counted(records []*Record) []*Record {
	quiet := slices.DeleteFunc(slices.Clone(records), func(r *Record) bool { return r.MachineLoad.Busy })
	if len(quiet) == 0 {
		return records
	}
	return quiet
}

// Name describes the run of a record.
func (r *Record) Name() string {
	return fmt.Sprintf("%s, %d routers, %d real, seed %d", r.Scenario, r.Size, r.Processes, r.Seed)
}

func distinctSizes(records []*Record) (all []int) {
	for _, r := range records {
		if !slices.Contains(all, r.Size) {
			all = append(all, r.Size)
		}
	}
	slices.Sort(all)
	return all
}

// meanText formats the mean of a figure over the records, or returns a dash if none has the figure.
func meanText(records []*Record, phase, name string) string {
	sum, count := 0.0, 0
	for _, r := range records {
		if value, ok := r.Value(phase, name); ok {
			sum += value
			count++
		}
	}
	if count == 0 {
		return "-"
	}
	return formatValue(sum / float64(count))
}

// formatValue formats a value with about three digits.
func formatValue(value float64) string {
	switch size := math.Abs(value); {
	case size >= 100 || value == 0:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.2f", value)
}

// WriteSlopes writes a Markdown table of how the figures of each phase grow with the size of the fleet, for figures that were
// measured at three sizes at least.
func WriteSlopes(w io.Writer, records []*Record) {
	if len(distinctSizes(records)) < minSlopeSizes {
		return
	}
	fmt.Fprintf(w, "| phase | figure | runs | at 0 | per 100 routers, 95%% | deviation | at %.0f by the line, 95%% |\n", targetSize)
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, phase := range distinctPhases(records) {
		for _, name := range []string{FigureAgreementTime, FigureProcessor, FigureMemory, FigureSent, FigureDiscoveryCalls} {
			s, ok := fitSlope(records, phase, name)
			if !ok {
				continue
			}
			value, half := s.Predict(targetSize)
			fmt.Fprintf(w, "| %s | %s | %d | %s | %s ± %s | %s | %s ± %s |\n", phase, name, s.Points, formatValue(s.Intercept),
				formatValue(100*s.PerRouter), formatHalfInterval(100*s.PerRouterHalfInterval), formatHalfInterval(s.Deviation),
				formatValue(value), formatHalfInterval(half))
		}
	}
	fmt.Fprintln(w)
}

// formatHalfInterval formats half of an interval, or returns a question mark if there is none.
func formatHalfInterval(half float64) string {
	if math.IsInf(half, 0) || math.IsNaN(half) {
		return "?"
	}
	return formatValue(half)
}

// WriteCounted writes how many of the records count for slopes and the budget.
func WriteCounted(w io.Writer, records []*Record) {
	counted := Counted(records)
	if counted[0].MachineLoad.Busy {
		fmt.Fprintf(w, "Slopes and budget are trials: the machine was too busy for all of %d runs.\n\n", len(records))
		return
	}
	fmt.Fprintf(w, "Slopes and budget are of %d of %d runs; the machine was too busy for the others.\n\n", len(counted),
		len(records))
}

// worstValue returns the worst value of a figure in all records, and the fleet size at which it was measured.
func worstValue(records []*Record, phase, name string) (worst float64, size int) {
	for _, r := range records {
		if value, ok := r.Worst(phase, name); ok && value > worst {
			worst, size = value, r.Size
		}
	}
	return worst, size
}

// WriteBudget writes for each phase whether the budget was kept and returns the number of phases in which it was exceeded. The
// worst process of the worst run counts, with its mean over the phase. The peak figures of the worst second are written beside.
func WriteBudget(w io.Writer, records []*Record) (exceeded int) {
	for _, phase := range distinctPhases(records) {
		verdict, parts := "held", []string{}
		for _, b := range budgets {
			worst, at := worstValue(records, phase, b.name)
			if worst > b.limit {
				verdict = "EXCEEDED"
			}
			parts = append(parts, fmt.Sprintf("%s %s of %s %s (at %d)", b.name, formatValue(worst), formatValue(b.limit), b.unit, at))
		}
		if verdict != "held" {
			exceeded++
		}
		for _, name := range []string{FigurePeakProcessor, FigurePeakSent} {
			worst, at := worstValue(records, phase, name)
			parts = append(parts, fmt.Sprintf("%s %s (at %d)", name, formatValue(worst), at))
		}
		fmt.Fprintf(w, "budget %-8s %-10s worst: %s\n", verdict, phase, strings.Join(parts, ", "))
	}
	return exceeded
}
