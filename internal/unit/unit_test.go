package unit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"250 ms": 250 * time.Millisecond, "1.5s": 1500 * time.Millisecond, "2 m": 2 * time.Minute, "0": 0, "0 s": 0, "40us": 40 * time.Microsecond,
	} {
		if d, err := ParseDuration(text); err != nil || d.D() != want {
			t.Errorf("%q: %v, %v", text, d, err)
		}
	}
	for _, text := range []string{"", "5", "1s 500", "5 MB", "-1 s", "1e9 h", "ms", "1 fortnight", "NaN s", "99999 h"} {
		if d, err := ParseDuration(text); err == nil {
			t.Errorf("%q is taken as %v", text, d)
		}
	}
}

// What is written is read as the same.
func TestDurationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Duration(rapid.Int64Range(0, int64(10000*time.Hour)/1000).Draw(t, "us") * 1000)
		if got, err := ParseDuration(d.String()); err != nil || got != d {
			t.Fatalf("%v is written %q and read %v, %v", time.Duration(d), d, got, err)
		}
	})
}
