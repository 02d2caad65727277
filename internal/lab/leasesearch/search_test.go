package leasesearch

import (
	"strings"
	"testing"
)

// In no order of events do two seekers hold one slot.
func TestSearch(t *testing.T) {
	s := New(3, 2, 1, 3)
	if err := s.Run(); err != nil || s.States < 1000 {
		t.Errorf("%d states: %v", s.States, err)
	}
	walk := New(5, 4, 2, 300)
	if held, err := walk.RandomWalks(200, 1); err != nil || held < 100 {
		t.Errorf("of %d states somebody held a permit in %d: %v", walk.States, held, err)
	}
}

// The search finds two broken protocols: electors that grant at once after a restart, and holders without a drift margin.
func TestSearchFinds(t *testing.T) {
	for name, corrupt := range map[string]func(s *Search){
		"no silence after a restart": func(s *Search) { s.StartDelay = 0 },
		"no margin for clocks":       func(s *Search) { s.DriftMargin = 0 },
	} {
		s := New(3, 2, 1, 300)
		corrupt(s)
		if _, err := s.RandomWalks(20000, 1); err == nil || !strings.Contains(err.Error(), "hold place 0 at once") {
			t.Errorf("%s, %d states: %v", name, s.States, err)
		}
	}
}
