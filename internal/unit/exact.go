package unit

import (
	"fmt"
	"math/big"
	"strconv"
	"strings"
)

// parseExact parses a quantity of a kind and returns it in the kind's base unit, without rounding.
func parseExact(text string, kind Kind) (*big.Rat, error) {
	number, name := splitUnit(text)
	x, digits := parseDecimal(number)
	if x == nil {
		return nil, &Error{false, fmt.Sprintf("%q is no number", text), accepted[kind]}
	}
	var factor *big.Rat
	otherKind := Kind("")
	for k, list := range units {
		for _, u := range list {
			if u.name == name && k == kind {
				factor = big.NewRat(u.numerator, u.denominator)
			} else if u.name == name && name != "" {
				otherKind = k
			}
		}
	}
	switch {
	case factor != nil:
	case otherKind != "":
		return nil, &Error{false, fmt.Sprintf("%q is a %s, and a %s is meant", text, otherKind, kind), accepted[kind]}
	case name == "":
		return nil, &Error{false, fmt.Sprintf("%q has no unit of %s", text, kind), accepted[kind]}
	default:
		return nil, &Error{false, fmt.Sprintf("%q: %q is no unit of %s", text, name, kind), accepted[kind]}
	}
	x.Mul(x, factor)
	switch {
	case x.Sign() < 0:
		return nil, &Error{true, fmt.Sprintf("%q is negative", text), accepted[kind]}
	case x.Cmp(big.NewRat(maxQuantity[kind], 1)) > 0:
		return nil, &Error{true, fmt.Sprintf("%q is more than the maximum", text), "up to " + Format(float64(maxQuantity[kind]), kind)}
	case kind == Time && !x.IsInt():
		return nil, &Error{true, fmt.Sprintf("%q is not a whole number of nanoseconds", text), accepted[kind]}
	case (kind == Count || kind == Size) && !x.IsInt():
		return nil, &Error{true, fmt.Sprintf("%q is no whole number", text), accepted[kind]}
	case digits > maxDigits && !x.IsInt():
		return nil, &Error{true, fmt.Sprintf("%q has more than %d digits", text, maxDigits), accepted[kind]}
	}
	return x, nil
}

// maxDigits is the number of decimal digits that a float64 preserves.
const maxDigits = 15

// parseDecimal parses a plain decimal number and counts its digits without leading zeros. It returns nil for any
// other text.
func parseDecimal(text string) (x *big.Rat, digits int) {
	unsigned := strings.TrimPrefix(strings.TrimPrefix(text, "-"), "+")
	whole, fraction, hasPoint := strings.Cut(unsigned, ".")
	if whole == "" || hasPoint && fraction == "" || strings.ContainsAny(whole+fraction, "+-.") || len(text)-len(unsigned) > 1 {
		return nil, 0
	}
	x, ok := new(big.Rat).SetString(text)
	if !ok {
		return nil, 0
	}
	return x, len(strings.TrimLeft(whole+fraction, "0"))
}

// formatShifted writes a float64 of 0 or more as the shortest decimal that parses to the same value, with the decimal
// point moved to the right by places, a number of digits.
func formatShifted(x float64, places int) string {
	whole, fraction, _ := strings.Cut(strconv.FormatFloat(x, 'f', -1, 64), ".")
	fraction += strings.Repeat("0", max(0, places-len(fraction)))
	whole, fraction = strings.TrimLeft(whole+fraction[:places], "0"), fraction[places:]
	if whole == "" {
		whole = "0"
	}
	if fraction == "" {
		return whole
	}
	return whole + "." + fraction
}
