package hoptiller

import (
	"testing"
	"time"
)

func TestWindowShrinksAndGrows(t *testing.T) {
	r, _ := newRouter(testSettings(), fleet(1))
	s := r.caches[0]
	q := &request{class: &r.settings.Classes[0]}
	for i := 0; i < 10; i++ {
		s.inFlight = 6
		r.now += time.Millisecond
		r.learnWindow(q, &attempt{target: s, sentAt: r.now}, &Outcome{Status: TurnedAway})
	}
	cut := s.window
	if cut > 3 {
		t.Fatalf("window %.1f after ten refusals", cut)
	}
	for i := 0; i < 50; i++ {
		r.learnWindow(q, &attempt{target: s, sentAt: r.now}, &Outcome{Status: OK, Latency: 10 * time.Millisecond})
	}
	if s.window < 2*cut {
		t.Errorf("window grew from %.1f to %.1f only", cut, s.window)
	}
}
