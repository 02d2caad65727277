package hoptiller

import (
	"testing"
	"time"
)

func budgetRouter(free, ratio float64, window time.Duration) (*Router, *recorder) {
	set := testSettings()
	set.BudgetFree, set.BudgetRatio, set.BudgetWindow = free, ratio, window
	return newRouter(set, fleet(1, 1, 1))
}

// further gives a request whose first attempt ends so, and tells whether a second one was made. One
// that was not must have its final answer at once.
func further(t *testing.T, r *Router, p *recorder, id uint32, st Status) bool {
	t.Helper()
	before := len(p.sends)
	r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
	answer(r, p, id, st, time.Millisecond)
	if len(p.sends) == before+2 {
		answer(r, p, id, OK, time.Millisecond)
		return true
	}
	if !p.refused[id] {
		t.Fatalf("request %d: out of budget and neither sent on nor refused at once", id)
	}
	return false
}

// The budget is exact at the edges of its window: an attempt counts until the whole window has
// passed, a request only while less than it has.
func TestBudgetEdges(t *testing.T) {
	const window = time.Second
	r, p := budgetRouter(2, 0, window)
	start := r.now
	for id, want := range []bool{true, true, false} {
		if further(t, r, p, uint32(id+1), ConnectFailed) != want {
			t.Fatalf("attempt %d of a budget of 2: want %v", id+1, want)
		}
	}
	if r.now = start + window; further(t, r, p, 11, ConnectFailed) {
		t.Error("an attempt exactly a window old no longer counted")
	}
	if r.now = start + window + 1; !further(t, r, p, 12, ConnectFailed) {
		t.Error("an attempt more than a window old still counted")
	}

	r, p = budgetRouter(0, 0.5, window) // two requests carry one attempt
	start = r.now
	if further(t, r, p, 1, ConnectFailed) {
		t.Error("one request carried a further attempt at half an attempt for each")
	}
	r.now = start + window // the first request no longer counts
	if further(t, r, p, 2, ConnectFailed) {
		t.Error("a request exactly a window old still counted")
	}
	if r.now += window / 2; !further(t, r, p, 3, ConnectFailed) {
		t.Error("two requests within the window carried no further attempt")
	}
}

// What a miss grants and what was never sent are outside the count; what is refused on arrival counts
// as taken. Odd figures do no harm: none stated is no budget, a negative one is none left.
func TestBudgetExceptions(t *testing.T) {
	r, p := budgetRouter(0, 0, time.Second)
	if !further(t, r, p, 1, Miss) || further(t, r, p, 2, ConnectFailed) {
		t.Error("a miss grants an attempt, a failure does not")
	}
	r, p = budgetRouter(1, 0, time.Second)
	r.Request(r.now, Request{ID: 1, Key: 1, Remaining: time.Second})
	answer(r, p, 1, ConnectFailed, 0)
	answer(r, p, 1, Moot, 0)
	if len(p.sends) != 3 {
		t.Errorf("%d sends: an attempt that was never sent counted", len(p.sends))
	}
	r, p = budgetRouter(0, 0.5, time.Second)
	r.pressure = 2
	r.Request(r.now, Request{ID: 1, Key: 1, Remaining: time.Second})
	if r.pressure = 0; !p.refused[1] || !further(t, r, p, 2, ConnectFailed) {
		t.Error("a request refused on arrival did not count as taken")
	}
	for _, c := range []struct {
		free, ratio float64
		window      time.Duration
		want        bool
	}{{0, 0, 0, true}, {-3, 7, 0, true}, {-3, -1, time.Second, false}, {0, 7, time.Second, true}} {
		r, p := budgetRouter(c.free, c.ratio, c.window)
		if further(t, r, p, 1, ConnectFailed) != c.want {
			t.Errorf("free %v, ratio %v, window %v: want %v", c.free, c.ratio, c.window, c.want)
		}
	}
}

// A withdrawal that only serves to send again is not made when the budget has no room for that.
func TestNoUselessWithdrawal(t *testing.T) {
	r, p := budgetRouter(0, 0, time.Second)
	r.usual[0] = 0.03
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	for i := 0; i < 60; i++ {
		r.Timer(r.now+sweepTick, tokSweep)
	}
	if len(p.cancels) != 0 || len(p.sends) != 1 {
		t.Errorf("%d cancels and %d sends without any budget", len(p.cancels), len(p.sends))
	}
}

// However many instances there are, and however often they start anew, each keeps its own budget
// over any window while servers come and go; and it is used, not hoarded.
func TestBudgetAtAnyScale(t *testing.T) {
	for _, n := range []int{2, 60, 600} {
		set := testSettings()
		set.BudgetFree, set.BudgetRatio, set.BudgetWindow = 2, 0.1, 2*time.Second
		c := newCrowd(n, set, fleet(1, 1, 1, 1, 1))
		taken, tried := make([][]time.Duration, n), make([][]time.Duration, n)
		all := 0
		for step := 0; step < 12000; step++ {
			c.now += time.Second / 600
			i := int(mix(uint64(step)) % uint64(n))
			if step%500 == 499 { // this one starts anew and knows nothing
				set.Balancers = n
				c.proxies[i] = newRecorder()
				c.routers[i] = New(c.now, set, uint64(step), c.proxies[i])
				c.routers[i].List(c.now, ListFull, fleet(1, 1, 1, 1, 1))
				taken[i], tried[i] = nil, nil
			}
			c.routers[i].Timer(c.now, tokSweep)
			taken[i] = append(taken[i], c.now)
			id, to := c.request(i, uint64(step), 0)
			if to == 0 {
				continue
			}
			c.answer(i, id, to, ConnectFailed, time.Millisecond)
			if len(c.proxies[i].sends) < 2 {
				continue
			}
			all++
			tried[i] = append(tried[i], c.now)
			inTaken, inTried := since(taken[i], c.now-set.BudgetWindow+1), since(tried[i], c.now-set.BudgetWindow)
			if float64(len(inTried)) > 2+0.1*float64(len(inTaken)) {
				t.Fatalf("%d instances: %d further attempts where %d were taken", n, len(inTried), len(inTaken))
			}
			c.routers[i].Outcome(c.now, Outcome{Request: id, Attempt: 1, Server: c.proxies[i].sends[1].server, Status: OK,
				Latency: time.Millisecond, Closed: true})
		}
		if all < 500 {
			t.Errorf("%d instances: only %d further attempts of 12000 requests: the budget is not used", n, all)
		}
	}
}

