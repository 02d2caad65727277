// Package unit reads and writes quantities as people write them in files: a
// number and a unit. It knows nothing of the files themselves and does no I/O.
package unit

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Duration is a time that is written with one unit of us, ms, s, m or h, such
// as "250 ms" or "1.5 s". Mixed values such as "1s 500" are refused: whether
// 500 are ms or s can only be guessed.
type Duration time.Duration

// D is the value as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Seconds is the value in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// ParseDuration reads a Duration of 0 or more, up to 10,000 hours.
func ParseDuration(text string) (Duration, error) {
	if text == "0" {
		return 0, nil
	}
	x, err := Parse(text, Time)
	return Duration(x), err
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	*d, err = ParseDuration(string(text))
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String writes the value in the largest unit in which it has at most three decimals.
func (d Duration) String() string {
	for _, u := range slices.Backward(units[Time]) {
		one := time.Duration(u.of)
		if milli := one / 1000; time.Duration(d) >= one && (milli == 0 || time.Duration(d)%milli == 0) {
			return strconv.FormatFloat(float64(d)/u.of, 'f', -1, 64) + " " + u.name
		}
	}
	if d == 0 {
		return "0 s"
	}
	return strconv.FormatFloat(float64(d)/float64(time.Microsecond), 'f', -1, 64) + " us"
}

// split cuts a quantity into its number and its unit.
func split(text string) (number, unit string) {
	text = strings.TrimSpace(text)
	at := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' && r != '-' && r != '+' })
	if at < 0 {
		return text, ""
	}
	return text[:at], strings.TrimSpace(text[at:])
}
