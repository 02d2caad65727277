package hoptiller

import (
	"slices"
	"testing"
	"time"
)

// answer ends the latest attempt of a request.
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

// A server that fails loses nearly all its keys, and gets them back once it answers. Failures
// that the client or an own cancel caused do not count.
func TestFailuresTakeKeys(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	home := r.homeOf(5)
	for id := uint32(1); id <= 3; id++ {
		r.Request(r.now, Request{ID: id, Key: 5, Remaining: time.Second})
		answer(r, p, id, Cancelled, time.Millisecond)
	}
	if h := r.health(r.known[home]); h != 1 {
		t.Fatalf("own cancels left a health of %.2f", h)
	}
	for id := uint32(11); id <= 50; id++ {
		r.now += 20 * time.Millisecond
		r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
		if s := p.last(); s.request == id && s.server == home {
			r.Outcome(r.now, Outcome{Request: id, Attempt: 0, Server: home, Status: Reset})
		}
		answer(r, p, id, OK, 10*time.Millisecond)
		r.Timer(r.now, tokSweep)
	}
	if h := r.health(r.known[home]); h > 0.5 {
		t.Fatalf("with every attempt reset the server's health is %.2f", h)
	}
	r.now += 10 * time.Duration(healthFade) * time.Second
	if h := r.health(r.known[home]); h != 1 {
		t.Errorf("long after its failures the health is %.2f", h)
	}
}

// If all fails at once the cause is shared: keys keep their homes.
func TestSharedFailureMovesNothing(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	home := r.homeOf(5)
	for id := uint32(1); id <= 300; id++ {
		r.now += 20 * time.Millisecond
		r.pressure = 0
		r.Request(r.now, Request{ID: id, Key: uint64(id) * 7919, Remaining: time.Second})
		for n := 0; n < 3 && r.reqs[id] != nil; n++ {
			answer(r, p, id, Reset, 10*time.Millisecond)
		}
		r.Timer(r.now, tokSweep)
	}
	least, most := 1.0, 0.0
	for _, s := range r.caches {
		least, most = min(least, r.health(s)), max(most, r.health(s))
	}
	if least < 0.7*most || r.homeOf(5) != home {
		t.Errorf("failures that all servers share left healths from %.2f to %.2f", least, most)
	}
}

// A server that drops what it gets without a word is found by its silence, and what is out
// there is withdrawn and goes to the next-best well before the deadline.
func TestSilenceIsRescued(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	r.usual[0] = 0.03
	home := r.homeOf(5)
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	for i := 0; i < 40 && len(p.cancels) == 0; i++ {
		r.Timer(r.now+sweepTick, tokSweep)
	}
	if len(p.cancels) != 1 {
		t.Fatal("silence was not noticed within 400 ms")
	}
	r.Outcome(r.now, Outcome{Request: 1, Attempt: 0, Server: home, Status: Cancelled})
	if r.health(r.known[home]) == 1 {
		t.Error("a silent server keeps its full health")
	}
	if len(p.sends) != 2 || p.last().server == home {
		t.Errorf("the withdrawn request did not go to the next-best: %v", p.sends)
	}
}

// Where nothing can be withdrawn and second copies are allowed, work at a silent server gets one, and only one at a time.
func TestSecondCopyOnlyForSilence(t *testing.T) {
	set := testSettings()
	set.SecondCopies, set.MayCancel = true, false
	r, p := newRouter(set, fleet(1, 1, 1))
	r.usual[0] = 0.03
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	for i := 0; i < 20; i++ {
		r.Timer(r.now+sweepTick, tokSweep)
	}
	for i := 0; i < 20; i++ {
		r.Timer(r.now+sweepTick, tokSweep)
	}
	if len(p.sends) != 1 {
		t.Fatal("a copy went out though nothing else shows the server sick: the request may be the trouble")
	}
	s := r.known[p.last().server]
	s.seen, s.sick, s.seenAt = 2, 2, r.now
	r.weigh()
	r.Timer(r.now+sweepTick, tokSweep)
	if len(p.sends) != 2 || len(p.cancels) != 0 {
		t.Errorf("%d sends and %d cancels at a sick silent server, want a copy and no cancel", len(p.sends), len(p.cancels))
	}
}