// Where removal binds no one, a server that left the list without a drain keeps its keys while it
// answers, and is left at its first failure; one that was told to drain is left at once.
func TestRemovalNotBinding(t *testing.T) {
	set := testSettings()
	set.RemovalNotBinding = true
	for _, full := range []bool{true, false} {
		list := fleet(1, 1, 1)
		r, p := newRouter(set, list)
		home := r.homeOf(5)
		leave := func() {
			if full {
				r.List(r.now, ListFull, slicesWithout(list, home))
			} else {
				r.List(r.now, ListDelta, []Server{{ID: home, Phase: Gone}})
			}
		}
		leave()
		r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
		if answer(r, p, 1, OK, time.Millisecond); p.last().server != home {
			t.Fatal("a server that left the list and answers was left")
		}
		r.Request(r.now, Request{ID: 2, Key: 5, Remaining: time.Second})
		answer(r, p, 2, ConnectFailed, time.Millisecond)
		if r.homeOf(5) == home {
			t.Error("a server that left the list and failed is still used")
		}
		r.List(r.now, ListFull, list)
		draining := list[home-1]
		draining.Phase = Draining
		r.List(r.now, ListDelta, []Server{draining})
		leave()
		if r.homeOf(5) == home {
			t.Error("a server that was told to drain is used again once it is gone")
		}
	}
}

func slicesWithout(list []Server, id uint32) (rest []Server) {
	for _, s := range list {
		if s.ID != id {
			rest = append(rest, s)
		}
	}
	return rest
}

// once is a recorder that fails the test when a request gets a second final answer.
type once struct {
	*recorder
	t *testing.T
}

func (o once) final(id uint32) {
	if o.refused[id] || o.failed[id] {
		o.t.Fatalf("request %d answered twice", id)
	}
}
func (o once) Refuse(id uint32, d time.Duration) { o.final(id); o.recorder.Refuse(id, d) }
func (o once) Fail(id uint32)                    { o.final(id); o.recorder.Fail(id) }

// Odd but legal days: no list, all gone, a list that shrinks to a tenth and comes back, start times
// that go back, all servers cold at once, every attempt failing in one way. Each request has exactly
// one final answer, the budget holds, and nothing panics.
func TestOddDays(t *testing.T) {
	set := testSettings()
	set.BudgetFree, set.BudgetRatio, set.BudgetWindow = 2, 0.05, time.Second
	set.MaxRetryAfter = 500 * time.Millisecond
	full := make([]Server, 40)
	for i := range full {
		full[i] = Server{ID: uint32(i + 1), Phase: Ready, Zone: i % 3, Kind: i % 2, Started: 30 * time.Second}
	}
	alter := func(f func(*Server)) []Server {
		list := append([]Server(nil), full...)
		for i := range list {
			f(&list[i])
		}
		return list
	}
	lists := [][]Server{full, {}, full[:4], full, alter(func(s *Server) { s.Phase = Gone }), full,
		alter(func(s *Server) { s.Started = 10 * time.Second }), alter(func(s *Server) { s.Started = 90 * time.Second }),
		alter(func(s *Server) { s.Phase = Draining })}
	for _, notBinding := range []bool{false, true} {
		set.RemovalNotBinding = notBinding
		for st := OK; st <= Miss; st++ {
			p := once{newRecorder(), t}
			r := New(60*time.Second, set, uint64(st), p)
			id := uint32(0)
			for step, list := range lists {
				r.List(r.now, ListFull, list)
				for i := 0; i < 80; i++ {
					id++
					r.now += 5 * time.Millisecond
					before := len(p.sends)
					r.Request(r.now, Request{ID: id, Key: uint64(i), Class: i % 4, Tenant: -1, Write: i%4 > 0, Remaining: time.Second})
					for n := 0; len(p.sends) > before; n++ {
						to := p.sends[before].server
						before++
						r.Outcome(r.now, Outcome{Request: id, Attempt: n, Server: to, Status: st, Closed: st == OK})
					}
					if r.reqs[id] != nil || st != OK && p.refused[id] == p.failed[id] {
						t.Fatalf("list %d, all attempts end with %d: request %d has no final answer", step, st, id)
					}
					r.Timer(r.now, tokSweep)
				}
			}
			further := float64(len(since(r.further, r.now-set.BudgetWindow)))
			if st != Miss && further > 2+0.05*float64(len(r.taken)) {
				t.Errorf("all attempts end with %d: %v further attempts in the last window", st, further)
			}
		}
	}
}
