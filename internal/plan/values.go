package plan

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"hoptiller/internal/unit"
)

// singleValue returns the only value of a statement. The result is false if there is not exactly one value, or if it
// is the placeholder for a missing value.
func (c *checker) singleValue(s *statement) (value, bool) {
	c.rejectBlock(s)
	if len(s.values) == 1 {
		return s.values[0], s.values[0].text != "" || s.values[0].quoted
	}
	if len(s.values) > 1 {
		c.addFinding(s.values[1].loc, "values", fmt.Sprintf("%s takes one value, and %q is another one", s.name, s.values[1].text), "")
	} else {
		c.addFinding(s.loc, "values", s.name+" has no value", "")
	}
	return value{}, false
}

// singleQuantity returns the only value of a statement as a quantity from minimum to maximum, in base units. It
// returns minimum for an invalid one.
func (c *checker) singleQuantity(s *statement, kind unit.Kind, minimum, maximum float64) float64 {
	if kind == unit.Time && len(s.values) > 1 {
		var parts []string
		for _, v := range s.values {
			parts = append(parts, v.text)
		}
		all := strings.Join(parts, " ")
		c.addFinding(s.values[1].loc, "unit",
			fmt.Sprintf("%q could mean more than one time: each part but one lacks a unit, or they are to be added", all),
			"one number with one unit, such as 1500ms or 1.5s")
		return minimum
	}
	v, ok := c.singleValue(s)
	if !ok {
		return minimum
	}
	return c.parseQuantity(v, s.name, kind, minimum, maximum)
}

func (c *checker) parseQuantity(v value, name string, kind unit.Kind, minimum, maximum float64) float64 {
	x, err := unit.Parse(v.text, kind)
	if invalid := (*unit.Error)(nil); errors.As(err, &invalid) {
		rule := "unit"
		if invalid.OutOfRange {
			rule = "range"
		}
		c.addFinding(v.loc, rule, name+": "+invalid.Text, invalid.Accept)
		return minimum
	}
	if x < minimum || x > maximum {
		c.addFinding(v.loc, "range", fmt.Sprintf("%s is %s", name, v.text),
			fmt.Sprintf("%s to %s", unit.Format(minimum, kind), unit.Format(maximum, kind)))
		return minimum
	}
	return x
}

func (c *checker) rejectBlock(s *statement) {
	if s.hasBlock {
		c.addFinding(s.loc, "block", s.name+" has no block", "")
	}
}

// formatTime writes a duration as the language does.
func formatTime(d time.Duration) string { return unit.Format(float64(d), unit.Time) }