// A reset that no idle connection explains may be the request's own doing, and each attempt bring down
// another server: the second is the last attempt, and the refusal tells when to come back. The first is
// repeated, since connections end for reasons of their own far more often.
func TestResetIsFinal(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1, 1))
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	answer(r, p, 1, Reset, 10*time.Millisecond)
	if len(p.sends) != 2 || p.refused[1] {
		t.Errorf("%d sends, refused %v: want the first reset repeated", len(p.sends), p.refused[1])
	}
	answer(r, p, 1, Reset, 10*time.Millisecond)
	if len(p.sends) != 2 || !p.refused[1] {
		t.Errorf("%d sends, refused %v: want two sends and a refusal at once", len(p.sends), p.refused[1])
	}
	r.Request(r.now, Request{ID: 2, Key: 5, Remaining: time.Second})
	answer(r, p, 2, ConnectFailed, 10*time.Millisecond)
	if p.last().request != 2 || len(p.sends) != 4 {
		t.Error("a request that never ran was not sent on")
	}
}

// now2 makes request ids that differ from one moment to the next.
func (r *Router) now2() uint32 { return uint32(r.now/time.Millisecond) * 1000 }

// A key that makes up much of the reads gets more homes, the same few at all instances, each
// with its part; other keys keep theirs.
func TestHotKeyGetsMoreHomes(t *testing.T) {
	list := make([]float64, 20)
	for i := range list {
		list[i] = 1
	}
	c := newCrowd(60, testSettings(), fleet(list...))
	count := map[uint32]int{}
	for step := 0; step < 6000; step++ {
		c.now += 5 * time.Millisecond
		key, i := uint64(step+100), step%60
		if step/60%10 == 0 { // a tenth of all reads
			key = 5
		}
		id, to := c.request(i, key, 9)
		c.answer(i, id, to, OK, 10*time.Millisecond)
		if home := c.routers[i].homeOf(key); key != 5 && to != home {
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

// Keys of a server that is bad far beyond its peers pass on, from the first outcomes where an
// instance sees few of them; what all servers share moves none, and all of it comes back.
func TestHealthFollowsPeers(t *testing.T) {
	r, _ := newRouter(testSettings(), fleet(1, 1, 1, 1))
	q := &request{class: &r.set.Classes[0]}
	report := func(s *server, after time.Duration) {
		r.learnPressure(q, &attempt{to: s}, &Outcome{Status: OK, Latency: after})
	}
	report(r.caches[0], 450*time.Millisecond)
	if h := r.health(r.caches[0]); h > 0.1 {
		t.Errorf("the first bad outcome in a long time left a health of %.2f", h)
	}
	for i := 0; i < 40; i++ {
		for n, s := range r.caches {
			if r.now += 10 * time.Millisecond; n == 0 {
				report(s, 450*time.Millisecond)
			} else {
				report(s, 100*time.Millisecond)
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
		t.Errorf("health of a server long unseen is %.2f", h)
	}
	for i := 0; i < 200; i++ {
		report(r.caches[i%4], 450*time.Millisecond)
	}
	for _, s := range r.caches {
		if h := r.health(s) / r.health(r.caches[0]); h < 0.8 || h > 1.25 {
			t.Errorf("lateness that is shared left healths that differ by %.2f", h)
		}
	}
}

// Connections that are dropped unseen while idle are told from sick servers: after a few losses
// on idle ones, with none on others, old ones are closed before they are used, and the server
// keeps its keys. Where others are lost as often, nothing is closed.
func TestIdleConnectionsAreFreshened(t *testing.T) {
	for _, c := range []struct {
		fresh Status // what comes of attempts on new connections
		close bool
	}{{OK, true}, {ConnectFailed, false}, {Reset, false}} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1))
		home := r.homeOf(5)
		try := func(id uint32, gap time.Duration, st Status) {
			r.now += gap
			r.pressure, p.closed = 0, nil
			r.Request(r.now, Request{ID: id, Key: 5, Class: 2, Write: true, Remaining: time.Second})
			s := p.last()
			if len(p.closed) > 0 && st == Reset {
				st = c.fresh // it went out on a new connection
			}
			r.now += 5 * time.Millisecond
			r.Outcome(r.now, Outcome{Request: id, Server: s.server, Status: st, Closed: st == OK,
				Latency: map[bool]time.Duration{true: 20 * time.Millisecond, false: time.Millisecond}[st == OK]})
			r.ClientGone(r.now, id)
		}
		for id := uint32(1); id < 20; id += 2 {
			for _, s := range r.caches {
				s.idleAt = 0
			}
			try(id, time.Second, c.fresh)
			try(id+1, 3*time.Second, Reset)
		}
		p.closed = nil
		before := len(p.sends)
		r.now, p.closed = r.now+3*time.Second, nil
		r.Request(r.now, Request{ID: 99, Key: 5, Class: 2, Write: true, Remaining: time.Second})
		if got := len(p.closed) > 0; got != c.close {
			t.Errorf("fresh connections end in %v: closed %v, want %v", c.fresh, got, c.close)
		}
		if c.close && p.sends[before].server != home {
			t.Error("losses on idle connections cost the server its keys")
		}
	}
}

// Whatever the ranking says, a cold server gets no more than its budget in any window.
func TestColdBudgetOverAnyWindow(t *testing.T) {
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
		r.Timer(r.now, tokSweep)
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
				if x < from+set.Fall {
					n++
				}
			}
			// Capacity here is 200 a second over 4 servers, half of it ours: a part of 25.
			warm := set.ColdFrom + (1-set.ColdFrom)*float64(from+set.Fall-time.Second)/float64(set.Cold)
			if allowed := set.OverloadFactor * warm * 25; float64(n) > allowed+2 {
				t.Fatalf("server %d got %d in the second from %v, %.0f are allowed", id, n, from, allowed)
			}
		}
	}
	if total < 50 {
		t.Errorf("only %d sends in all: the budget starves the fleet", total)
	}
}

