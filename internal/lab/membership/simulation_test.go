package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hoptiller/internal/fleet/view"
)

var network = Network{MinDelay: 2500 * time.Microsecond, MaxDelay: 39 * time.Millisecond}

// A fleet of 60 keeps the aims that the design note states for 100 to 1,000.
func TestMeasure(t *testing.T) {
	r := Measure(60, network, 1, false)
	for what, c := range map[string]struct{ is, most float64 }{
		"settling": {r.StartAll, 5}, "halves": {r.HealHalves, 10}, "thirds": {r.HealThirds, 10}, "a third joins": {r.JoinThird, 5}, "bytes a second": {r.LossyBytes, 1000},
		"living ones taken for dead": {float64(r.FalsePositives), 0},
	} {
		if c.is > c.most {
			t.Errorf("%s: %g, at most %g is the aim", what, c.is, c.most)
		}
	}
	for _, s := range r.Joins {
		if s > 5 {
			t.Errorf("a join was known after %g s", s)
		}
	}
	for _, s := range r.Crashes {
		if s > 8 {
			t.Errorf("a crash was known after %g s", s)
		}
	}
	if len(r.Failures) > 0 || len(r.Joins) != trials || len(r.Crashes) != trials || r.Pauses < 100 {
		t.Errorf("%+v", r)
	}
}

// The same seed gives the same course.
func TestSame(t *testing.T) {
	a, b := Measure(12, network, 3, true), Measure(12, network, 3, true)
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Each hard case: whom nobody may take for dead meanwhile, and all agree in the end.
func TestHardCases(t *testing.T) {
	for name, c := range map[string]struct {
		loss float64
		do   func(f *Simulation)
		dead map[int]bool // who may be taken for that
	}{
		"one way is cut":    {0, func(f *Simulation) { f.Cut(1, 0, true); f.Run(f.Now() + time.Minute); f.Cut(1, 0, false) }, nil},
		"three in ten lost": {0.3, func(f *Simulation) { f.Run(f.Now() + 5*time.Minute) }, nil},
		"paused for 30 s":   {0, func(f *Simulation) { f.Pause(3); f.Run(f.Now() + 30*time.Second); f.Resume(3) }, map[int]bool{3: true}},
		"restarted at once": {0, func(f *Simulation) { f.Crash(2); f.Run(f.Now() + 200*time.Millisecond); f.Start(2) }, nil},
		"all restarted":     {0, func(f *Simulation) { all(f, f.Crash); f.Run(f.Now() + time.Second); all(f, f.Start) }, nil},
		"a clock is set back": {0, func(f *Simulation) {
			f.Crash(2)
			f.SetClockOffset(2, -time.Hour)
			f.Run(f.Now() + time.Second)
			f.Start(2)
		}, nil},
		"clocks differ": {0, func(f *Simulation) {
			all(f, f.Crash)
			f.SetClockOffset(0, 5*time.Second)
			f.SetClockOffset(4, -5*time.Second)
			all(f, f.Start)
		}, nil},
		"comes after an hour":  {0, func(f *Simulation) { f.Crash(2); f.Run(f.Now() + time.Hour); f.Start(2) }, map[int]bool{2: true}},
		"leaves and is back":   {0, func(f *Simulation) { f.Leave(2); f.Run(f.Now() + 5*time.Second); f.Start(2) }, nil},
		"half pause for a sec": {0, func(f *Simulation) { evens(f, f.Pause); f.Run(f.Now() + time.Second); evens(f, f.Resume) }, nil},
		"split for ten minutes": {0.1, func(f *Simulation) { f.Partition(3); f.Run(f.Now() + 10*time.Minute); f.Partition(1) },
			map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true, 7: true, 8: true}},
	} {
		for seed := range uint64(3) {
			f := New(9, network, seed)
			all(f, f.Start)
			if _, ok := f.RunUntil(10*time.Second, f.Converged); !ok {
				t.Fatalf("%s: the fleet doesn't settle", name)
			}
			f.Loss = c.loss
			f.OnChange = func(at time.Duration, viewer int, e view.Event) {
				if e.After.State == view.Dead && !c.dead[e.Who] {
					t.Errorf("%s, seed %d: router %d took %d for dead after %v", name, seed, viewer, e.Who, at)
				}
			}
			c.do(f)
			if took, ok := f.RunUntil(10*time.Second, f.Converged); !ok {
				t.Errorf("%s, seed %d: no agreement within %v", name, seed, took)
			}
		}
	}
}

func all(f *Simulation, do func(i int)) {
	for i := range f.Size() {
		do(i)
	}
}

func evens(f *Simulation, do func(i int)) {
	for i := 0; i < f.Size(); i += 2 {
		do(i)
	}
}

// What a second of a router's view costs in a fleet of 300, the virtual network with it.
func BenchmarkView(b *testing.B) {
	for name, loss := range map[string]float64{"calm": 0, "loss": 0.1} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := New(300, network, 1)
			all(f, f.Start)
			f.Run(10 * time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			f.Loss = loss
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.Run(f.Now() + time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/300, "ns/router-s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/300, "B/router")
		})
	}
}
