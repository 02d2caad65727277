package leasesearch

import (
	"strings"
	"testing"
)

// In no order of events do two acquirers hold the same slot.
func TestSearch(t *testing.T) {
	s := New(3, 2, 1, 3)
	if err := s.Run(); err != nil || s.States < 1000 {
		t.Errorf("%d states: %v", s.States, err)
	}
	walk := New(5, 4, 2, 300)
	if holders, err := walk.RandomWalks(200, 1); err != nil || holders < 100 {
		t.Errorf("in %d states permits were held %d times: %v", walk.States, holders, err)
	}
}

// The search finds the violations of two faulty protocols: one without a start delay of voters after a restart, and one
// without a drift margin of holders.
func TestSearchFindsViolations(t *testing.T) {
	for name, corrupt := range map[string]func(s *Search){
		"no start delay":  func(s *Search) { s.StartDelay = 0 },
		"no drift margin": func(s *Search) { s.DriftMargin = 0 },
	} {
		s := New(3, 2, 1, 300)
		corrupt(s)
		if _, err := s.RandomWalks(20000, 1); err == nil || !strings.Contains(err.Error(), "hold place 0 at once") {
			t.Errorf("%s, %d states: %v", name, s.States, err)
		}
	}
}
