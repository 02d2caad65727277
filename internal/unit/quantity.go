package unit

import (
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

// unit is one unit and how much of the base it is: of / over, exactly.
type unit struct {
	name     string
	of, over int64
}

// units has the smallest first.
var units = map[Kind][]unit{
	Time:  {{"us", 1e3, 1}, {"ms", 1e6, 1}, {"s", 1e9, 1}, {"m", 60e9, 1}, {"h", 3600e9, 1}},
	Size:  {{"B", 1, 1}, {"KB", 1 << 10, 1}, {"MB", 1 << 20, 1}, {"GB", 1 << 30, 1}},
	Part:  {{"%", 1, 100}},
	Rate:  {{"/h", 1, 3600}, {"/m", 1, 60}, {"/s", 1, 1}},
	Count: {{"", 1, 1}},
}

var accepted = map[Kind]string{
	Time: "one number with one of us, ms, s, m, h: 40ms, 1.5s", Size: "one number with one of B, KB, MB, GB: 64KB",
	Part: "a percentage: 10%", Rate: "a number with /s, /m or /h: 500/s", Count: "a whole number",
}

// most is the largest quantity of each kind that makes sense.
var most = map[Kind]int64{Time: int64(10000 * time.Hour), Size: 1 << 50, Part: 1, Rate: 1 << 50, Count: 1 << 50}

// Error tells why a text is no quantity of a kind.
type Error struct {
	Range  bool   // it is one, but no possible one
	Text   string // what is wrong
	Accept string // what would be accepted
}

func (e *Error) Error() string { return e.Text + "; accepted: " + e.Accept }

// Parse reads a number with one unit of a kind, in the kind's base. It is never negative, and the float64 nearest to
// what the text says: the very same for sizes, counts, and times up to 2^53 ns. What has more digits than the base
// keeps is refused. The error is an *Error.
func Parse(text string, kind Kind) (float64, error) {
	x, err := exact(text, kind)
	if err != nil {
		return 0, err
	}
	near, _ := x.Float64()
	return near, nil
}

// Format writes a quantity so that Parse reads it as the same; of times whole ns.
func Format(x float64, kind Kind) string {
	switch kind {
	case Time:
		return strings.ReplaceAll(Duration(x).String(), " ", "")
	case Part:
		return shift(x, 2) + "%"
	case Rate:
		return shift(x, 0) + "/s"
	case Size:
		return shift(x, 0) + "B"
	}
	return shift(x, 0)
}
