// Package unit parses and formats quantities as people write them in files: a number and a unit. It does no I/O and
// is independent of the format of the files.
package unit

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duration is a duration that is written with one unit of us, ms, s, m or h, such as "250 ms" or "1.5 s". Mixed
// values such as "1s 500" are refused, since it is not clear whether 500 means ms or s.
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Seconds returns the value in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// ParseDuration parses a Duration from 0 to 10,000 hours.
func ParseDuration(text string) (Duration, error) {
	if text == "0" {
		return 0, nil
	}
	x, err := parseExact(text, Time)
	if err != nil {
		return 0, err
	}
	return Duration(x.Num().Int64()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	*d, err = ParseDuration(string(text))
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String writes the value in the largest unit in which it has at most three decimals. ParseDuration returns the same
// value, if it is within its range.
func (d Duration) String() string {
	if d == 0 {
		return "0 s"
	}
	list := units[Time]
	chosen := list[0] // a value in us has at most three decimals, since the base unit is ns
	for _, u := range slices.Backward(list) {
		if thousandth := u.numerator / 1000; d >= Duration(u.numerator) && int64(d)%thousandth == 0 {
			chosen = u
			break
		}
	}
	sign := ""
	if d < 0 {
		sign = "-"
	}
	abs := func(x int64) int64 { return max(x, -x) } // for the quotient and the remainder, whose negation does not overflow
	text := fmt.Sprintf("%s%d.%03d", sign, abs(int64(d)/chosen.numerator), abs(int64(d)%chosen.numerator/(chosen.numerator/1000)))
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".") + " " + chosen.name
}

// splitUnit splits a quantity into its number and its unit.
func splitUnit(text string) (number, unit string) {
	text = strings.TrimSpace(text)
	end := strings.IndexFunc(text, func(r rune) bool {
		return (r < '0' || r > '9') && r != '.' && r != '-' && r != '+'
	})
	if end < 0 {
		return text, ""
	}
	return text[:end], strings.TrimSpace(text[end:])
}