// A restarted process is new: what was learned of the old one is forgotten.
func TestRestartForgets(t *testing.T) {
	r, _ := newRouter(testSettings(), fleet(1, 1))
	s := r.known[1]
	s.seen, s.sick, s.seenAt, s.window = 9, 9, r.now, 1
	r.now += time.Second
	again := fleet(1)[0]
	again.Started = r.now
	r.List(r.now, ListDelta, []Server{again})
	if r.health(s) != 1 || s.window < 100 {
		t.Errorf("a new process inherits: %+v", s)
	}
	if f := r.fade(s); f > 0.05 {
		t.Errorf("a new process counts with %.2f of its weight", f)
	}
}

// Draining and gone servers get nothing new at once; answers still out from them count.
func TestDrainIsKept(t *testing.T) {
	r, p := newRouter(testSettings(), fleet(1, 1))
	home := r.homeOf(5)
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
	leaving := fleet(1, 1)[home-1]
	leaving.Phase = Draining
	r.List(r.now, ListDelta, []Server{leaving})
	r.Request(r.now, Request{ID: 2, Key: 5, Remaining: time.Second})
	if p.last().server == home {
		t.Error("a draining server got a new request")
	}
	r.Outcome(r.now, Outcome{Request: 1, Server: home, Status: OK, Closed: true})
	if r.known[home].out != 0 {
		t.Error("the answer from a draining server was not counted")
	}
	r.List(r.now, ListFull, nil)
	r.Request(r.now, Request{ID: 3, Key: 5, Remaining: time.Second})
	if !p.refused[3] {
		t.Error("with no server left a request is not refused")
	}
}

// A client's retry comes with less time left. Where late answers are worth nothing and the
// first try's aim has passed, it is refused without a send.
func TestLateRetryIsRefused(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateValue = 0
	r, p := newRouter(set, fleet(1, 1))
	r.Request(r.now, Request{ID: 1, Key: 5, Remaining: 900 * time.Millisecond})
	r.Request(r.now, Request{ID: 2, Key: 5, Retry: true, Remaining: 400 * time.Millisecond})
	if len(p.sends) != 1 || !p.refused[2] {
		t.Errorf("%d sends; retry refused: %v", len(p.sends), p.refused[2])
	}
}

