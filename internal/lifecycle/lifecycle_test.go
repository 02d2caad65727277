package lifecycle

import (
	"testing"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

// TestEventOrders applies events in random orders. A stop is final. Before a stop the last drain or activate decides
// whether clients are wanted; after it only a drain changes that. A watcher is notified of every change of the phase
// and of nothing else.
func TestEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		drained, stopped := false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{Drain, Activate, Stop})).Draw(t, "events") {
			before, changed := s.Watch()
			fulfilled := s.Apply(e)
			switch {
			case e == Stop:
				stopped = true
			case e == Drain:
				drained = true
			case !stopped:
				drained = false
			}
			p := s.Phase()
			if p.WantsClients() == drained || p.IsEnding() != stopped || fulfilled != (e != Activate || !stopped) {
				t.Fatalf("after event %d: phase %v, fulfilled %v; drained %v, stopped %v", e, p, fulfilled, drained, stopped)
			}
			select {
			case <-changed:
				if p == before {
					t.Fatal("a watcher was notified although the phase did not change")
				}
			default:
				if p != before {
					t.Fatal("a watcher was not notified of a change of the phase")
				}
			}
		}
	})
}
