package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

// A cache has any number of cores, half of them busy, and its calls come from any routers in any order. The connections that
// all routers have open to it at the same time stay within its limit, with room for the busy ones.
func TestIdleConnsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(minCores, 16).Draw(t, "cores")
		callDuration := time.Duration(rapid.IntRange(30, 300).Draw(t, "call ms")) * time.Millisecond
		routers := rapid.SliceOfN(rapid.IntRange(0, 400), 10, 400).Draw(t, "routers")
		var calls MeanCallDuration
		now, openUntil := time.Duration(0), map[int]time.Duration{}
		for i := range 400 {
			now += time.Duration(float64(callDuration)/(typicalUtilization*float64(cores))) + 1
			calls.Add(callDuration)
			openUntil[routers[i%len(routers)]] = now + calls.IdleTimeout(0)
			open := 0
			for _, until := range openUntil {
				if until > now {
					open++
				}
			}
			if open > (defaultConnsPerCore-busyConnsPerCore)*cores {
				t.Fatalf("%d idle connections at a limit of %d", open, defaultConnsPerCore*cores)
			}
		}
	})
}

// MaxIdle divides the connections that are not busy among the routers.
func TestMaxIdle(t *testing.T) {
	if got := MaxIdle(300, 600); got != 9 { // the operator states 600 connections per core
		t.Errorf("each of 300 routers retains %d connections of 3,000, want 9", got)
	}
	for routers, want := range map[int]int{0: 60, 1: 60, 3: 20, 60: 1, 61: 0, 300: 0} {
		if got := MaxIdle(routers, 0); got != want {
			t.Errorf("each of %d routers retains %d connections, want %d", routers, got, want)
		}
	}
}
