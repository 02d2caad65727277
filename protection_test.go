package hoptiller

import (
	"slices"
	"testing"
	"time"
)

// answer ends the latest attempt of a request with a status.
func answer(r *Router, p *recorder, id uint32, st Status, after time.Duration) {
	n := -1
	var to uint32
	for _, s := range p.sends {
		if s.request == id {
			n, to = n+1, s.server
		}
	}
	r.Outcome(r.now, Outcome{Request: id, Attempt: n, Server: to, Status: st, Latency: after, Closed: st == OK})
}

// Guards against counting cancelled attempts as failures. A server that fails loses nearly all its keys and gets them back once
// it answers, but attempts that the client or the router cancelled say nothing about it.
func TestFailingServerLosesKeys(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	home := r.homeOf(5)
	for id := uint32(1); id <= 3; id++ {
		r.Request(r.now, Request{ID: id, Key: 5, Remaining: time.Second})
		answer(r, p, id, Cancelled, time.Millisecond)
	}
	if h := r.health(r.servers[home]); h != 1 {
		t.Fatalf("cancelled attempts left a health of %.2f", h)
	}
	for id := uint32(11); id <= 50; id++ {
		r.now += 20 * time.Millisecond
		r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
		if s := p.last(); s.request == id && s.server == home {
			r.Outcome(r.now, Outcome{Request: id, Attempt: 0, Server: home, Status: Reset})
		}
		answer(r, p, id, OK, 10*time.Millisecond)
		r.Timer(r.now, tokenSweep)
	}
	if h := r.health(r.servers[home]); h > 0.5 {
		t.Fatalf("with every attempt reset the server's health is %.2f", h)
	}
	r.now += 10 * time.Duration(healthDecay) * time.Second
	if h := r.health(r.servers[home]); h != 1 {
		t.Errorf("long after its failures the health is %.2f", h)
	}
}

// If all servers fail at once, they share the cause and keys keep their homes.
func TestSharedFailureMovesNoKeys(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	home := r.homeOf(5)
	for id := uint32(1); id <= 300; id++ {
		r.now += 20 * time.Millisecond
		r.pressure = 0
		r.Request(r.now, Request{ID: id, Key: uint64(id) * 7919, Remaining: time.Second})
		for n := 0; n < 3 && r.requests[id] != nil; n++ {
			answer(r, p, id, Reset, 10*time.Millisecond)
		}
		r.Timer(r.now, tokenSweep)
	}
	lowest, highest := 1.0, 0.0
	for _, s := range r.caches {
		lowest, highest = min(lowest, r.health(s)), max(highest, r.health(s))
	}
	if lowest < 0.7*highest || r.homeOf(5) != home {
		t.Errorf("failures shared by all servers left health values from %.2f to %.2f", lowest, highest)
	}
}

// Guards against waiting for a server that drops requests without any answer. The router notices the silence, cancels the attempt
// there and sends the request to the next-best server well before the deadline.
func TestAttemptAtSilentServerIsRetried(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	r.usualLatency[0] = 0.03
	home := r.homeOf(5)
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	for i := 0; i < 40 && len(p.cancels) == 0; i++ {
		r.Timer(r.now+sweepInterval, tokenSweep)
	}
	if len(p.cancels) != 1 {
		t.Fatal("silence was not noticed within 400 ms")
	}
	r.Outcome(r.now, Outcome{Request: 1, Attempt: 0, Server: home, Status: Cancelled})
	if r.health(r.servers[home]) == 1 {
		t.Error("a silent server keeps its full health")
	}
	if len(p.sends) != 2 || p.last().server == home {
		t.Errorf("the cancelled request did not go to the next-best server: %v", p.sends)
	}
}

