package membership

import (
	"errors"
	"strings"
	"testing"

	"hoptiller/internal/fleet/view"
)

// In every order of arrivals, losses, crashes and restarts, no view goes back to an older incarnation, and all views agree
// once datagrams arrive. This also holds if clocks are set back.
func TestSearch(t *testing.T) {
	for _, clockSetBack := range []bool{false, true} {
		s := &Search{Routers: 3, Depth: 4, MaxCrashes: 2, MaxInFlight: 4, ClockSetBack: clockSetBack}
		if err := s.Run(); err != nil {
			t.Errorf("clock set back %v: %v", clockSetBack, err)
		}
		if s.States < 1000 || s.Converged != s.States {
			t.Errorf("%d states, %d converged", s.States, s.Converged)
		}
	}
}

// The search finds a view that forgets the other routers, and a running router whose view has left the fleet.
func TestSearchFindsViolations(t *testing.T) {
	s := &Search{Routers: 3, Depth: 3, MaxInFlight: 4}
	s.Corrupt = func(n *State) {
		if len(n.path) == 2 {
			n.Views[0] = view.New(view.Config{Self: 0, RouterCount: 3, Start: Epoch, Now: n.now[0]})
		}
	}
	if err := s.Run(); !errors.Is(err, errOlderIncarnation) {
		t.Errorf("a view that forgets the other routers: %v", err)
	}
	s.Corrupt = func(n *State) {
		if len(n.path) == 2 {
			n.Views[1].Leave(n.now[1])
		}
	}
	if err := s.Run(); err == nil || !strings.Contains(err.Error(), "don't agree") {
		t.Errorf("a running router that has announced that it leaves: %v", err)
	}
}
