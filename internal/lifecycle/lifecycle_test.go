package lifecycle

import (
	"testing"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

// Whatever the order: a stop is for good, the last of drain and activate before it decides whether clients are
// wanted, and after it only a drain does. Whoever watches hears of each change and of nothing else.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		drained, stopped := false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{Drain, Activate, Stop})).Draw(t, "events") {
			before, changed := s.Watch()
			yes := s.Tell(e)
			switch {
			case e == Stop:
				stopped = true
			case e == Drain:
				drained = true
			case !stopped:
				drained = false
			}
			p := s.Phase()
			if p.Wanted() == drained || p.Stops() != stopped || yes != (e != Activate || !stopped) {
				t.Fatalf("after %d: %v, %v; drained %v, stopped %v", e, p, yes, drained, stopped)
			}
			select {
			case <-changed:
				if p == before {
					t.Fatal("told of no change")
				}
			default:
				if p != before {
					t.Fatal("not told of a change")
				}
			}
		}
	})
}
