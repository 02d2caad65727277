package unit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Kind is what a quantity measures.
type Kind string

// The kinds. A time is in ns, a size in bytes (KB is 1,024 of them), a part of 1, a rate for each second.
const (
	Time  Kind = "time"
	Size  Kind = "size"
	Part  Kind = "part"
	Rate  Kind = "rate"
	Count Kind = "count"
)

// unit is one unit and how much of the base it is.
type unit struct {
	name string
	of   float64
}

// units has the smallest first.
var units = map[Kind][]unit{
	Time:  {{"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}},
	Size:  {{"B", 1}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}},
	Part:  {{"%", 0.01}},
	Rate:  {{"/h", 1.0 / 3600}, {"/m", 1.0 / 60}, {"/s", 1}},
	Count: {{"", 1}},
}

var accepted = map[Kind]string{
	Time: "one number with one of us, ms, s, m, h: 40ms, 1.5s", Size: "one number with one of B, KB, MB, GB: 64KB",
	Part: "a percentage: 10%", Rate: "a number with /s, /m or /h: 500/s", Count: "a whole number",
}

// most is the largest quantity of each kind that makes sense.
var most = map[Kind]float64{Time: float64(10000 * time.Hour), Size: 1 << 50, Part: 1, Rate: 1 << 50, Count: 1 << 50}

// Error tells why a text is no quantity of a kind.
type Error struct {
	Range  bool   // it is one, but no possible one
	Text   string // what is wrong
	Accept string // what would be accepted
}

func (e *Error) Error() string { return e.Text + "; accepted: " + e.Accept }

// Parse reads a number with one unit of a kind, in the kind's base. It is never negative. The error is an *Error.
func Parse(text string, kind Kind) (float64, error) {
	number, name := split(text)
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.HasPrefix(number, ".") || strings.HasSuffix(number, ".") {
		return 0, &Error{false, fmt.Sprintf("%q is no number", text), accepted[kind]}
	}
	of, other := 0.0, Kind("")
	for k, list := range units {
		for _, u := range list {
			if u.name == name && k == kind {
				of = u.of
			} else if u.name == name && name != "" {
				other = k
			}
		}
	}
	switch x *= of; {
	case of > 0:
	case other != "":
		return 0, &Error{false, fmt.Sprintf("%q is a %s, and a %s is meant", text, other, kind), accepted[kind]}
	case name == "":
		return 0, &Error{false, fmt.Sprintf("%q has no unit of %s", text, kind), accepted[kind]}
	default:
		return 0, &Error{false, fmt.Sprintf("%q: %q is no unit of %s", text, name, kind), accepted[kind]}
	}
	switch {
	case x < 0:
		return 0, &Error{true, fmt.Sprintf("%q is below nothing", text), accepted[kind]}
	case x > most[kind]:
		return 0, &Error{true, fmt.Sprintf("%q is more than is possible", text), "up to " + Format(most[kind], kind)}
	case kind == Time:
		x = math.Round(x)
	case (kind == Count || kind == Size) && x != math.Trunc(x):
		return 0, &Error{true, fmt.Sprintf("%q is no whole number", text), accepted[kind]}
	}
	return x, nil
}

// Format writes a quantity so that Parse reads it as the same, up to the rounding of times to ns.
func Format(x float64, kind Kind) string {
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	switch kind {
	case Time:
		return strings.ReplaceAll(Duration(x).String(), " ", "")
	case Part:
		return number(x*100) + "%"
	case Rate:
		return number(x) + "/s"
	case Size:
		return number(x) + "B"
	}
	return number(x)
}
