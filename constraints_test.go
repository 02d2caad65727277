package hoptiller

import (
	"testing"
	"time"
)

// testConstraints is a Constraints with fixed values.
type testConstraints struct {
	servers  []uint32
	timeout  time.Duration
	attempts int
	retryOn  Status
	budget   int
	hedges   bool
}

func (n *testConstraints) Allows(s uint32) bool {
	for _, x := range n.servers {
		if x == s {
			return true
		}
	}
	return len(n.servers) == 0
}
func (n *testConstraints) Timeout() time.Duration { return n.timeout }
func (n *testConstraints) AllowsRetry(calls int, s Status) bool {
	return calls < n.attempts && s == n.retryOn
}
func (n *testConstraints) TakeRetry(time.Duration) bool { n.budget--; return n.budget >= 0 }
func (n *testConstraints) AllowsHedge() bool            { return n.hedges }

// Each constraint of an operator limits what the Router does, independently of the others. Within them the Router goes on as
// usual.
func TestConstraints(t *testing.T) {
	for _, c := range []struct {
		name  string
		n     testConstraints
		ended Status
		calls int
	}{
		{"no limit reached", testConstraints{timeout: time.Minute, attempts: 3, retryOn: TurnedAway, budget: 9}, TurnedAway, 3},
		{"attempts", testConstraints{timeout: time.Minute, attempts: 2, retryOn: TurnedAway, budget: 9}, TurnedAway, 2},
		{"outcome", testConstraints{timeout: time.Minute, attempts: 3, retryOn: TurnedAway, budget: 9}, ConnectFailed, 1},
		{"budget", testConstraints{timeout: time.Minute, attempts: 3, retryOn: TurnedAway, budget: 1}, TurnedAway, 2},
		{"pool", testConstraints{timeout: time.Minute, attempts: 3, retryOn: TurnedAway, budget: 9, servers: []uint32{2}}, TurnedAway, 3},
		{"empty pool", testConstraints{timeout: time.Minute, attempts: 3, retryOn: TurnedAway, budget: 9, servers: []uint32{9}}, TurnedAway, 0},
	} {
		set := testSettings()
		set.MaxAttempts = 5
		r, p := newRouter(set, fleet(1, 1, 1, 1))
		n := c.n
		r.Request(0, Request{ID: 1, Key: 7, Remaining: 400 * time.Millisecond, Constraints: &n})
		calls := 0
		for ; !p.refused[1] && calls < 9; calls++ {
			if to := p.last(); !n.Allows(to.server) || to.timeout > 400*time.Millisecond {
				t.Errorf("%s: sent %+v", c.name, to)
			}
			answer(r, p, 1, c.ended, time.Millisecond)
		}
		if calls != c.calls {
			t.Errorf("%s: %d attempts, want %d", c.name, calls, c.calls)
		}
	}
	r, p := newRouter(testSettings(), fleet(1, 1))
	r.Request(0, Request{ID: 1, Key: 7, Remaining: 400 * time.Millisecond, Constraints: &testConstraints{timeout: 30 * time.Millisecond}})
	if p.last().timeout != 30*time.Millisecond {
		t.Errorf("sent %+v, want a timeout of 30ms", p.last())
	}
}

// An attempt that follows a miss is no retry: the fetch is made although no retry is allowed, and although the origin is not
// among the allowed servers.
func TestConstraintsAfterMiss(t *testing.T) {
	set := testSettings()
	set.CacheAside, set.OriginKind, set.MaxAttempts = true, 2, 3
	list := fleet(1, 1, 1)
	list[2].Kind = 2
	r, p := newRouter(set, list)
	n := &testConstraints{timeout: time.Second, attempts: 1, servers: []uint32{1}}
	r.Request(0, Request{ID: 1, Key: 7, Remaining: time.Second, Constraints: n})
	if answer(r, p, 1, Miss, time.Millisecond); p.last().server != 3 {
		t.Fatalf("after a miss sent %+v, want a fetch from server 3", p.last())
	}
	if answer(r, p, 1, TurnedAway, time.Millisecond); !p.refused[1] || n.budget != 0 {
		t.Errorf("a fetch was retried or taken from the budget: %+v", n)
	}
}
