package hoptiller

import (
	"testing"
	"time"
)

// An overload of the whole fleet shows in bad outcomes. A fraction of the traffic is refused on arrival, first the requests over
// their tenant's share. Writes within the share are not refused.
func TestPressureRefusesOverShareFirst(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{0}} // no allowance: all requests of tenant 0 are over its share
	r, p := newRouter(set, fleet(1, 1))
	r.buckets[0].tokens = 0
	for _, c := range []struct {
		bad       float64
		low, high int // at least this many refused of 100
	}{{0.05, 0, 0}, {0.2, 90, 0}, {0.9, 90, 90}} {
		for i := 0; i < 60; i++ {
			r.now += 100 * time.Millisecond
			r.overloadFraction = c.bad
			r.sweep()
		}
		p.refused = map[uint32]bool{}
		low, high, writes := 0, 0, 0
		for id := uint32(1); id <= 300; id++ {
			q := Request{ID: r.idBase() + id, Key: uint64(id), Tenant: int(id%3) * 9, Remaining: time.Second}
			if q.Tenant == 18 {
				q.Class, q.Write = 1, true
			}
			r.Request(r.now, q)
			r.ClientDisconnected(r.now, q.ID)
			if p.refused[q.ID] && q.Tenant == 0 {
				low++
			} else if p.refused[q.ID] && q.Write {
				writes++
			} else if p.refused[q.ID] {
				high++
			}
		}
		if low < c.low || high < c.high || c.low == 0 && low > 0 || c.high == 0 && high > 0 || writes > 0 {
			t.Errorf("%.2f bad: refused %d reads over the share, %d within, %d writes", c.bad, low, high, writes)
		}
	}
}

// Without pressure nothing is refused, whatever the shares.
func TestNothingRefusedUnderNormalLoad(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{1}}
	r, p := newRouter(set, fleet(1, 1))
	for id := uint32(1); id <= 200; id++ {
		r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
		answer(r, p, id, OK, 20*time.Millisecond)
	}
	if len(p.refused)+len(p.failed) != 0 {
		t.Errorf("%d refused, %d failed", len(p.refused), len(p.failed))
	}
}

// Under pressure that refuses reads, a failed read is not retried, because that would add to the overload. A miss still goes on
// to the origin.
func TestNoRetryUnderPressure(t *testing.T) {
	for _, c := range []struct {
		pressure float64
		sends    int
	}{{1.5, 1}, {0.5, 2}} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1))
		r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
		r.pressure = c.pressure
		answer(r, p, 1, TurnedAway, time.Millisecond)
		if len(p.sends) != c.sends || p.refused[1] != (c.sends == 1) {
			t.Errorf("pressure %.1f: %d sends, refused %v", c.pressure, len(p.sends), p.refused[1])
		}
	}
}