// If attempts can't be cancelled and hedges are allowed, a request at a silent server gets one hedge, and only if other outcomes
// show that the server is unhealthy.
func TestHedgeOnlyAtSilentUnhealthyServer(t *testing.T) {
	set := testSettings()
	set.Hedging, set.AllowsCancel = true, false
	r, p := newRouter(set, fleet(1, 1, 1))
	r.usualLatency[0] = 0.03
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	for i := 0; i < 20; i++ {
		r.Timer(r.now+sweepInterval, tokenSweep)
	}
	for i := 0; i < 20; i++ {
		r.Timer(r.now+sweepInterval, tokenSweep)
	}
	if len(p.sends) != 1 {
		t.Fatal("a hedge was sent though nothing else shows that the server is unhealthy: the request may be the cause")
	}
	s := r.servers[p.last().server]
	s.outcomes, s.badOutcomes, s.outcomesAt = 2, 2, r.now
	r.updateWeights()
	r.Timer(r.now+sweepInterval, tokenSweep)
	if len(p.sends) != 2 || len(p.cancels) != 0 {
		t.Errorf("%d sends and %d cancels at an unhealthy silent server, want a hedge and no cancel", len(p.sends), len(p.cancels))
	}
}

// Guards against a request that crashes one server after another. A reset that no idle connection explains may be caused by the
// request, so after a second one the request is refused with a time to come back. The first one is retried, since connections far
// more often end for other reasons.
func TestSecondResetIsFinal(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	answer(r, p, 1, Reset, 10*time.Millisecond)
	if len(p.sends) != 2 || p.refused[1] {
		t.Errorf("%d sends, refused %v: want a retry after the first reset", len(p.sends), p.refused[1])
	}
	answer(r, p, 1, Reset, 10*time.Millisecond)
	if len(p.sends) != 2 || !p.refused[1] {
		t.Errorf("%d sends, refused %v: want two sends and a refusal at once", len(p.sends), p.refused[1])
	}
	r.Request(r.now, Request{ID: 2, Key: 5, Remaining: time.Second})
	answer(r, p, 2, ConnectFailed, 10*time.Millisecond)
	if p.last().request != 2 || len(p.sends) != 4 {
		t.Error("a request that never ran was not retried")
	}
}

// idBase returns a base for request ids that differs from one time to the next.
func (r *Router) idBase() uint32 { return uint32(r.now/time.Millisecond) * 1000 }

// A key with a large fraction of the reads gets more homes, the same few at all routers, and each home gets a share. Other keys
// keep their homes.
func TestHotKeyGetsMoreHomes(t *testing.T) {
	list := make([]float64, 20)
	for i := range list {
		list[i] = 1
	}
	group := newRouterGroup(60, testSettings(), fleet(list...))
	count := map[uint32]int{}
	for step := 0; step < 6000; step++ {
		group.now += 5 * time.Millisecond
		key, i := uint64(step+100), step%60
		if step/60%10 == 0 { // a tenth of all reads
			key = 5
		}
		id, to := group.request(i, key, 9)
		group.answer(i, id, to, OK, 10*time.Millisecond)
		if home := group.routers[i].homeOf(key); key != 5 && to != home {
			t.Fatalf("key %d went to %d, its home is %d", key, to, home)
		} else if key == 5 && step > 3000 {
			count[to]++
		}
	}
	if len(count) < 4 || len(count) > 10 {
		t.Errorf("a key with a tenth of the reads over 20 servers has %d homes", len(count))
	}
	for id, n := range count {
		if n > 300*2/5 {
			t.Errorf("server %d still gets %d of about 300 reads of the hot key", id, n)
		}
	}
}

