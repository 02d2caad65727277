package membership

import (
	"errors"
	"strings"
	"testing"

	"hoptiller/internal/fleet/view"
)

// Whatever comes, is lost, waits, crashes and starts anew, in whatever order: no view goes back to an older incarnation, and
// all agree once datagrams come. A clock that was set back changes nothing of that.
func TestSearch(t *testing.T) {
	for _, rewind := range []bool{false, true} {
		s := &Search{Routers: 3, Depth: 4, MaxCrashes: 2, MaxInFlight: 4, ClockSetBack: rewind}
		if err := s.Run(); err != nil {
			t.Errorf("clock set back %v: %v", rewind, err)
		}
		if s.States < 1000 || s.Converged != s.States {
			t.Errorf("%d states, %d settled", s.States, s.Converged)
		}
	}
}

// The search finds a view that forgets, and one that says nothing more.
func TestSearchFinds(t *testing.T) {
	s := &Search{Routers: 3, Depth: 3, MaxInFlight: 4}
	s.Corrupt = func(n *State) {
		if len(n.path) == 2 {
			n.Views[0] = view.New(view.Config{Self: 0, Of: 3, Start: Epoch, Now: n.now[0]})
		}
	}
	if err := s.Run(); !errors.Is(err, errOlderIncarnation) {
		t.Errorf("a view that forgets: %v", err)
	}
	s.Corrupt = func(n *State) {
		if len(n.path) == 2 {
			n.Views[1].Leave(n.now[1])
		}
	}
	if err := s.Run(); err == nil || !strings.Contains(err.Error(), "don't agree") {
		t.Errorf("a router that runs and says that it has left: %v", err)
	}
}
