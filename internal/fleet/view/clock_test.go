package view

import (
	"testing"
	"time"
)

// A router that restarts after its wall clock was set back is known in its new life, with what that tells, as soon as any other one.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	const within = 5 * time.Second
	for _, back := range []time.Duration{-time.Minute, 0, time.Second, time.Hour} {
		for _, dead := range []time.Duration{0, 30 * time.Second} { // restarted at once, or after it was found dead
			now := time.Duration(0)
			all := fleet(3, 0, 1, 2)
			all[1].Tell(Details{Version: 7})
			live(all, &now, 10*time.Second)
			others := []*View{all[0], all[2]}
			live(others, &now, dead)
			again := New(Config{Self: 1, Of: 3, Start: start.Add(time.Minute - back), Seed: 9, Now: now})
			again.SetPhase(Serving)
			again.Tell(Details{Version: 8})
			live([]*View{all[0], again, all[2]}, &now, within)
			for _, v := range others {
				m := v.Members()[1]
				if m.State != Alive || m.Phase != Serving || m.Details.Version != 8 {
					t.Errorf("clock set back by %v, dead for %v: router %d sees it %v, %v, in version %d", back, dead, v.self, m.State, m.Phase, m.Details.Version)
				}
				if m.Inc.Compare(again.own.Inc) != 0 {
					t.Errorf("clock set back by %v, dead for %v: router %d sees it in life %v, it is in %v", back, dead, v.self, m.Inc, again.own.Inc)
				}
			}
		}
	}
}