// Where a hundred routers share an origin that is sized for little traffic, none has half of its first window out,
// and yet the origin is late for all: each cuts down to what it has out. 4,000 caches stopped theirs in the lab.
func TestOriginWindowOfMany(t *testing.T) {
	set := testSettings()
	set.Aside, set.OriginKind, set.Balancers, set.MaxAttempts = true, 2, 1, 2
	list := fleet(slices.Repeat([]float64{1}, 101)...)
	list[100].Kind = 2
	r, p := newRouter(set, list)
	id := uint32(0)
	miss := func(n int) (out []uint32) {
		for range n {
			id++
			r.Request(r.now, Request{ID: id, Key: mix(uint64(id)), Remaining: time.Second})
			answer(r, p, id, Miss, 5*time.Millisecond)
			if p.last().request == id && p.last().server == 101 {
				out = append(out, id)
			}
		}
		return out
	}
	first := miss(20)
	if len(first) != 20 {
		t.Fatalf("%d of 20 misses are fetched by a window of %d", len(first), int(originFirst*100))
	}
	r.now += 400 * time.Millisecond
	for _, id := range first {
		answer(r, p, id, OK, 400*time.Millisecond)
	}
	if second := miss(100); len(second) > 40 || len(second) < 10 {
		t.Errorf("%d fetches are out after 20 came late", len(second))
	}
}

// Where the router fetches, a miss goes to the origin, and writes go straight there. No flood of misses comes to it
// all at once, from the first moment on; while fetches are late or turned away fewer and fewer are out there, and when
// they come in time again as many as before. Errors that come at once are no sign of a queue, and one late fetch is chance.
// Found by a hunt in the lab: a gate that let a part of the misses through, and so few that it hardly learned of their
// good end, stayed nearly shut for 10 s after a drain at a fifth of the load (behind-rendezvous-1-250).
func TestOriginWindow(t *testing.T) {
	set := testSettings()
	set.Aside, set.OriginKind, set.Balancers, set.MaxAttempts = true, 2, 1, 2
	list := fleet(1, 1, 1, 1)
	list[3].Kind = 2
	r, p := newRouter(set, list)
	id := uint32(0)
	// flood misses on n reads at once and tells which were fetched.
	flood := func(n int) (out []uint32) {
		for range n {
			id++
			r.Request(r.now, Request{ID: id, Key: mix(uint64(id)), Remaining: time.Second})
			answer(r, p, id, Miss, 5*time.Millisecond)
			if p.last().request == id && p.last().server == 4 {
				out = append(out, id)
			} else if !p.refused[id] {
				t.Fatalf("request %d was neither fetched nor refused at once", id)
			}
		}
		return out
	}
	end := func(out []uint32, st Status, took time.Duration) {
		r.now += took
		for _, id := range out {
			answer(r, p, id, st, took)
		}
	}
	first := flood(100)
	if most := originFirst*3 + 1; len(first) < 4 || float64(len(first)) > most {
		t.Errorf("%d of 100 misses are fetched at once, want 4 to %v", len(first), most)
	}
	r.Request(r.now, Request{ID: 99999, Key: 5, Class: 2, Write: true, Remaining: time.Second})
	if p.last() != (sent{99999, 4, time.Second}) {
		t.Errorf("a write went to %d, not to the origin", p.last().server)
	}
	answer(r, p, 99999, OK, 5*time.Millisecond)
	end(first[1:], OK, 20*time.Millisecond)
	end(first[:1], OK, 400*time.Millisecond) // late, but alone
	second := flood(100)
	if len(second) < len(first)-2 {
		t.Errorf("after one late fetch %d are out, %d before", len(second), len(first))
	}
	end(second, ServerError, 5*time.Millisecond)
	r.help = 1
	if third := flood(100); len(third) < len(second) {
		t.Errorf("after errors at once %d are out, %d before", len(third), len(second))
	} else {
		end(third, Full, 5*time.Millisecond)
	}
	for _, st := range []Status{Full, Timeout, Full, Timeout, Full, Timeout, Full, Timeout} {
		r.now += time.Second
		end(flood(20), st, 400*time.Millisecond)
	}
	if few := flood(20); len(few) > 2 || len(few) == 0 {
		t.Errorf("after many late fetches %d are out", len(few))
	} else {
		end(few, OK, 20*time.Millisecond)
	}
	rounds := 0
	for out := []uint32(nil); len(out) < len(first) && rounds < 100; rounds++ {
		out = flood(20)
		end(out, OK, 20*time.Millisecond)
	}
	if rounds > 30 {
		t.Errorf("after %d rounds of 20 ms the origin, well again, is not asked as before", rounds)
	}
}

