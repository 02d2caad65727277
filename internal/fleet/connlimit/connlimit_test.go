package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

// A cache with any number of cores, half of them busy, with its calls from any routers in any order: what all
// have open to it at the same time, and what is busy, fits its table.
func TestIdleFitsTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(leastCores, 16).Draw(t, "cores")
		call := time.Duration(rapid.IntRange(30, 300).Draw(t, "call ms")) * time.Millisecond
		routers := rapid.SliceOfN(rapid.IntRange(0, 400), 10, 400).Draw(t, "routers")
		var calls Calls
		at, open := time.Duration(0), map[int]time.Duration{}
		for i := range 400 {
			at += time.Duration(float64(call)/(usualLoad*float64(cores))) + 1
			calls.Ended(call)
			open[routers[i%len(routers)]] = at + calls.Idle(0)
			n := 0
			for _, until := range open {
				if until > at {
					n++
				}
			}
			if n > (tableCores-busyCores)*cores {
				t.Fatalf("%d idle connections in a table of %d", n, tableCores*cores)
			}
		}
	})
}

func TestKept(t *testing.T) {
	if got := Kept(300, 600); got != 9 { // where an operator states what caches accept
		t.Errorf("300 routers keep %d connections each of 3,000, not 9", got)
	}
	for routers, want := range map[int]int{0: 60, 1: 60, 3: 20, 60: 1, 61: 0, 300: 0} {
		if got := Kept(routers, 0); got != want {
			t.Errorf("%d routers keep %d connections each, not %d", routers, got, want)
		}
	}
}
