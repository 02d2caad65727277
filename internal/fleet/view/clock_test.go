package view

import (
	"testing"
	"time"
)

// A router whose wall clock was set back restarts with an older start time than that of its former incarnation. The others
// must still learn its new incarnation, with its phase and details, within the same time as for any other restart.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	const within = 5 * time.Second
	for _, setBack := range []time.Duration{-time.Minute, 0, time.Second, time.Hour} {
		// The router restarts at once, or after the others have declared it dead.
		for _, downtime := range []time.Duration{0, 30 * time.Second} {
			now := time.Duration(0)
			all := newViews(3, 0, 1, 2)
			all[1].SetDetails(Details{VersionHash: 7})
			run(all, &now, 10*time.Second)
			others := []*View{all[0], all[2]}
			run(others, &now, downtime)
			restarted := New(Config{Self: 1, RouterCount: 3, Start: startTime.Add(time.Minute - setBack), Seed: 9, Now: now})
			restarted.SetPhase(Serving)
			restarted.SetDetails(Details{VersionHash: 8})
			run([]*View{all[0], restarted, all[2]}, &now, within)
			for _, v := range others {
				m := v.Members()[1]
				if m.State != Alive || m.Phase != Serving || m.Details.VersionHash != 8 {
					t.Errorf("clock set back by %v, down for %v: router %d has state %v, phase %v and version %d",
						setBack, downtime, v.self, m.State, m.Phase, m.Details.VersionHash)
				}
				if m.Incarnation.Compare(restarted.own.Incarnation) != 0 {
					t.Errorf("clock set back by %v, down for %v: router %d has incarnation %v, want %v",
						setBack, downtime, v.self, m.Incarnation, restarted.own.Incarnation)
				}
			}
		}
	}
}
