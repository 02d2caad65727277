package hoptiller

import (
	"testing"
	"time"
)

// An overload of the whole fleet shows in bad outcomes: a part of the traffic is turned away on
// arrival, that beyond the shares first, and writes not at all.
func TestPressureShedsLowWorthFirst(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{0}} // no allowance: all of tenant 0 is beyond its share
	r, p := newRouter(set, fleet(1, 1))
	r.buckets[0].level = 0
	for _, c := range []struct {
		bad       float64
		low, high int // at least so many refused of 100
	}{{0.05, 0, 0}, {0.2, 90, 0}, {0.9, 90, 90}} {
		for i := 0; i < 60; i++ {
			r.now += 100 * time.Millisecond
			r.bad = c.bad
			r.sweep()
		}
		p.refused = map[uint32]bool{}
		low, high, writes := 0, 0, 0
		for id := uint32(1); id <= 300; id++ {
			q := Request{ID: r.now2() + id, Key: uint64(id), Tenant: int(id%3) * 9, Remaining: time.Second}
			if q.Tenant == 18 {
				q.Class, q.Write = 1, true
			}
			r.Request(r.now, q)
			r.ClientGone(r.now, q.ID)
			if p.refused[q.ID] && q.Tenant == 0 {
				low++
			} else if p.refused[q.ID] && q.Write {
				writes++
			} else if p.refused[q.ID] {
				high++
			}
		}
		if low < c.low || high < c.high || c.low == 0 && low > 0 || c.high == 0 && high > 0 || writes > 0 {
			t.Errorf("%.2f bad: refused %d beyond the share, %d within, %d writes", c.bad, low, high, writes)
		}
	}
}

// Under no pressure nobody is refused, whatever the shares.
func TestNobodyRefusedAtEase(t *testing.T) {
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

// Under pressure that turns reads away, a failed read is not tried again: it would feed the
// overload. A miss still goes on to the origin.
func TestNoFurtherAttemptUnderPressure(t *testing.T) {
	for _, c := range []struct {
		pressure float64
		sends    int
	}{{1.5, 1}, {0.5, 2}} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1))
		r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
		r.pressure = c.pressure
		answer(r, p, 1, Full, time.Millisecond)
		if len(p.sends) != c.sends || p.refused[1] != (c.sends == 1) {
			t.Errorf("pressure %.1f: %d sends, refused %v", c.pressure, len(p.sends), p.refused[1])
		}
	}
}
