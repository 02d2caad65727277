package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hoptiller/internal/fleet/view"
)

var network = Network{MinDelay: 2500 * time.Microsecond, MaxDelay: 39 * time.Millisecond}

// A fleet of 60 meets the targets that the design note states for fleets of 100 to 1,000.
func TestMeasure(t *testing.T) {
	r := Measure(60, network, 1, false)
	for what, c := range map[string]struct{ measured, target float64 }{
		"start": {r.StartAll, 5}, "halves": {r.HealHalves, 10}, "thirds": {r.HealThirds, 10},
		"a third joins": {r.JoinThird, 5}, "bytes a second": {r.LossyBytes, 1000},
		"running routers declared dead": {float64(r.FalsePositives), 0},
	} {
		if c.measured > c.target {
			t.Errorf("%s: %g, the target is at most %g", what, c.measured, c.target)
		}
	}
	for _, s := range r.Joins {
		if s > 5 {
			t.Errorf("a join was in all views after %g s", s)
		}
	}
	for _, s := range r.Crashes {
		if s > 8 {
			t.Errorf("a crash was in all views after %g s", s)
		}
	}
	if len(r.Failures) > 0 || len(r.Joins) != trials || len(r.Crashes) != trials || r.Pauses < 100 {
		t.Errorf("%+v", r)
	}
}

// The same seed gives the same measurements.
func TestMeasureIsDeterministic(t *testing.T) {
	a, b := Measure(12, network, 3, true), Measure(12, network, 3, true)
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("%+v and %+v", a, b)
	}
}

// In each of these cases no view declares a router dead except those that the case allows, and all views agree in the end.
func TestConvergence(t *testing.T) {
	for name, c := range map[string]struct {
		loss      float64
		action    func(s *Simulation)
		mayBeDead map[int]bool // routers that a view may declare dead
	}{
		"one path is cut":   {0, func(s *Simulation) { s.Cut(1, 0, true); s.Run(s.Now() + time.Minute); s.Cut(1, 0, false) }, nil},
		"three in ten lost": {0.3, func(s *Simulation) { s.Run(s.Now() + 5*time.Minute) }, nil},
		"paused for 30 s": {0, func(s *Simulation) { s.Pause(3); s.Run(s.Now() + 30*time.Second); s.Resume(3) },
			map[int]bool{3: true}},
		"restarted at once": {0, func(s *Simulation) { s.Crash(2); s.Run(s.Now() + 200*time.Millisecond); s.Start(2) }, nil},
		"all restarted": {0, func(s *Simulation) { allRouters(s, s.Crash); s.Run(s.Now() + time.Second); allRouters(s, s.Start) },
			nil},
		"a clock is set back": {0, func(s *Simulation) {
			s.Crash(2)
			s.SetClockOffset(2, -time.Hour)
			s.Run(s.Now() + time.Second)
			s.Start(2)
		}, nil},
		"clocks differ": {0, func(s *Simulation) {
			allRouters(s, s.Crash)
			s.SetClockOffset(0, 5*time.Second)
			s.SetClockOffset(4, -5*time.Second)
			allRouters(s, s.Start)
		}, nil},
		"starts after an hour": {0, func(s *Simulation) { s.Crash(2); s.Run(s.Now() + time.Hour); s.Start(2) }, map[int]bool{2: true}},
		"leaves and returns":   {0, func(s *Simulation) { s.Leave(2); s.Run(s.Now() + 5*time.Second); s.Start(2) }, nil},
		"half pause for a sec": {0, func(s *Simulation) {
			evenRouters(s, s.Pause)
			s.Run(s.Now() + time.Second)
			evenRouters(s, s.Resume)
		}, nil},
		"split for ten minutes": {0.1, func(s *Simulation) { s.Partition(3); s.Run(s.Now() + 10*time.Minute); s.Partition(1) },
			map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true, 7: true, 8: true}},
	} {
		for seed := range uint64(3) {
			s := New(9, network, seed)
			allRouters(s, s.Start)
			if _, ok := s.RunUntil(10*time.Second, s.Converged); !ok {
				t.Fatalf("%s: the fleet doesn't converge", name)
			}
			s.Loss = c.loss
			s.OnChange = func(at time.Duration, viewer int, e view.Event) {
				if e.After.State == view.Dead && !c.mayBeDead[e.Router] {
					t.Errorf("%s, seed %d: router %d declared %d dead after %v", name, seed, viewer, e.Router, at)
				}
			}
			c.action(s)
			if took, ok := s.RunUntil(10*time.Second, s.Converged); !ok {
				t.Errorf("%s, seed %d: no agreement within %v", name, seed, took)
			}
		}
	}
}

func allRouters(s *Simulation, action func(i int)) {
	for i := range s.Size() {
		action(i)
	}
}

func evenRouters(s *Simulation, action func(i int)) {
	for i := 0; i < s.Size(); i += 2 {
		action(i)
	}
}

// BenchmarkView measures the cost of one second of a router's view in a fleet of 300, including the virtual network.
func BenchmarkView(b *testing.B) {
	for name, loss := range map[string]float64{"calm": 0, "loss": 0.1} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := New(300, network, 1)
			allRouters(s, s.Start)
			s.Run(10 * time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			s.Loss = loss
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.Run(s.Now() + time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/300, "ns/router-s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/300, "B/router")
		})
	}
}
