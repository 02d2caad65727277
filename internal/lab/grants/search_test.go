package grants

import (
	"strings"
	"testing"
)

// In no order of events do two seekers hold one place.
func TestSearch(t *testing.T) {
	s := New(3, 2, 1, 3)
	if err := s.Run(); err != nil || s.States < 1000 {
		t.Errorf("%d states: %v", s.States, err)
	}
	walk := New(5, 4, 2, 300)
	if held, err := walk.Walk(200, 1); err != nil || held < 100 {
		t.Errorf("of %d states somebody held a permit in %d: %v", walk.States, held, err)
	}
}

// The search finds what is wrong: electors that grant at once after a restart, and holders that trust their clocks.
func TestSearchFinds(t *testing.T) {
	for name, spoil := range map[string]func(s *Search){
		"no silence after a restart": func(s *Search) { s.Silence = 0 },
		"no margin for clocks":       func(s *Search) { s.Margin = 0 },
	} {
		s := New(3, 2, 1, 300)
		spoil(s)
		if _, err := s.Walk(20000, 1); err == nil || !strings.Contains(err.Error(), "hold place 0 at once") {
			t.Errorf("%s, %d states: %v", name, s.States, err)
		}
	}
}