// Fetches differ by their own work: one in sixteen takes longer than the aim leaves, as writes do that have more to do.
// That is no queue, and takes nothing of the window; two late ones of eight are. On a site whose writes take an origin
// 2.6 times as long as reads, within half of their aim, the window fell to a third and a tenth of all reads was refused.
func TestSlowWorkIsNoQueueAtTheOrigin(t *testing.T) {
	set := testSettings()
	set.Aside, set.OriginKind, set.Balancers, set.MaxAttempts = true, 2, 1, 2
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
		if p.last() != (sent{id, 4, time.Second}) {
			t.Fatalf("request %d was not fetched", id)
		}
		r.now += took
		answer(r, p, id, OK, took)
	}
	fetch(false, 20*time.Millisecond)
	before := r.known[4].window
	for i := range 64 {
		fetch(true, 450*time.Millisecond)
		took := 20 * time.Millisecond
		if i%16 == 0 {
			took = 450 * time.Millisecond
		}
		fetch(false, took)
	}
	if w := r.known[4].window; w < before {
		t.Errorf("slow writes and one slow read in sixteen took the window from %.1f to %.1f", before, w)
	}
	for range 4 {
		fetch(false, 450*time.Millisecond)
	}
	if w := r.known[4].window; w >= before {
		t.Errorf("four late reads in a row left the window of %.1f at %.1f", before, w)
	}
}

// One who is refused is told to come back while an answer is still worth something, not after the site's longest wait.
func TestRefusedComeBackInTime(t *testing.T) {
	for _, c := range []struct{ aim, most, want time.Duration }{
		{600 * time.Millisecond, 2 * time.Second, 150 * time.Millisecond},
		{4 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{600 * time.Millisecond, 0, 0}, // no wait is honoured
	} {
		set := testSettings()
		set.MaxRetryAfter, set.Classes[0].Aim = c.most, c.aim
		r, p := newRouter(set, nil)
		p.after = -1
		if r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second}); p.after != c.want {
			t.Errorf("aim %v, at most %v: told to come back after %v, want %v", c.aim, c.most, p.after, c.want)
		}
	}
}

// The watch is asked for from the start and again after each failure, later each time.
func TestWatchIsAskedAgain(t *testing.T) {
	set := testSettings()
	set.ListOnRequest, set.AskWithin = true, 10*time.Second
	p := newRecorder()
	r := New(time.Second, set, 1, p)
	for i := 1; i <= 4; i++ {
		if len(p.timers) != i {
			t.Fatalf("%d timers after %d failures", len(p.timers), i-1)
		}
		r.Timer(r.now, tokWatch)
		r.Timer(r.now, tokWatch) // a spurious timer asks for nothing more
		if p.watches != i {
			t.Fatalf("%d watches after %d timers", p.watches, i)
		}
		r.List(r.now, ListFailed, nil)
	}
	// What comes now is the last word of a watch that ran beside the one that has failed: none is left.
	r.List(r.now, ListFull, fleet(1))
	r.Timer(r.now, tokWatch)
	if p.watches != 5 {
		t.Error("not asked again though no watch is left")
	}
	r.List(r.now, ListFull, fleet(1))
	r.Timer(r.now, tokWatch)
	if p.watches != 5 {
		t.Error("asked again though subscribed")
	}
}

