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

// retried gives the Router a request whose first attempt ends with a status, and reports whether a second attempt was made. If
// not, the request must get its final answer at once.
func retried(t *testing.T, r *Router, p *recorder, id uint32, st Status) bool {
	t.Helper()
	before := len(p.sends)
	r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
	answer(r, p, id, st, time.Millisecond)
	if len(p.sends) == before+2 {
		answer(r, p, id, OK, time.Millisecond)
		return true
	}
	if !p.refused[id] {
		t.Fatalf("request %d: out of budget, but neither retried nor refused at once", id)
	}
	return false
}

// The budget is exact at the edges of its window: an attempt counts until the window has passed completely, a request only while
// less than the window has passed.
func TestBudgetEdges(t *testing.T) {
	const window = time.Second
	r, p := budgetRouter(2, 0, window)
	start := r.now
	for id, want := range []bool{true, true, false} {
		if retried(t, r, p, uint32(id+1), ConnectFailed) != want {
			t.Fatalf("attempt %d of a budget of 2: want %v", id+1, want)
		}
	}
	if r.now = start + window; retried(t, r, p, 11, ConnectFailed) {
		t.Error("an attempt exactly a window old no longer counted")
	}
	if r.now = start + window + 1; !retried(t, r, p, 12, ConnectFailed) {
		t.Error("an attempt more than a window old still counted")
	}

	r, p = budgetRouter(0, 0.5, window) // two requests permit one retry
	start = r.now
	if retried(t, r, p, 1, ConnectFailed) {
		t.Error("one request permitted a retry at half a retry for each request")
	}
	r.now = start + window // the first request no longer counts
	if retried(t, r, p, 2, ConnectFailed) {
		t.Error("a request exactly a window old still counted")
	}
	if r.now += window / 2; !retried(t, r, p, 3, ConnectFailed) {
		t.Error("two requests within the window permitted no retry")
	}
}

// Attempts that a miss permits and attempts that were never sent don't count against the budget. Requests that are refused on
// arrival count as received. Odd settings do no harm: a window of 0 means no budget, and negative values leave none.
func TestBudgetExceptions(t *testing.T) {
	r, p := budgetRouter(0, 0, time.Second)
	if !retried(t, r, p, 1, Miss) || retried(t, r, p, 2, ConnectFailed) {
		t.Error("want an attempt after a miss and none after a failure")
	}
	r, p = budgetRouter(1, 0, time.Second)
	r.Request(r.now, Request{ID: 1, Key: 1, Remaining: time.Second})
	answer(r, p, 1, ConnectFailed, 0)
	answer(r, p, 1, NotSent, 0)
	if len(p.sends) != 3 {
		t.Errorf("%d sends: an attempt that was never sent counted", len(p.sends))
	}
	r, p = budgetRouter(0, 0.5, time.Second)
	r.pressure = 2
	r.Request(r.now, Request{ID: 1, Key: 1, Remaining: time.Second})
	if r.pressure = 0; !p.refused[1] || !retried(t, r, p, 2, ConnectFailed) {
		t.Error("a request refused on arrival did not count as received")
	}
	for _, c := range []struct {
		free, ratio float64
		window      time.Duration
		want        bool
	}{{0, 0, 0, true}, {-3, 7, 0, true}, {-3, -1, time.Second, false}, {0, 7, time.Second, true}} {
		r, p := budgetRouter(c.free, c.ratio, c.window)
		if retried(t, r, p, 1, ConnectFailed) != c.want {
			t.Errorf("free %v, ratio %v, window %v: want %v", c.free, c.ratio, c.window, c.want)
		}
	}
}

// An attempt is not cancelled for the sake of a retry if the budget has no room for that retry.
func TestNoUselessCancel(t *testing.T) {
	r, p := budgetRouter(0, 0, time.Second)
	r.usualLatency[0] = 0.03
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	for i := 0; i < 60; i++ {
		r.Timer(r.now+sweepInterval, tokenSweep)
	}
	if len(p.cancels) != 0 || len(p.sends) != 1 {
		t.Errorf("%d cancels and %d sends without any budget, want 0 and 1", len(p.cancels), len(p.sends))
	}
}

