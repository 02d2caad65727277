// Package unit reads and writes quantities as people write them in files: a
// number and a unit. It knows nothing of the files themselves and does no I/O.
package unit

import (
	"fmt"
	"math"
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

var times = []struct {
	name string
	unit time.Duration
}{
	{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour},
}

// ParseDuration reads a Duration of 0 or more, up to 10,000 hours.
func ParseDuration(text string) (Duration, error) {
	number, name := split(text)
	x, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is no time: one number and one of us, ms, s, m, h is meant, as in \"250 ms\"", text)
	}
	for _, t := range times {
		if t.name != name {
			continue
		}
		if d := x * float64(t.unit); d >= 0 && d <= float64(10000*time.Hour) {
			return Duration(math.Round(d)), nil
		}
		return 0, fmt.Errorf("%q is out of range: 0 to 10000 h is meant", text)
	}
	if name == "" && x == 0 {
		return 0, nil
	}
	return 0, fmt.Errorf("%q has no unit of time: one of us, ms, s, m, h is meant, as in \"250 ms\"", text)
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
	for i := len(times) - 1; i >= 0; i-- {
		milli := times[i].unit / 1000
		if time.Duration(d) >= times[i].unit && (milli == 0 || time.Duration(d)%milli == 0) {
			return strconv.FormatFloat(float64(d)/float64(times[i].unit), 'f', -1, 64) + " " + times[i].name
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