// Odd but legal input must not panic.
func TestOddInput(t *testing.T) {
	p := newRecorder()
	r := New(0, Settings{}, 0, p)
	r.Request(0, Request{ID: 1, Class: 77, Tenant: 99, Remaining: time.Second})
	r.List(0, ListFull, nil)
	r.List(0, ListDelta, []Server{{ID: 1, Phase: Ready}, {ID: 2, Phase: Gone}})
	r.Request(0, Request{ID: 2, Class: -1, Key: 3})
	r.Request(0, Request{ID: 3, Class: 3, Remaining: time.Second, Write: true})
	r.Request(0, Request{ID: 3, Class: 3, Remaining: time.Second})
	r.Outcome(0, Outcome{Request: 99})
	r.Outcome(0, Outcome{Request: 3, Attempt: 40})
	r.Outcome(0, Outcome{Request: 3, Server: 1, Status: Full})
	r.Streaming(0, 3, 0)
	r.Streaming(0, 98, 0)
	r.ClientGone(0, 97)
	r.Timer(0, 1234)
	r.Timer(time.Hour, tokSweep)
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

// Where the goal counts late answers against the timely ones, what is not answered by its aim is
// refused just before it; elsewhere it still has the client's whole time.
func TestTailEndsAtTheAim(t *testing.T) {
	for _, c := range []struct {
		tail float64
		left time.Duration
	}{{0.3, 499 * time.Millisecond}, {0, time.Second}} {
		set := testSettings()
		set.TailPart = c.tail
		r, p := newRouter(set, fleet(1, 1))
		r.Request(r.now, Request{ID: 1, Key: 5, Remaining: time.Second})
		if got := p.last().timeout; got != c.left {
			t.Errorf("tail part %.1f: an attempt has %v, want %v", c.tail, got, c.left)
		}
	}
}

// A try without the client's mark is a first one, however much time another came with: a retry
// refused at once may have more left than any first try.
func TestMarkTellsFirstTries(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateValue = 0
	r, p := newRouter(set, fleet(1, 1))
	r.Request(r.now, Request{ID: 1, Key: 5, Retry: true, Remaining: 990 * time.Millisecond})
	r.Request(r.now, Request{ID: 2, Key: 5, Remaining: 600 * time.Millisecond})
	if len(p.sends) != 2 {
		t.Errorf("%d of 2 sent: a first try was taken for a late retry", len(p.sends))
	}
	r.Request(r.now, Request{ID: 3, Key: 5, Retry: true, Remaining: 300 * time.Millisecond})
	if !p.refused[3] {
		t.Error("a retry whose aim has passed was sent")
	}
}

// A way to a zone that is slow or loses what is sent shows at all servers there: their weights fall
// together, none of them is held sick, and nothing is turned away for it. What all zones share, or
// one server alone, says nothing of the way.
func TestBadWayIsTheZones(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(*server) bool
		way  bool
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
			if c.bad(r.known[s.server]) {
				after = 450 * time.Millisecond
			}
			answer(r, p, id, OK, after)
			r.Timer(r.now, tokSweep)
		}
		if way := r.path(1) < 0.7; way != c.way || r.path(0) < 1 {
			t.Errorf("%s bad: the ways keep %.2f and %.2f", c.name, r.path(0), r.path(1))
		}
		if c.way && r.pressure > 0.5 {
			t.Errorf("%s bad: pressure %.2f for a bad way", c.name, r.pressure)
		}
	}
}

// A kind of machine that takes clearly longer than its rating says gets less of the keys, alike at all
// instances; small differences, and one slow server among its kind, move nothing.
func TestSlowKindGetsLess(t *testing.T) {
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
			answer(r, p, id, OK, c.slow(r.known[p.last().server]))
			r.Timer(r.now, tokSweep)
		}
		if less := r.speed(1) < 0.5; less != c.less || r.speed(0) < 1 {
			t.Errorf("kinds keep %.2f and %.2f", r.speed(0), r.speed(1))
		}
		if w := r.known[2].weight / r.known[1].weight; c.less && w > 0.5 {
			t.Errorf("a server of the slow kind keeps %.2f of the other's weight", w)
		}
	}
}

// Errors that another server repeats are the request's own, or the origin's: they blame no server,
// and soon the first of them is final. An error that another server mends goes on being tried again.
func TestErrorsOfTheRequestItself(t *testing.T) {
	for _, mends := range []bool{false, true} {
		r, p := newRouter(testSettings(), fleet(1, 1, 1, 1))
		r.badKept = 1 // errors say nothing of the origin here
		for id := uint32(1); id <= 60; id++ {
			r.now += 100 * time.Millisecond
			r.held[uint64(id)] = r.now
			r.Request(r.now, Request{ID: id, Key: uint64(id), Remaining: time.Second})
			answer(r, p, id, ServerError, 5*time.Millisecond)
			for r.reqs[id] != nil {
				st := ServerError
				if mends {
					st = OK
				}
				answer(r, p, id, st, 5*time.Millisecond)
			}
			r.Timer(r.now, tokSweep)
		}
		if mends && len(p.sends) != 120 {
			t.Errorf("%d sends for 60 requests that a second server answers", len(p.sends))
		}
		if !mends && len(p.sends) > 100 {
			t.Errorf("%d sends for 60 requests that fail everywhere", len(p.sends))
		}
		for _, s := range r.caches {
			if h := r.health(s); !mends && h < 0.5 {
				t.Errorf("server %d keeps %.2f of its weight for errors that are the requests'", s.ID, h)
			}
		}
	}
}
