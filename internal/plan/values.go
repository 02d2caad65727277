package plan

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"hoptiller/internal/unit"
)

// one takes the only value of a statement.
func (c *checker) one(s *statement) (value, bool) {
	c.noBlock(s)
	if len(s.values) == 1 {
		return s.values[0], s.values[0].text != "" || s.values[0].quoted
	}
	if len(s.values) > 1 {
		c.find(s.values[1].at, "values", fmt.Sprintf("%s takes one value, and %q is another one", s.name, s.values[1].text), "")
	} else {
		c.find(s.at, "values", s.name+" has no value", "")
	}
	return value{}, false
}

// number takes the only value of a statement as a quantity from least to most, in base units.
func (c *checker) number(s *statement, kind unit.Kind, least, most float64) float64 {
	if kind == unit.Time && len(s.values) > 1 {
		var parts []string
		for _, v := range s.values {
			parts = append(parts, v.text)
		}
		all := strings.Join(parts, " ")
		c.find(s.values[1].at, "unit", fmt.Sprintf("%q could mean more than one time: each part but one lacks a unit, or they are to be added", all),
			"one number with one unit, such as 1500ms or 1.5s")
		return least
	}
	v, ok := c.one(s)
	if !ok {
		return least
	}
	return c.quantity(v, s.name, kind, least, most)
}

func (c *checker) quantity(v value, name string, kind unit.Kind, least, most float64) float64 {
	x, err := unit.Parse(v.text, kind)
	if wrong := (*unit.Error)(nil); errors.As(err, &wrong) {
		rule := "unit"
		if wrong.Range {
			rule = "range"
		}
		c.find(v.at, rule, name+": "+wrong.Text, wrong.Accept)
		return least
	}
	if x < least || x > most {
		c.find(v.at, "range", fmt.Sprintf("%s is %s", name, v.text), fmt.Sprintf("%s to %s", unit.Format(least, kind), unit.Format(most, kind)))
		return least
	}
	return x
}

func (c *checker) noBlock(s *statement) {
	if s.braces {
		c.find(s.at, "block", s.name+" has no block", "")
	}
}

// showTime writes a time as the language does.
func showTime(d time.Duration) string { return unit.Format(float64(d), unit.Time) }
