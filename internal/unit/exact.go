package unit

import (
	"fmt"
	"math/big"
	"strconv"
	"strings"
)

// exact is what a text says, in the kind's base, with no rounding on the way.
func exact(text string, kind Kind) (*big.Rat, error) {
	number, name := split(text)
	x, digits := decimal(number)
	if x == nil {
		return nil, &Error{false, fmt.Sprintf("%q is no number", text), accepted[kind]}
	}
	var of *big.Rat
	other := Kind("")
	for k, list := range units {
		for _, u := range list {
			if u.name == name && k == kind {
				of = big.NewRat(u.of, u.over)
			} else if u.name == name && name != "" {
				other = k
			}
		}
	}
	switch {
	case of != nil:
	case other != "":
		return nil, &Error{false, fmt.Sprintf("%q is a %s, and a %s is meant", text, other, kind), accepted[kind]}
	case name == "":
		return nil, &Error{false, fmt.Sprintf("%q has no unit of %s", text, kind), accepted[kind]}
	default:
		return nil, &Error{false, fmt.Sprintf("%q: %q is no unit of %s", text, name, kind), accepted[kind]}
	}
	x.Mul(x, of)
	switch {
	case x.Sign() < 0:
		return nil, &Error{true, fmt.Sprintf("%q is below nothing", text), accepted[kind]}
	case x.Cmp(big.NewRat(most[kind], 1)) > 0:
		return nil, &Error{true, fmt.Sprintf("%q is more than is possible", text), "up to " + Format(float64(most[kind]), kind)}
	case kind == Time && !x.IsInt():
		return nil, &Error{true, fmt.Sprintf("%q has parts of a nanosecond", text), accepted[kind]}
	case (kind == Count || kind == Size) && !x.IsInt():
		return nil, &Error{true, fmt.Sprintf("%q is no whole number", text), accepted[kind]}
	case digits > mostDigits && !x.IsInt():
		return nil, &Error{true, fmt.Sprintf("%q has more than %d digits", text, mostDigits), accepted[kind]}
	}
	return x, nil
}

// mostDigits is how many decimal digits a float64 tells apart.
const mostDigits = 15

// decimal reads a plain decimal number and counts its digits without leading zeros. It is nil for all else.
func decimal(text string) (x *big.Rat, digits int) {
	bare := strings.TrimPrefix(strings.TrimPrefix(text, "-"), "+")
	whole, part, cut := strings.Cut(bare, ".")
	if whole == "" || cut && part == "" || strings.ContainsAny(whole+part, "+-.") || len(text)-len(bare) > 1 {
		return nil, 0
	}
	x, ok := new(big.Rat).SetString(text)
	if !ok {
		return nil, 0
	}
	return x, len(strings.TrimLeft(whole+part, "0"))
}

// shift writes a float64 of 0 or more, as the shortest decimal that is read as the same, with its point moved by some
// places to the right.
func shift(x float64, places int) string {
	whole, part, _ := strings.Cut(strconv.FormatFloat(x, 'f', -1, 64), ".")
	part += strings.Repeat("0", max(0, places-len(part)))
	whole, part = strings.TrimLeft(whole+part[:places], "0"), part[places:]
	if whole == "" {
		whole = "0"
	}
	if part == "" {
		return whole
	}
	return whole + "." + part
}
