package unit

import (
	"strings"
	"time"
)

// Kind is the dimension of a quantity.
type Kind string

// The kinds and their base units: a Time in ns, a Size in bytes (1 KB is 1,024 bytes), a Fraction of 1, a Rate per
// second, and a Count.
const (
	Time     Kind = "time"
	Size     Kind = "size"
	Fraction Kind = "part"
	Rate     Kind = "rate"
	Count    Kind = "count"
)

// unit is one unit. Its size in base units is exactly numerator / denominator.
type unit struct {
	name                   string
	numerator, denominator int64
}

// units lists the units of each kind, the smallest first.
var units = map[Kind][]unit{
	Time:     {{"us", 1e3, 1}, {"ms", 1e6, 1}, {"s", 1e9, 1}, {"m", 60e9, 1}, {"h", 3600e9, 1}},
	Size:     {{"B", 1, 1}, {"KB", 1 << 10, 1}, {"MB", 1 << 20, 1}, {"GB", 1 << 30, 1}},
	Fraction: {{"%", 1, 100}},
	Rate:     {{"/h", 1, 3600}, {"/m", 1, 60}, {"/s", 1, 1}},
	Count:    {{"", 1, 1}},
}

// accepted describes the accepted form for each kind.
var accepted = map[Kind]string{
	Time: "one number with one of us, ms, s, m, h: 40ms, 1.5s", Size: "one number with one of B, KB, MB, GB: 64KB",
	Fraction: "a percentage: 10%", Rate: "a number with /s, /m or /h: 500/s", Count: "a whole number",
}

// maxQuantity is the largest valid quantity of each kind, in base units.
var maxQuantity = map[Kind]int64{Time: int64(10000 * time.Hour), Size: 1 << 50, Fraction: 1, Rate: 1 << 50, Count: 1 << 50}

// Error describes why a text is not a valid quantity of a kind.
type Error struct {
	OutOfRange bool   // the text is a quantity of the kind, but out of range or too precise
	Text       string // description of the fault
	Accept     string // description of what is accepted
}

func (e *Error) Error() string { return e.Text + "; accepted: " + e.Accept }

// Parse parses a number with one unit of a kind and returns it in the kind's base unit. The result is never negative.
// It is the float64 nearest to the text, and exact for sizes, counts, and times up to 2^53 ns. A text with more
// digits than the base unit preserves is refused. The error is an *Error.
func Parse(text string, kind Kind) (float64, error) {
	x, err := parseExact(text, kind)
	if err != nil {
		return 0, err
	}
	nearest, _ := x.Float64()
	return nearest, nil
}

// Format writes a quantity so that Parse returns the same value. A time is written with a precision of 1 ns.
func Format(x float64, kind Kind) string {
	switch kind {
	case Time:
		return strings.ReplaceAll(Duration(x).String(), " ", "")
	case Fraction:
		return formatShifted(x, 2) + "%"
	case Rate:
		return formatShifted(x, 0) + "/s"
	case Size:
		return formatShifted(x, 0) + "B"
	}
	return formatShifted(x, 0)
}
