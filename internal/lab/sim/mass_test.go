package sim

import (
	"testing"

	"hoptiller/internal/lab/model"
)

// 300 routers in front of 200 caches would hold more connections than the caches' tables have slots, although each router
// keeps as few connections as a router of a small fleet. Routers must close idle connections early enough for the sum to
// fit, and keep the homes of keys in their own zone.
func TestConnTablesHoldHundredsOfRouters(t *testing.T) {
	failed := map[bool]float64{}
	for _, reap := range []bool{false, true} {
		day := model.DefaultDay()
		day.Seed, day.WarmUp, day.FillCaches, day.Length = 1, seconds(1), true, seconds(4)
		day.Routers, day.Fleet.Caches, day.Fleet.CloseIdleEarly, day.Load.Level = 300, 200, reap, 0.5
		r := runDay(t, &day, Hoptiller, Options{})
		if r.ViolationCount > 0 || r.CrossZone > 0.3 {
			t.Errorf("%d broken rules, %.2f crossings between zones a request", r.ViolationCount, r.CrossZone)
		}
		failed[reap] = float64(r.Outcomes["no connection"]) / float64(r.RequestsTaken)
	}
	if failed[true] > 0.05 || failed[true] > failed[false]/2 {
		t.Errorf("failed connects a request: %.3f if idle ones are kept, %.3f if not", failed[false], failed[true])
	}
}