// Keys of a server that is far worse than its peers move to other servers, from the first bad outcome if a router sees few
// outcomes there. Faults that all servers share move no keys, and all keys come back in the end.
func TestHealthIsRelativeToPeers(t *testing.T) {
	r, _ := newRouter(testSettings(), fleet(1, 1, 1, 1))
	q := &request{class: &r.settings.Classes[0]}
	reportOutcome := func(s *server, after time.Duration) {
		r.learnPressure(q, &attempt{target: s}, &Outcome{Status: OK, Latency: after})
	}
	reportOutcome(r.caches[0], 450*time.Millisecond)
	if h := r.health(r.caches[0]); h > 0.1 {
		t.Errorf("the first bad outcome in a long time left a health of %.2f", h)
	}
	for i := 0; i < 40; i++ {
		for n, s := range r.caches {
			if r.now += 10 * time.Millisecond; n == 0 {
				reportOutcome(s, 450*time.Millisecond)
			} else {
				reportOutcome(s, 100*time.Millisecond)
			}
		}
	}
	if h := r.health(r.caches[0]); h > 0.15 {
		t.Errorf("health of a slow server is %.2f", h)
	}
	if h := r.health(r.caches[1]); h != 1 {
		t.Errorf("health of a good server is %.2f", h)
	}
	r.now += 5 * time.Minute
	if h := r.health(r.caches[0]); h != 1 {
		t.Errorf("health of a server without outcomes for a long time is %.2f", h)
	}
	for i := 0; i < 200; i++ {
		reportOutcome(r.caches[i%4], 450*time.Millisecond)
	}
	for _, s := range r.caches {
		if h := r.health(s) / r.health(r.caches[0]); h < 0.8 || h > 1.25 {
			t.Errorf("lateness at all servers left health values that differ by a factor of %.2f", h)
		}
	}
}

// Guards against taking dead idle connections for unhealthy servers. After a few losses on idle connections and none on others,
// old idle connections are closed before use and the server keeps its keys. If other connections are lost as often, none is
// closed.
func TestOldIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		newConn Status // how attempts on new connections end
		close   bool
	}{{OK, true}, {ConnectFailed, false}, {Reset, false}} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1))
		home := r.homeOf(5)
		send := func(id uint32, gap time.Duration, st Status) {
			r.now += gap
			r.pressure, p.closedIdle = 0, nil
			r.Request(r.now, Request{ID: id, Key: 5, Class: 2, Write: true, Remaining: time.Second})
			s := p.last()
			if len(p.closedIdle) > 0 && st == Reset {
				st = c.newConn // it used a new connection
			}
			r.now += 5 * time.Millisecond
			r.Outcome(r.now, Outcome{Request: id, Server: s.server, Status: st, Closed: st == OK,
				Latency: map[bool]time.Duration{true: 20 * time.Millisecond, false: time.Millisecond}[st == OK]})
			r.ClientDisconnected(r.now, id)
		}
		for id := uint32(1); id < 20; id += 2 {
			for _, s := range r.caches {
				s.idleSince = 0
			}
			send(id, time.Second, c.newConn)
			send(id+1, 3*time.Second, Reset)
		}
		p.closedIdle = nil
		before := len(p.sends)
		r.now, p.closedIdle = r.now+3*time.Second, nil
		r.Request(r.now, Request{ID: 99, Key: 5, Class: 2, Write: true, Remaining: time.Second})
		if got := len(p.closedIdle) > 0; got != c.close {
			t.Errorf("new connections end in %v: closed %v, want %v", c.newConn, got, c.close)
		}
		if c.close && p.sends[before].server != home {
			t.Error("losses on idle connections cost the server its keys")
		}
	}
}

