package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTable writes the means of the figure y as a Markdown table, with a row for each value of the swept figure x and
// a column for each policy. The highest mean of a row is in bold. A + marks a cell with a run that violated an invariant.
func WriteTable(out io.Writer, records []*Record, x, y string) error {
	type cell struct{ row, policy string }
	var rows, policies []string
	values, violated := map[cell][]float64{}, map[cell]bool{}
	for _, r := range records {
		v, ok := r.Value(y)
		if !ok {
			return fmt.Errorf("the results have no number %q", y)
		}
		name := r.Point()
		if value, ok := r.At[x]; ok {
			name = fmt.Sprint(value)
		}
		if !slices.Contains(rows, name) {
			rows = append(rows, name)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
		c := cell{name, r.Policy}
		values[c] = append(values[c], v)
		violated[c] = violated[c] || r.ViolationCount > 0
	}
	fmt.Fprintf(out, "| %s | %s |\n|%s\n", x, strings.Join(policies, " | "), strings.Repeat(" --- |", len(policies)+1))
	for _, row := range rows {
		best := 0.0
		for _, p := range policies {
			best = max(best, NewEstimate(values[cell{row, p}]).Mean)
		}
		line := "| " + row
		for _, p := range policies {
			c := cell{row, p}
			text := "-"
			if len(values[c]) > 0 {
				mean := NewEstimate(values[c]).Mean
				if text = fmt.Sprintf("%.3f", mean); mean == best {
					text = "**" + text + "**"
				}
			}
			if violated[c] {
				text += " +"
			}
			line += " | " + text
		}
		if _, err := fmt.Fprintln(out, line+" |"); err != nil {
			return err
		}
	}
	return nil
}
