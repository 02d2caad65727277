package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with the half-width of its 95% confidence interval by Student's t-distribution. The half-width is
// infinite for a single value.
type Estimate struct {
	Mean, HalfWidth float64
	N               int // number of values
}

// NewEstimate estimates the mean of the distribution from which the values are drawn.
func NewEstimate(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{math.NaN(), math.Inf(1), 0}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	e := Estimate{mean, math.Inf(1), n}
	if n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
		e.HalfWidth = t.Quantile(0.975) * deviation / math.Sqrt(float64(n))
	}
	return e
}

// Significant reports whether the confidence interval excludes 0.
func (e Estimate) Significant() bool { return math.Abs(e.Mean) > e.HalfWidth }

func (e Estimate) String() string {
	if math.IsInf(e.HalfWidth, 1) {
		return fmt.Sprintf("%.4f", e.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", e.Mean, e.HalfWidth)
}

// Row holds one figure of one policy at one point of the sweep, in two results that are compared.
type Row struct {
	Policy, Point, Figure string
	Before, After         Estimate
	Difference            Estimate // After minus Before, over pairs of runs with the same seed
}

// Compare compares the results before and after a change by pairs of runs with the same policy, point and seed. It
// returns a row for each policy, point and figure, and the number of runs that only one of the results has.
func Compare(before, after []*Record, figures []string) (rows []Row, missing int) {
	type key struct {
		policy, point string
		seed          uint64
	}
	unmatched := map[key]*Record{}
	for _, r := range before {
		unmatched[key{r.Policy, r.Point(), r.Seed}] = r
	}
	type group struct{ policy, point string }
	var order []group
	pairs := map[group][][2]*Record{}
	for _, r := range after {
		k := key{r.Policy, r.Point(), r.Seed}
		earlier := unmatched[k]
		if earlier == nil {
			missing++
			continue
		}
		delete(unmatched, k)
		g := group{r.Policy, r.Point()}
		if !slices.Contains(order, g) {
			order = append(order, g)
		}
		pairs[g] = append(pairs[g], [2]*Record{earlier, r})
	}
	for _, g := range order {
		for _, figure := range figures {
			var beforeValues, afterValues, differences []float64
			for _, p := range pairs[g] {
				a, ok := p[0].Value(figure)
				b, ok2 := p[1].Value(figure)
				if ok && ok2 {
					beforeValues, afterValues, differences = append(beforeValues, a), append(afterValues, b), append(differences, b-a)
				}
			}
			if len(differences) > 0 {
				rows = append(rows, Row{g.policy, g.point, figure,
					NewEstimate(beforeValues), NewEstimate(afterValues), NewEstimate(differences)})
			}
		}
	}
	return rows, missing + len(unmatched)
}

// WriteComparison writes rows as a table. A * marks a significant difference.
func WriteComparison(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tpoint\tfigure\tbefore\tafter\tdifference\t")
	for _, r := range rows {
		mark := ""
		if r.Difference.Significant() {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%v\t%s\n", r.Policy, r.Point, r.Figure, r.Before.Mean, r.After.Mean, r.Difference, mark)
	}
	return w.Flush()
}

// WriteSummary writes a table of the means by policy and point. A point is named by its value of the figure x, or by
// the values of all swept figures if x is not one of them.
func WriteSummary(out io.Writer, records []*Record, x string) error {
	name := func(r *Record) string {
		if v, ok := r.At[x]; ok {
			return fmt.Sprint(v)
		}
		return r.Point()
	}
	type group struct{ policy, point string }
	var order []group
	var points []string
	runs := map[group][]*Record{}
	for _, r := range records {
		g := group{r.Policy, name(r)}
		if !slices.Contains(points, g.point) {
			points = append(points, g.point)
		}
		if runs[g] == nil {
			order = append(order, g)
		}
		runs[g] = append(runs[g], r)
	}
	slices.SortStableFunc(order, func(a, b group) int { return slices.Index(points, a.point) - slices.Index(points, b.point) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "point\tpolicy\tscore\tservice\tworst 10 s\tfetches/s\tpeak\tcalls\ttries\twaste\tbroken rules\t")
	for _, g := range order {
		mean := func(figure string) float64 {
			sum := 0.0
			for _, r := range runs[g] {
				x, _ := r.Value(figure)
				sum += x
			}
			return sum / float64(len(runs[g]))
		}
		var scores []float64
		violations := map[string]int{}
		for _, r := range runs[g] {
			scores = append(scores, r.Score)
			for _, v := range r.Violations {
				violations[v.Rule]++
			}
		}
		brokenRules := ""
		for _, rule := range sortedKeys(violations) {
			brokenRules += fmt.Sprintf("%s ", rule)
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%.4f\t%.4f\t%.1f\t%.2f\t%.3f\t%.3f\t%.3f\t%s\t\n", g.point, g.policy, NewEstimate(scores),
			mean("service"), mean("worst"), mean("fetches"), mean("fetch_peak"), mean("calls"), mean("tries"), mean("waste"), brokenRules)
	}
	return w.Flush()
}

func sortedKeys(m map[string]int) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