// Whatever the ranking says, a cold server gets no more than its limit in any window.
func TestColdLimitOverAnyWindow(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{200}}
	list := fleet(1, 1, 1, 1)
	for i := range list {
		list[i].Started = time.Second
	}
	r, p := newRouter(set, list)
	sends := map[uint32][]time.Duration{}
	for id := uint32(1); id <= 6000; id++ {
		r.now += time.Millisecond
		r.Timer(r.now, tokenSweep)
		before := len(p.sends)
		r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
		if len(p.sends) > before {
			sends[p.last().server] = append(sends[p.last().server], r.now)
			answer(r, p, id, OK, 10*time.Millisecond)
		}
	}
	total := 0
	for id, at := range sends {
		total += len(at)
		for i, from := range at {
			n := 0
			for _, x := range at[i:] {
				if x < from+set.CollapseWindow {
					n++
				}
			}
			// The capacity is 200 requests per second over 4 servers, and this router's share is half of that: 25 for each.
			warm := set.ColdCapacity + (1-set.ColdCapacity)*float64(from+set.CollapseWindow-time.Second)/float64(set.WarmUp)
			if allowed := set.OverloadFactor * warm * 25; float64(n) > allowed+2 {
				t.Fatalf("server %d got %d in the second from %v, %.0f are allowed", id, n, from, allowed)
			}
		}
	}
	if total < 50 {
		t.Errorf("only %d sends in all: the limit starves the fleet", total)
	}
}

// A new process of a server starts without anything that was learned about the old one.
func TestRestartResetsServerState(t *testing.T) {
	r, _ := newRouter(testSettings(), fleet(1, 1))
	s := r.servers[1]
	s.outcomes, s.badOutcomes, s.outcomesAt, s.window = 9, 9, r.now, 1
	r.now += time.Second
	again := fleet(1)[0]
	again.Started = r.now
	r.UpdateServers(r.now, ListDelta, []Server{again})
	if r.health(s) != 1 || s.window < 100 {
		t.Errorf("a new process inherits state: %+v", s)
	}
	if f := r.warmUpProgress(s); f > 0.05 {
		t.Errorf("a new process counts with %.2f of its weight", f)
	}
}

// Draining and removed servers get no new requests. Answers that are still in flight from them count.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1))
	home := r.homeOf(5)
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	leaving := fleet(1, 1)[home-1]
	leaving.Phase = Draining
	r.UpdateServers(r.now, ListDelta, []Server{leaving})
	r.Request(r.now, Request{ID: 2, Key: 5, Remaining: time.Second})
	if p.last().server == home {
		t.Error("a draining server got a new request")
	}
	r.Outcome(r.now, Outcome{Request: 1, Server: home, Status: OK, Closed: true})
	if r.servers[home].inFlight != 0 {
		t.Error("the answer from a draining server was not counted")
	}
	r.UpdateServers(r.now, ListFull, nil)
	r.Request(r.now, Request{ID: 3, Key: 5, Remaining: time.Second})
	if !p.refused[3] {
		t.Error("a request is not refused though no server is left")
	}
}

// A client's retry comes with less time left. If late answers are worth nothing and the aim of the first request has passed, the
// retry is refused without an attempt.
func TestLateRetryIsRefused(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateFraction = 0
	r, p := newRouter(set, fleet(1, 1))
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: 900 * time.Millisecond})
	r.Request(r.now, Request{ID: 2, Key: 5, IsRetry: true, Remaining: 400 * time.Millisecond})
	if len(p.sends) != 1 || !p.refused[2] {
		t.Errorf("%d attempts sent; retry refused: %v", len(p.sends), p.refused[2])
	}
}

// If a hundred routers share an origin sized for little traffic, none of them has half of its first window in flight, and yet the
// origin is late for all. Each must cut its window to what it has in flight. Without that, 4,000 caches overloaded their origin
// in the lab until it stopped.
func TestOriginWindowOfMany(t *testing.T) {
	set := testSettings()
	set.CacheAside, set.OriginKind, set.RouterCount, set.MaxAttempts = true, 2, 1, 2
	list := fleet(slices.Repeat([]float64{1}, 101)...)
	list[100].Kind = 2
	r, p := newRouter(set, list)
	id := uint32(0)
	miss := func(n int) (fetched []uint32) {
		for range n {
			id++
			r.Request(r.now, Request{ID: id, Key: mix(uint64(id)), Remaining: time.Second})
			answer(r, p, id, Miss, 5*time.Millisecond)
			if p.last().request == id && p.last().server == 101 {
				fetched = append(fetched, id)
			}
		}
		return fetched
	}
	first := miss(20)
	if len(first) != 20 {
		t.Fatalf("%d of 20 misses are fetched with a window of %d", len(first), int(originWindowPerCache*100))
	}
	r.now += 400 * time.Millisecond
	for _, id := range first {
		answer(r, p, id, OK, 400*time.Millisecond)
	}
	if second := miss(100); len(second) > 40 || len(second) < 10 {
		t.Errorf("%d fetches are in flight after 20 came late", len(second))
	}
}