// However many routers there are, and however often they restart, each keeps within its own budget over any window while servers
// come and go, and the budget is used.
func TestBudgetAtAnyScale(t *testing.T) {
	for _, n := range []int{2, 60, 600} {
		set := testSettings()
		set.BudgetFree, set.BudgetRatio, set.BudgetWindow = 2, 0.1, 2*time.Second
		group := newRouterGroup(n, set, fleet(1, 1, 1, 1, 1))
		requestTimes, retryTimes := make([][]time.Duration, n), make([][]time.Duration, n)
		retryCount := 0
		for step := 0; step < 12000; step++ {
			group.now += time.Second / 600
			i := int(mix(uint64(step)) % uint64(n))
			if step%500 == 499 { // this one restarts without any knowledge
				set.RouterCount = n
				group.proxies[i] = newRecorder()
				group.routers[i] = New(group.now, set, uint64(step), group.proxies[i])
				group.routers[i].UpdateServers(group.now, ListFull, fleet(1, 1, 1, 1, 1))
				requestTimes[i], retryTimes[i] = nil, nil
			}
			group.routers[i].Timer(group.now, tokenSweep)
			requestTimes[i] = append(requestTimes[i], group.now)
			id, to := group.request(i, uint64(step), 0)
			if to == 0 {
				continue
			}
			group.answer(i, id, to, ConnectFailed, time.Millisecond)
			if len(group.proxies[i].sends) < 2 {
				continue
			}
			retryCount++
			retryTimes[i] = append(retryTimes[i], group.now)
			requestsInWindow, retriesInWindow :=
				dropBefore(requestTimes[i], group.now-set.BudgetWindow+1), dropBefore(retryTimes[i], group.now-set.BudgetWindow)
			if float64(len(retriesInWindow)) > 2+0.1*float64(len(requestsInWindow)) {
				t.Fatalf("%d routers: %d retries for %d requests", n, len(retriesInWindow), len(requestsInWindow))
			}
			group.routers[i].Outcome(group.now, Outcome{Request: id, Attempt: 1, Server: group.proxies[i].sends[1].server, Status: OK,
				Latency: time.Millisecond, Closed: true})
		}
		if retryCount < 500 {
			t.Errorf("%d routers: only %d retries for 12000 requests: the budget is not used", n, retryCount)
		}
	}
}

// If only a listed drain forbids sending, a server that left the list without one keeps its keys while it answers and loses them
// at its first failure. A server that was draining loses them at once.
func TestRemovalNotBinding(t *testing.T) {
	set := testSettings()
	set.AbsenceAllowsSending = true
	for _, full := range []bool{true, false} {
		list := fleet(1, 1, 1)
		r, p := newRouter(set, list)
		home := r.homeOf(5)
		leaveList := func() {
			if full {
				r.UpdateServers(r.now, ListFull, without(list, home))
			} else {
				r.UpdateServers(r.now, ListDelta, []Server{{ID: home, Phase: Removed}})
			}
		}
		leaveList()
		r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
		if answer(r, p, 1, OK, time.Millisecond); p.last().server != home {
			t.Fatal("a server that left the list and still answers lost its keys")
		}
		r.Request(r.now, Request{ID: 2, Key: 5, Remaining: time.Second})
		answer(r, p, 2, ConnectFailed, time.Millisecond)
		if r.homeOf(5) == home {
			t.Error("a server that left the list and failed is still used")
		}
		r.UpdateServers(r.now, ListFull, list)
		draining := list[home-1]
		draining.Phase = Draining
		r.UpdateServers(r.now, ListDelta, []Server{draining})
		leaveList()
		if r.homeOf(5) == home {
			t.Error("a draining server is used again once it has left the list")
		}
	}
}

func without(list []Server, id uint32) (rest []Server) {
	for _, s := range list {
		if s.ID != id {
			rest = append(rest, s)
		}
	}
	return rest
}

// singleAnswerRecorder is a recorder that fails the test if a request gets a second final answer.
type singleAnswerRecorder struct {
	*recorder
	t *testing.T
}

func (o singleAnswerRecorder) final(id uint32) {
	if o.refused[id] || o.failed[id] {
		o.t.Fatalf("request %d answered twice", id)
	}
}
func (o singleAnswerRecorder) Refuse(id uint32, d time.Duration) {
	o.final(id)
	o.recorder.Refuse(id, d)
}
func (o singleAnswerRecorder) Fail(id uint32) { o.final(id); o.recorder.Fail(id) }

// Odd but legal events: no list, all servers removed, a list that shrinks to a tenth and comes back, start times that go back,
// all servers cold at once, all attempts failing the same way. Each request gets exactly one final answer, the budget holds, and
// nothing panics.
func TestOddEventSequences(t *testing.T) {
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
	lists := [][]Server{full, {}, full[:4], full, alter(func(s *Server) { s.Phase = Removed }), full,
		alter(func(s *Server) { s.Started = 10 * time.Second }), alter(func(s *Server) { s.Started = 90 * time.Second }),
		alter(func(s *Server) { s.Phase = Draining })}
	for _, notBinding := range []bool{false, true} {
		set.AbsenceAllowsSending = notBinding
		for st := OK; st <= Miss; st++ {
			p := singleAnswerRecorder{newRecorder(), t}
			r := New(60*time.Second, set, uint64(st), p)
			id := uint32(0)
			for step, list := range lists {
				r.UpdateServers(r.now, ListFull, list)
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
					if r.requests[id] != nil || st != OK && p.refused[id] == p.failed[id] {
						t.Fatalf("list %d, all attempts end with %d: request %d has no final answer", step, st, id)
					}
					r.Timer(r.now, tokenSweep)
				}
			}
			further := float64(len(dropBefore(r.retryTimes, r.now-set.BudgetWindow)))
			if st != Miss && further > 2+0.05*float64(len(r.requestTimes)) {
				t.Errorf("all attempts end with %d: %v retries in the last window", st, further)
			}
		}
	}
}
