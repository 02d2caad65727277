package unit

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

func TestDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"250 ms": 250 * time.Millisecond, "1.5s": 1500 * time.Millisecond, "2 m": 2 * time.Minute,
		"0": 0, "0 s": 0, "40us": 40 * time.Microsecond,
		"4273562.866 s": 4273562866 * time.Millisecond, // parsed as a floating-point number the result would be 1 ns more
		"0.001 us":      1, "10000 h": 10000 * time.Hour, "9999.999999999 h": 10000*time.Hour - 3600, "+1 s": time.Second,
	} {
		if d, err := ParseDuration(text); err != nil || d.Std() != want {
			t.Errorf("%q: %v, %v", text, d, err)
		}
	}
	for _, text := range []string{"", "5", "1s 500", "5 MB", "-1 s", "1e9 h", "ms", "1 fortnight", "NaN s", "99999 h",
		"1.5 ns", "0.0001 us", "1.0000000001 s", ".5 s", "5. s", "1.2.3 s",
		"--1 s", "+-1 s", "1/2 s", "0x10 s", "1_000 s", "10000.0000001 h"} {
		if d, err := ParseDuration(text); err == nil {
			t.Errorf("%q is accepted as %v", text, d)
		}
	}
}

// Parsing a formatted duration returns the same duration.
func TestDurationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Duration(rapid.Int64Range(0, int64(10000*time.Hour)/1000).Draw(t, "us") * 1000)
		if got, err := ParseDuration(d.String()); err != nil || got != d {
			t.Fatalf("%v is formatted as %q and parsed as %v, %v", time.Duration(d), d, got, err)
		}
	})
}

// Parsing a formatted quantity of any kind returns the same quantity, and a text with too many digits is refused.
func TestQuantityRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for kind, x := range map[Kind]float64{Fraction: rapid.Float64Range(0, 1).Draw(t, "part"),
			Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			Size: float64(rapid.Int64Range(0, 1<<50).Draw(t, "size")), Count: float64(rapid.Int64Range(0, 1<<50).Draw(t, "count"))} {
			roundDigits := func(x float64) float64 {
				x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'g', maxDigits, 64), 64)
				return x
			}
			if kind == Fraction || kind == Rate {
				x = roundDigits(x)
			}
			if got, err := Parse(Format(x, kind), kind); err != nil || got != x {
				t.Fatalf("%s %v is formatted as %q and parsed as %v, %v", kind, x, Format(x, kind), got, err)
			}
		}
	})
	for text, kind := range map[string]Kind{"1.5 B": Size, "0.5": Count, "33.3333333333333333%": Fraction,
		"0.1234567890123456/s": Rate} {
		if x, err := Parse(text, kind); err == nil {
			t.Errorf("%q is accepted as %v", text, x)
		}
	}
	for text, want := range map[string]float64{"33.3%": 0.333, "7/h": 7.0 / 3600, "1.5 KB": 1536, "0.07%": 0.0007, "100%": 1} {
		kind := map[bool]Kind{true: Fraction, false: Rate}[text[len(text)-1] == '%']
		if text == "1.5 KB" {
			kind = Size
		}
		if x, err := Parse(text, kind); err != nil || x != want {
			t.Errorf("%q: %v, %v", text, x, err)
		}
	}
}