// If the router fetches, a miss goes to the origin and a write goes straight there. From the first moment on, the origin never
// gets a flood of misses at once. While fetches are late or refused, fewer and fewer are in flight; once they come in time again,
// as many as before. Errors that come at once are no sign of a queue, and one late fetch may be chance.
//
// Guards against a fault found in a lab search: a gate that let only a fraction of the misses through learned too little from so
// few good fetches, and stayed nearly shut for 10 s after a drain at a fifth of the load (behind-rendezvous-1-250).
func TestOriginWindow(t *testing.T) {
	set := testSettings()
	set.CacheAside, set.OriginKind, set.RouterCount, set.MaxAttempts = true, 2, 1, 2
	list := fleet(1, 1, 1, 1)
	list[3].Kind = 2
	r, p := newRouter(set, list)
	id := uint32(0)
	// flood sends n reads at once, which all miss, and returns the ids of those that are fetched.
	flood := func(n int) (fetched []uint32) {
		for range n {
			id++
			r.Request(r.now, Request{ID: id, Key: mix(uint64(id)), Remaining: time.Second})
			answer(r, p, id, Miss, 5*time.Millisecond)
			if p.last().request == id && p.last().server == 4 {
				fetched = append(fetched, id)
			} else if !p.refused[id] {
				t.Fatalf("request %d was neither fetched nor refused at once", id)
			}
		}
		return fetched
	}
	endAll := func(fetched []uint32, st Status, took time.Duration) {
		r.now += took
		for _, id := range fetched {
			answer(r, p, id, st, took)
		}
	}
	first := flood(100)
	if most := originWindowPerCache*3 + 1; len(first) < 4 || float64(len(first)) > most {
		t.Errorf("%d of 100 misses are fetched at once, want 4 to %v", len(first), most)
	}
	r.Request(r.now, Request{ID: 99999, Key: 5, Class: 2, Write: true, Remaining: time.Second})
	if p.last() != (sentAttempt{99999, 4, time.Second}) {
		t.Errorf("a write went to %d, not to the origin", p.last().server)
	}
	answer(r, p, 99999, OK, 5*time.Millisecond)
	endAll(first[1:], OK, 20*time.Millisecond)
	endAll(first[:1], OK, 400*time.Millisecond) // late, but only this one
	second := flood(100)
	if len(second) < len(first)-2 {
		t.Errorf("after one late fetch %d are in flight, %d before", len(second), len(first))
	}
	endAll(second, ServerError, 5*time.Millisecond)
	r.retryHelpFraction = 1
	if third := flood(100); len(third) < len(second) {
		t.Errorf("after immediate errors %d are in flight, %d before", len(third), len(second))
	} else {
		endAll(third, TurnedAway, 5*time.Millisecond)
	}
	for _, st := range []Status{TurnedAway, Timeout, TurnedAway, Timeout, TurnedAway, Timeout, TurnedAway, Timeout} {
		r.now += time.Second
		endAll(flood(20), st, 400*time.Millisecond)
	}
	if few := flood(20); len(few) > 2 || len(few) == 0 {
		t.Errorf("after many late fetches %d are in flight", len(few))
	} else {
		endAll(few, OK, 20*time.Millisecond)
	}
	rounds := 0
	for fetched := []uint32(nil); len(fetched) < len(first) && rounds < 100; rounds++ {
		fetched = flood(20)
		endAll(fetched, OK, 20*time.Millisecond)
	}
	if rounds > 30 {
		t.Errorf("after %d rounds of 20 ms the recovered origin does not get as many fetches as before", rounds)
	}
}

