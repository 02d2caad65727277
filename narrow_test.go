package hoptiller

import (
	"testing"
	"time"
)

// narrow is a Narrowing as an operator may set one.
type narrow struct {
	servers  []uint32
	timeout  time.Duration
	attempts int
	on       Status
	budget   int
	copies   bool
}

func (n *narrow) Allows(s uint32) bool {
	for _, x := range n.servers {
		if x == s {
			return true
		}
	}
	return len(n.servers) == 0
}
func (n *narrow) Timeout() time.Duration           { return n.timeout }
func (n *narrow) Repeats(calls int, s Status) bool { return calls < n.attempts && s == n.on }
func (n *narrow) Spend(time.Duration) bool         { n.budget--; return n.budget >= 0 }
func (n *narrow) Copies() bool                     { return n.copies }

// An operator's limits take from what the Router does, each for itself; without one in the way it goes on.
func TestNarrowing(t *testing.T) {
	for _, c := range []struct {
		name  string
		n     narrow
		ended Status
		calls int
	}{
		{"all in order", narrow{timeout: time.Minute, attempts: 3, on: Full, budget: 9}, Full, 3},
		{"attempts", narrow{timeout: time.Minute, attempts: 2, on: Full, budget: 9}, Full, 2},
		{"outcome", narrow{timeout: time.Minute, attempts: 3, on: Full, budget: 9}, ConnectFailed, 1},
		{"budget", narrow{timeout: time.Minute, attempts: 3, on: Full, budget: 1}, Full, 2},
		{"pool", narrow{timeout: time.Minute, attempts: 3, on: Full, budget: 9, servers: []uint32{2}}, Full, 3},
		{"empty pool", narrow{timeout: time.Minute, attempts: 3, on: Full, budget: 9, servers: []uint32{9}}, Full, 0},
	} {
		set := testSettings()
		set.MaxAttempts = 5
		r, p := newRouter(set, fleet(1, 1, 1, 1))
		n := c.n
		r.Request(0, Request{ID: 1, Key: 7, Remaining: 400 * time.Millisecond, Narrow: &n})
		calls := 0
		for ; !p.refused[1] && calls < 9; calls++ {
			if to := p.last(); !n.Allows(to.server) || to.timeout > 400*time.Millisecond {
				t.Errorf("%s: sent %+v", c.name, to)
			}
			answer(r, p, 1, c.ended, time.Millisecond)
		}
		if calls != c.calls {
			t.Errorf("%s: %d calls, not %d", c.name, calls, c.calls)
		}
	}
	r, p := newRouter(testSettings(), fleet(1, 1))
	r.Request(0, Request{ID: 1, Key: 7, Remaining: 400 * time.Millisecond, Narrow: &narrow{timeout: 30 * time.Millisecond}})
	if p.last().timeout != 30*time.Millisecond {
		t.Errorf("%+v", p.last())
	}
}

// What follows a miss is no repeat: the fetch goes out though nothing may be repeated, and to an origin outside the pool.
func TestNarrowingAndMiss(t *testing.T) {
	set := testSettings()
	set.Aside, set.OriginKind, set.MaxAttempts = true, 2, 3
	list := fleet(1, 1, 1)
	list[2].Kind = 2
	r, p := newRouter(set, list)
	n := &narrow{timeout: time.Second, attempts: 1, servers: []uint32{1}}
	r.Request(0, Request{ID: 1, Key: 7, Remaining: time.Second, Narrow: n})
	if answer(r, p, 1, Miss, time.Millisecond); p.last().server != 3 {
		t.Fatalf("%+v", p.last())
	}
	if answer(r, p, 1, Full, time.Millisecond); !p.refused[1] || n.budget != 0 {
		t.Errorf("a fetch was repeated, or paid for: %+v", n)
	}
}
