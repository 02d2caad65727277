package plan

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// units are the units of the language by what they measure, the base of each as 1.
var units = map[string]map[string]float64{
	"time":  {"us": 1e3, "ms": 1e6, "s": 1e9, "m": 60e9, "h": 3600e9},
	"size":  {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30},
	"part":  {"%": 0.01},
	"rate":  {"/s": 1, "/m": 1.0 / 60, "/h": 1.0 / 3600},
	"count": {"": 1},
}

var accepted = map[string]string{
	"time": "one number with us, ms, s, m or h: 40ms, 1.5s", "size": "one number with B, KB, MB or GB: 64KB",
	"part": "a percentage: 10%", "rate": "a number with /s, /m or /h: 500/s", "count": "a whole number",
}

// quantity reads a number with its unit. Where it can't, it tells the rule that is broken, what is wrong, and what
// would be accepted.
func quantity(text, kind string) (x float64, rule, wrong, accept string) {
	accept = accepted[kind]
	end := len(text)
	for i, c := range []byte(text) {
		if (c < '0' || c > '9') && c != '.' && (i > 0 || c != '-') {
			end = i
			break
		}
	}
	number, unit := text[:end], text[end:]
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.HasPrefix(number, ".") || strings.HasSuffix(number, ".") {
		return 0, "unit", fmt.Sprintf("%q is no number", text), accept
	}
	scale, fits := units[kind][unit]
	if !fits {
		for other, names := range units {
			if _, is := names[unit]; is && unit != "" {
				return 0, "unit", fmt.Sprintf("%s is a %s, and this is a %s", text, other, kind), accept
			}
		}
		if unit == "" {
			return 0, "unit", text + " has no unit", accept
		}
		return 0, "unit", fmt.Sprintf("%q is no unit", unit), accept
	}
	x *= scale
	switch {
	case x < 0:
		return 0, "range", text + " is below nothing", accept
	case kind == "part" && x > 1:
		return 0, "range", text + " is more than the whole", "0% to 100%"
	case (kind == "count" || kind == "size") && x != math.Trunc(x):
		return 0, "range", text + " is no whole number", accept
	case kind == "time" && x > 24*float64(time.Hour) || x > 1<<50:
		return 0, "range", text + " is more than makes sense", accept
	}
	return x, "", "", ""
}

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
func (c *checker) number(s *statement, kind string, least, most float64) float64 {
	if kind == "time" && len(s.values) > 1 {
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

func (c *checker) quantity(v value, name, kind string, least, most float64) float64 {
	x, rule, wrong, accept := quantity(v.text, kind)
	if wrong != "" {
		c.find(v.at, rule, name+": "+wrong, accept)
		return least
	}
	if x < least || x > most {
		c.find(v.at, "range", fmt.Sprintf("%s is %s", name, v.text), fmt.Sprintf("%s to %s", show(least, kind), show(most, kind)))
		return least
	}
	return x
}

// show writes a quantity as the language does.
func show(x float64, kind string) string {
	switch kind {
	case "time":
		return showTime(time.Duration(x))
	case "part":
		return strconv.FormatFloat(x*100, 'g', -1, 64) + "%"
	case "rate":
		return strconv.FormatFloat(x, 'g', -1, 64) + "/s"
	case "size":
		return strconv.FormatFloat(x, 'f', 0, 64) + "B"
	}
	return strconv.FormatFloat(x, 'f', 0, 64)
}

func (c *checker) noBlock(s *statement) {
	if s.braces {
		c.find(s.at, "block", s.name+" has no block", "")
	}
}

// showTime writes a time with the largest unit of which it has one.
func showTime(d time.Duration) string {
	for _, u := range []struct {
		name string
		one  time.Duration
	}{{"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}} {
		if d >= u.one && (u.name != "m" || d%u.one == 0) {
			return strconv.FormatFloat(float64(d)/float64(u.one), 'f', -1, 64) + u.name
		}
	}
	return strconv.FormatInt(int64(d/time.Microsecond), 10) + "us"
}