// Guards against taking slow work for a queue. One late fetch in sixteen must not shrink the window: it has more work to do,
// as writes have. Two late ones in eight must shrink it. At a site where writes take an origin 2.6 times as long as reads, within
// half of their aim, the window had fallen to a third and a tenth of all reads was refused.
func TestSlowWorkKeepsOriginWindow(t *testing.T) {
	set := testSettings()
	set.CacheAside, set.OriginKind, set.RouterCount, set.MaxAttempts = true, 2, 1, 2
	list := fleet(1, 1, 1, 1)
	list[3].Kind = 2
	r, p := newRouter(set, list)
	id := uint32(0)
	fetch := func(write bool, took time.Duration) {
		id++
		class := 0
		if write {
			class = 2
		}
		r.Request(r.now, Request{ID: id, Key: mix(uint64(id)), Class: class, Write: write, Remaining: time.Second})
		if !write {
			answer(r, p, id, Miss, 5*time.Millisecond)
		}
		if p.last() != (sentAttempt{id, 4, time.Second}) {
			t.Fatalf("request %d was not fetched", id)
		}
		r.now += took
		answer(r, p, id, OK, took)
	}
	fetch(false, 20*time.Millisecond)
	before := r.servers[4].window
	for i := range 64 {
		fetch(true, 450*time.Millisecond)
		took := 20 * time.Millisecond
		if i%16 == 0 {
			took = 450 * time.Millisecond
		}
		fetch(false, took)
	}
	if w := r.servers[4].window; w < before {
		t.Errorf("slow writes and one slow read in sixteen took the window from %.1f to %.1f", before, w)
	}
	for range 4 {
		fetch(false, 450*time.Millisecond)
	}
	if w := r.servers[4].window; w >= before {
		t.Errorf("four late reads in a row left the window of %.1f at %.1f", before, w)
	}
}

// A refused client is told to come back while an answer is still worth something, not after the longest wait of the site.
func TestRetryAfterFollowsAim(t *testing.T) {
	for _, c := range []struct{ aim, maxWait, want time.Duration }{
		{600 * time.Millisecond, 2 * time.Second, 150 * time.Millisecond},
		{4 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{600 * time.Millisecond, 0, 0}, // clients follow no wait
	} {
		set := testSettings()
		set.MaxRetryAfter, set.Classes[0].Aim = c.maxWait, c.aim
		r, p := newRouter(set, nil)
		p.retryAfter = -1
		if r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second}); p.retryAfter != c.want {
			t.Errorf("aim %v, at most %v: told to come back after %v, want %v", c.aim, c.maxWait, p.retryAfter, c.want)
		}
	}
}

// The watch is requested at the start and again after each failure, each time after a longer wait.
func TestWatchIsRetried(t *testing.T) {
	set := testSettings()
	set.ListOnRequest, set.FetchListWithin = true, 10*time.Second
	p := newRecorder()
	r := New(time.Second, set, 1, p)
	for i := 1; i <= 4; i++ {
		if len(p.timers) != i {
			t.Fatalf("%d timers after %d failures", len(p.timers), i-1)
		}
		r.Timer(r.now, tokenWatch)
		r.Timer(r.now, tokenWatch) // a spurious timer requests nothing
		if p.watches != i {
			t.Fatalf("%d watches after %d timers", p.watches, i)
		}
		r.UpdateServers(r.now, ListFailed, nil)
	}
	// This list is the last message of a watch that ran beside the failed one, so no watch is left.
	r.UpdateServers(r.now, ListFull, fleet(1))
	r.Timer(r.now, tokenWatch)
	if p.watches != 5 {
		t.Error("no new watch requested though none is left")
	}
	r.UpdateServers(r.now, ListFull, fleet(1))
	r.Timer(r.now, tokenWatch)
	if p.watches != 5 {
		t.Error("another watch requested though one is open")
	}
}

