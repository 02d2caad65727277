// Package unit reads and writes quantities as people write them in files: a
// number and a unit. It knows nothing of the files themselves and does no I/O.
package unit

import (
	"fmt"
	"slices"
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
	x, err := exact(text, Time)
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

// String writes the value in the largest unit in which it has at most three decimals; ParseDuration reads it as the
// same where it takes it at all.
func (d Duration) String() string {
	if d == 0 {
		return "0 s"
	}
	list := units[Time]
	in := list[0] // a us has no more decimals than ns
	for _, u := range slices.Backward(list) {
		if milli := u.of / 1000; d >= Duration(u.of) && int64(d)%milli == 0 {
			in = u
			break
		}
	}
	sign := ""
	if d < 0 {
		sign = "-"
	}
	abs := func(x int64) int64 { return max(x, -x) } // of parts, which can be turned
	text := fmt.Sprintf("%s%d.%03d", sign, abs(int64(d)/in.of), abs(int64(d)%in.of/(in.of/1000)))
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".") + " " + in.name
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
