package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// The operators' budget for the control of a router, and the size for which slopes are told.
const (
	BudgetProcessor = 2.4    // % of a core
	BudgetMemory    = 128.0  // MB
	BudgetSent      = 6000.0 // B/s
	targetSize      = 650.0
)

// budgets are the figures that a budget bounds.
var budgets = []struct {
	name, unit string
	most       float64
}{
	{FigureProcessor, UnitCore, BudgetProcessor},
	{FigureMemory, UnitMegabytes, BudgetMemory},
	{FigureSent, UnitBytes, BudgetSent},
}

// tableFigures are the columns of the table.
var tableFigures = []struct{ name, title string }{
	{FigureAgreed, "agreed s"}, {FigureProcessor, "processor %"}, {FigurePeakProcessor, "peak %"}, {FigureMemory, "memory MB"},
	{FigureSent, "sent B/s"}, {FigurePeakSent, "peak B/s"}, {FigureReceived, "received B/s"}, {FigureSentDatagrams, "sent 1/s"},
	{FigureThreads, "threads"}, {FigureConnections, "sockets"}, {FigureDiscoveryCalls, "discovery calls"},
}

// WriteTable writes the records of mostly hollow fleets as a Markdown table, a row for each size and phase with the mean over the
// runs that count, and then tells of each run that the machine was too busy for, or that has failed phases.
func WriteTable(w io.Writer, records []*Record) {
	titles := []string{"routers", "runs", "phase"}
	for _, f := range tableFigures {
		titles = append(titles, f.title)
	}
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(titles, " | "), strings.Repeat(" --- |", len(titles)))
	for _, size := range sizes(records) {
		at := Counted(slices.DeleteFunc(slices.Clone(records), func(r *Record) bool { return r.Size != size }))
		runs := fmt.Sprint(len(at))
		if at[0].Strain.Busy {
			runs += " (busy)"
		}
		for _, phase := range phases(at) {
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
		if r.Strain.Busy {
			fmt.Fprintf(w, "\n%s: the machine was too busy (load %.1f to %.1f on %d cores, a timer was %.0f ms late): its figures don't count\n",
				r.Name(), r.Strain.LoadBefore, r.Strain.LoadAfter, r.Strain.Cores, r.Strain.StallMS)
		}
	}
}

// Counted are the records whose figures count: those of a machine that was not too busy, or all where there are no such.
func Counted(records []*Record) []*Record {
	quiet := slices.DeleteFunc(slices.Clone(records), func(r *Record) bool { return r.Strain.Busy })
	if len(quiet) == 0 {
		return records
	}
	return quiet
}

// Name tells which run a record is of.
func (r *Record) Name() string {
	return fmt.Sprintf("%s, %d routers, %d real, seed %d", r.Scenario, r.Size, r.Real, r.Seed)
}

func sizes(records []*Record) (all []int) {
	for _, r := range records {
		if !slices.Contains(all, r.Size) {
			all = append(all, r.Size)
		}
	}
	slices.Sort(all)
	return all
}

// meanText is the mean of a figure over records, or a dash where none has it.
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
	return short(sum / float64(count))
}

// short writes a value with three digits.
func short(value float64) string {
	switch size := math.Abs(value); {
	case size >= 100 || value == 0:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.2f", value)
}

// WriteSlopes writes for each phase how the figures grow with the size, for those that were measured at three sizes at least.
func WriteSlopes(w io.Writer, records []*Record) {
	if len(sizes(records)) < leastSizes {
		return
	}
	fmt.Fprintf(w, "| phase | figure | runs | at 0 | per 100 routers, 95%% | deviation | at %.0f by the line, 95%% |\n", targetSize)
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, phase := range phases(records) {
		for _, name := range []string{FigureAgreed, FigureProcessor, FigureMemory, FigureSent, FigureDiscoveryCalls} {
			s, ok := slopeOf(records, phase, name)
			if !ok {
				continue
			}
			value, half := s.Predict(targetSize)
			fmt.Fprintf(w, "| %s | %s | %d | %s | %s ± %s | %s | %s ± %s |\n", phase, name, s.Points, short(s.At),
				short(100*s.Per), interval(100*s.PerHalf), interval(s.Deviation), short(value), interval(half))
		}
	}
	fmt.Fprintln(w)
}

// interval writes half of an interval, or that there is none.
func interval(half float64) string {
	if math.IsInf(half, 0) || math.IsNaN(half) {
		return "?"
	}
	return short(half)
}

// WriteCounted tells how many of the records count for slopes and the budget.
func WriteCounted(w io.Writer, records []*Record) {
	counted := Counted(records)
	if counted[0].Strain.Busy {
		fmt.Fprintf(w, "Slopes and budget are trials: the machine was too busy for all of %d runs.\n\n", len(records))
		return
	}
	fmt.Fprintf(w, "Slopes and budget are of %d of %d runs; the machine was too busy for the others.\n\n", len(counted), len(records))
}

// worstOf is the worst of a figure in all records, and the size at which it was measured.
func worstOf(records []*Record, phase, name string) (worst float64, size int) {
	for _, r := range records {
		if value, ok := r.Worst(phase, name); ok && value > worst {
			worst, size = value, r.Size
		}
	}
	return worst, size
}

// WriteBudget tells for each phase whether the control budget held, by the worst process of the worst run in the mean over the
// phase, and gives the number of phases where it did not. The worst seconds are named beside it.
func WriteBudget(w io.Writer, records []*Record) (exceeded int) {
	for _, phase := range phases(records) {
		verdict, parts := "held", []string{}
		for _, b := range budgets {
			worst, at := worstOf(records, phase, b.name)
			if worst > b.most {
				verdict = "EXCEEDED"
			}
			parts = append(parts, fmt.Sprintf("%s %s of %s %s (at %d)", b.name, short(worst), short(b.most), b.unit, at))
		}
		if verdict != "held" {
			exceeded++
		}
		for _, name := range []string{FigurePeakProcessor, FigurePeakSent} {
			worst, at := worstOf(records, phase, name)
			parts = append(parts, fmt.Sprintf("%s %s (at %d)", name, short(worst), at))
		}
		fmt.Fprintf(w, "budget %-8s %-10s worst: %s\n", verdict, phase, strings.Join(parts, ", "))
	}
	return exceeded
}