// Odd but legal input must not panic.
func TestOddInput(t *testing.T) {
	p := newRecorder()
	r := New(0, Settings{}, 0, p)
	r.Request(0, Request{ID: 1, Class: 77, Tenant: 99, Remaining: time.Second})
	r.UpdateServers(0, ListFull, nil)
	r.UpdateServers(0, ListDelta, []Server{{ID: 1, Phase: Ready}, {ID: 2, Phase: Removed}})
	r.Request(0, Request{ID: 2, Class: -1, Key: 3})
	r.Request(0, Request{ID: 3, Class: 3, Remaining: time.Second, Write: true})
	r.Request(0, Request{ID: 3, Class: 3, Remaining: time.Second})
	r.Outcome(0, Outcome{Request: 99})
	r.Outcome(0, Outcome{Request: 3, Attempt: 40})
	r.Outcome(0, Outcome{Request: 3, Server: 1, Status: TurnedAway})
	r.StreamStarted(0, 3, 0)
	r.StreamStarted(0, 98, 0)
	r.ClientDisconnected(0, 97)
	r.Timer(0, 1234)
	r.Timer(time.Hour, tokenSweep)
	if !p.refused[1] {
		t.Error("a request without any server was not refused")
	}
}

func BenchmarkDecision(b *testing.B) {
	r, p := newRouter(testSettings(), fleet(1, 2, 1, 2, 1, 2, 1, 2, 1, 2, 1, 2))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := uint32(i)
		r.Request(r.now, Request{ID: id, Key: uint64(i % 1000), Remaining: time.Second})
		r.Outcome(r.now, Outcome{Request: id, Server: p.last().server, Status: OK,
			Latency: 20 * time.Millisecond, Closed: true})
		p.sends = p.sends[:0]
	}
}

// If the score counts late answers, a request that is not answered by its aim is refused just before it. Otherwise a request has
// the client's whole time.
func TestTailFractionEndsRequestsAtAim(t *testing.T) {
	for _, c := range []struct {
		tail    float64
		timeout time.Duration
	}{{0.3, 499 * time.Millisecond}, {0, time.Second}} {
		set := testSettings()
		set.TailFraction = c.tail
		r, p := newRouter(set, fleet(1, 1))
		r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
		if got := p.last().timeout; got != c.timeout {
			t.Errorf("tail fraction %.1f: an attempt has %v, want %v", c.tail, got, c.timeout)
		}
	}
}

// A request without the client's retry mark is a first one, however much time other requests have left: a retry after an
// immediate refusal may have more time left than any first request.
func TestOnlyMarkedRequestsAreRetries(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateFraction = 0
	r, p := newRouter(set, fleet(1, 1))
	r.Request(r.now, Request{ID: 1, Key: 5, IsRetry: true, Remaining: 990 * time.Millisecond})
	r.Request(r.now, Request{ID: 2, Key: 5, Remaining: 600 * time.Millisecond})
	if len(p.sends) != 2 {
		t.Errorf("%d of 2 sent: a first request was taken for a late retry", len(p.sends))
	}
	r.Request(r.now, Request{ID: 3, Key: 5, IsRetry: true, Remaining: 300 * time.Millisecond})
	if !p.refused[3] {
		t.Error("a retry whose aim has passed was sent")
	}
}

