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

// Estimate is a mean and the half-width of its 95% confidence interval, by
// Student's t. With one value nothing is known of the width: it is infinite.
type Estimate struct {
	Mean, Half float64
	N          int
}

// NewEstimate estimates the mean of what values are drawn from.
func NewEstimate(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{math.NaN(), math.Inf(1), 0}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	e := Estimate{mean, math.Inf(1), n}
	if n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
		e.Half = t.Quantile(0.975) * deviation / math.Sqrt(float64(n))
	}
	return e
}

// Sure tells that the mean is not 0.
func (e Estimate) Sure() bool { return math.Abs(e.Mean) > e.Half }

func (e Estimate) String() string {
	if math.IsInf(e.Half, 1) {
		return fmt.Sprintf("%.4f", e.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", e.Mean, e.Half)
}

// Row is how one policy differs at one point.
type Row struct {
	Policy, Point, Figure string
	A, B                  Estimate
	Difference            Estimate // B less A, of runs from the same seed
}

// Compare sets two results against each other, run by run of the same policy, point and seed.
// What only one of them has is counted in missing.
func Compare(a, b []*Record, figures []string) (rows []Row, missing int) {
	type key struct {
		policy, point string
		seed          uint64
	}
	before := map[key]*Record{}
	for _, r := range a {
		before[key{r.Policy, r.Point(), r.Seed}] = r
	}
	type group struct{ policy, point string }
	var order []group
	pairs := map[group][][2]*Record{}
	for _, r := range b {
		k := key{r.Policy, r.Point(), r.Seed}
		was := before[k]
		if was == nil {
			missing++
			continue
		}
		delete(before, k)
		g := group{r.Policy, r.Point()}
		if !slices.Contains(order, g) {
			order = append(order, g)
		}
		pairs[g] = append(pairs[g], [2]*Record{was, r})
	}
	for _, g := range order {
		for _, figure := range figures {
			var x, y, d []float64
			for _, p := range pairs[g] {
				was, ok := p[0].Value(figure)
				is, ok2 := p[1].Value(figure)
				if ok && ok2 {
					x, y, d = append(x, was), append(y, is), append(d, is-was)
				}
			}
			if len(d) > 0 {
				rows = append(rows, Row{g.policy, g.point, figure, NewEstimate(x), NewEstimate(y), NewEstimate(d)})
			}
		}
	}
	return rows, missing + len(before)
}

// WriteComparison writes rows as a table. What is sure to differ is marked.
func WriteComparison(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tpoint\tfigure\tbefore\tafter\tdifference\t")
	for _, r := range rows {
		mark := ""
		if r.Difference.Sure() {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%v\t%s\n", r.Policy, r.Point, r.Figure, r.A.Mean, r.B.Mean, r.Difference, mark)
	}
	return w.Flush()
}

// WriteSummary writes a table of the means by policy and point. Points are named by the figure x, or if
// that is empty by all that was swept.
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
		broken := map[string]int{}
		for _, r := range runs[g] {
			scores = append(scores, r.Score)
			for _, v := range r.Violations {
				broken[v.Rule]++
			}
		}
		text := ""
		for _, rule := range sortedKeys(broken) {
			text += fmt.Sprintf("%s ", rule)
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%.4f\t%.4f\t%.1f\t%.2f\t%.3f\t%.3f\t%.3f\t%s\t\n", g.point, g.policy, NewEstimate(scores),
			mean("service"), mean("worst"), mean("fetches"), mean("fetch_peak"), mean("calls"), mean("tries"), mean("waste"), text)
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
