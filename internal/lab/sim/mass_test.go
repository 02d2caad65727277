package sim

import (
	"testing"

	"hoptiller/internal/lab/model"
)

// In front of 200 caches 300 routers would hold more connections than the tables take, each of them as few as a
// small fleet's do. What they keep idle ends early enough for the sum, and keys have their homes in the own zone.
func TestTablesHoldThoseOfHundreds(t *testing.T) {
	failed := map[bool]float64{}
	for _, reap := range []bool{false, true} {
		day := model.Prairie()
		day.Seed, day.Warm, day.Fill, day.Length = 1, span(1), true, span(4)
		day.Routers, day.Fleet.Caches, day.Fleet.Reap, day.Load.Level = 300, 200, reap, 0.5
		r := play(t, &day, Hoptiller, Options{})
		if r.Broken > 0 || r.CrossZone > 0.3 {
			t.Errorf("%d broken rules, %.2f crossings between zones a request", r.Broken, r.CrossZone)
		}
		failed[reap] = float64(r.Outcomes["no connection"]) / float64(r.Taken)
	}
	if failed[true] > 0.05 || failed[true] > failed[false]/2 {
		t.Errorf("failed connects a request: %.3f if idle ones are kept, %.3f if not", failed[false], failed[true])
	}
}