// A network path to a zone that is slow or loses requests shows at all servers there. Their weights fall together, none of them
// counts as unhealthy, and nothing is refused because of it. Faults of all zones, or of one server alone, say nothing about a
// path.
func TestBadPathLowersZone(t *testing.T) {
	for _, c := range []struct {
		name    string
		bad     func(*server) bool
		badPath bool
	}{
		{"zone 1", func(s *server) bool { return s.Zone == 1 }, true},
		{"all", func(*server) bool { return true }, false},
		{"server 4", func(s *server) bool { return s.ID == 4 }, false},
	} {
		list := fleet(1, 1, 1, 1, 1, 1)
		for i := range list {
			list[i].Zone = i % 2
		}
		r, p := newRouter(testSettings(), list)
		for id := uint32(1); id <= 120; id++ {
			r.now += 20 * time.Millisecond
			r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
			s := p.last()
			if s.request != id {
				continue
			}
			after := 10 * time.Millisecond
			if c.bad(r.servers[s.server]) {
				after = 450 * time.Millisecond
			}
			answer(r, p, id, OK, after)
			r.Timer(r.now, tokenSweep)
		}
		if badPath := r.pathHealth(1) < 0.7; badPath != c.badPath || r.pathHealth(0) < 1 {
			t.Errorf("%s bad: the paths keep %.2f and %.2f", c.name, r.pathHealth(0), r.pathHealth(1))
		}
		if c.badPath && r.pressure > 0.5 {
			t.Errorf("%s bad: pressure %.2f for a bad path", c.name, r.pressure)
		}
	}
}

// A kind of machine that is clearly slower than its listed weight says gets fewer keys, by the same factor at all routers. Small
// differences, and one slow server among its kind, change nothing.
func TestSlowKindGetsFewerKeys(t *testing.T) {
	for _, c := range []struct {
		slow func(*server) time.Duration
		less bool
	}{
		{func(s *server) time.Duration { return time.Duration(20+40*s.Kind) * time.Millisecond }, true},
		{func(s *server) time.Duration { return time.Duration(20+3*s.Kind) * time.Millisecond }, false},
	} {
		list := fleet(1, 1, 1, 1, 1, 1)
		for i := range list {
			list[i].Kind = i % 2
		}
		r, p := newRouter(testSettings(), list)
		for id := uint32(1); id <= 400; id++ {
			r.now += 20 * time.Millisecond
			r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
			answer(r, p, id, OK, c.slow(r.servers[p.last().server]))
			r.Timer(r.now, tokenSweep)
		}
		if less := r.kindSpeed(1) < 0.5; less != c.less || r.kindSpeed(0) < 1 {
			t.Errorf("kinds keep %.2f and %.2f", r.kindSpeed(0), r.kindSpeed(1))
		}
		if w := r.servers[2].weight / r.servers[1].weight; c.less && w > 0.5 {
			t.Errorf("a server of the slow kind keeps %.2f of the other's weight", w)
		}
	}
}

// Errors that a second server repeats are caused by the request or the origin: they count against no server, and soon the first
// such error is final. Errors that a second server does not repeat are still retried.
func TestErrorsCausedByRequest(t *testing.T) {
	for _, secondAnswers := range []bool{false, true} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1, 1))
		r.badCachedFraction = 1 // errors say nothing about the origin here
		for id := uint32(1); id <= 60; id++ {
			r.now += 100 * time.Millisecond
			r.cachedAt[uint64(id)] = r.now
			r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
			answer(r, p, id, ServerError, 5*time.Millisecond)
			for r.requests[id] != nil {
				st := ServerError
				if secondAnswers {
					st = OK
				}
				answer(r, p, id, st, 5*time.Millisecond)
			}
			r.Timer(r.now, tokenSweep)
		}
		if secondAnswers && len(p.sends) != 120 {
			t.Errorf("%d sends for 60 requests that a second server answers", len(p.sends))
		}
		if !secondAnswers && len(p.sends) > 100 {
			t.Errorf("%d sends for 60 requests that fail everywhere", len(p.sends))
		}
		for _, s := range r.caches {
			if h := r.health(s); !secondAnswers && h < 0.5 {
				t.Errorf("server %d keeps %.2f of its weight though the requests cause the errors", s.ID, h)
			}
		}
	}
}
