package hoptiller

import (
	"testing"
	"time"
)

// newFacade returns a Facade with two caches and an origin, and a count of its wake calls.
func newFacade(change func(*Settings)) (f *Facade, woken *int) {
	set := Settings{
		RouterCount: 1, MaxAttempts: 3, AllowsCancel: true, MaxRetryAfter: 2 * time.Second, TickInterval: 5 * time.Millisecond,
		CacheAside: true, OriginKind: 1, ListOnRequest: true, FetchListWithin: 10 * time.Second,
		Classes: []Class{{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1},
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 3, Effect: AtMostOnce}},
	}
	if change != nil {
		change(&set)
	}
	woken = new(int)
	f = NewFacade(time.Hour, set, 1, func() { *woken++ })
	f.UpdateServers(time.Hour, ListCached, []Server{
		{ID: 1, Phase: Ready, Weight: 1}, {ID: 2, Phase: Ready, Weight: 1}, {ID: 9, Kind: 1, Phase: Ready}})
	return f, woken
}

func TestFacadeMissGoesToOrigin(t *testing.T) {
	f, _ := newFacade(nil)
	id := f.ReserveID()
	step := f.Pick(time.Hour, Request{ID: id, Key: 7, Remaining: 3 * time.Second})
	if step.Kind != StepCall || step.Server == 9 || step.Attempt != 0 || step.Timeout <= 0 {
		t.Fatalf("first step %+v", step)
	}
	step = f.Report(time.Hour+time.Millisecond, AttemptID{id, 0}, step.Server, Miss, time.Millisecond)
	if step.Kind != StepCall || step.Server != 9 || step.Attempt != 1 {
		t.Fatalf("step after a miss %+v", step)
	}
	step = f.Report(time.Hour+time.Second/2, AttemptID{id, 1}, 9, OK, time.Second/2)
	if step.Kind != StepServed || len(f.openRequests) != 0 {
		t.Errorf("step after an answer %+v, %d open", step, len(f.openRequests))
	}
}

// If the Router ends a request while an attempt is in progress, the attempt is cancelled and the request ends with the Router's
// decision. If the attempt brings a value anyway, that is served instead.
func TestFacadeEndsWhileCalling(t *testing.T) {
	for _, status := range []Status{Cancelled, OK} {
		f, woken := newFacade(nil)
		id := f.ReserveID()
		step := f.Pick(time.Hour, Request{ID: id, Key: 7, Remaining: 3 * time.Second})
		before := *woken
		late := time.Hour + 2*time.Second
		orders := f.Tick(late)
		if len(orders.Cancelled) == 0 || orders.Cancelled[0] != (AttemptID{id, 0}) || *woken == before {
			t.Fatalf("orders when the time is up: %+v", orders)
		}
		want := StepFail
		if status == OK {
			want = StepServed
		}
		if got := f.Report(late, AttemptID{id, 0}, step.Server, status, 2*time.Second); got.Kind != want {
			t.Errorf("%v: step %+v, want %v", status, got, want)
		}
		if len(f.openRequests) != 0 {
			t.Errorf("%v: still open", status)
		}
	}
}

func TestFacadeRetriesWriteOnlyIfNotRun(t *testing.T) {
	for status, want := range map[Status]StepKind{
		Reset: StepFail, Timeout: StepFail, ServerError: StepFail, ConnectFailed: StepCall, TurnedAway: StepCall, NotSent: StepCall,
	} {
		f, _ := newFacade(nil)
		id := f.ReserveID()
		step := f.Pick(time.Hour, Request{ID: id, Class: 1, Key: 7, Write: true, Remaining: 3 * time.Second})
		got := f.Report(time.Hour+time.Millisecond, AttemptID{id, 0}, step.Server, status, time.Millisecond)
		if step.Server != 9 || got.Kind != want {
			t.Errorf("after status %d: %+v, want kind %d", status, got, want)
		}
		// A read is retried after any status: refusing it would save just one more attempt.
		id = f.ReserveID()
		step = f.Pick(time.Hour, Request{ID: id, Key: 7, Remaining: 3 * time.Second})
		if got := f.Report(time.Hour, AttemptID{id, 0}, step.Server, status, 0); got.Kind != StepCall {
			t.Errorf("a read after status %d: %+v", status, got)
		}
	}
}

// The disconnect of a client ends its request and cancels the attempt. Later reports do no harm.
func TestFacadeClientDisconnects(t *testing.T) {
	f, _ := newFacade(nil)
	id := f.ReserveID()
	step := f.Pick(time.Hour, Request{ID: id, Key: 7, Remaining: 3 * time.Second})
	f.ClientDisconnected(time.Hour+time.Millisecond, id)
	if orders := f.Tick(time.Hour + time.Millisecond); len(orders.Cancelled) != 1 {
		t.Errorf("orders %+v", orders)
	}
	for range 2 {
		got := f.Report(time.Hour+time.Second, AttemptID{id, 0}, step.Server, Cancelled, time.Second)
		if got.Kind != StepFail || len(f.openRequests) != 0 {
			t.Errorf("step %+v, %d open", got, len(f.openRequests))
		}
	}
}

// If connections answer in order, an attempt can be ended only by closing its connection. So a read whose client has disconnected
// runs on and its outcome counts, but a write is cancelled, and so is a read's fetch from the origin.
func TestFacadeClientDisconnectsOrdered(t *testing.T) {
	for name, c := range map[string]struct {
		write, missed bool
		cancelled     int
	}{"read": {false, false, 0}, "write": {true, false, 1}, "fetch": {false, true, 1}} {
		f, _ := newFacade(nil)
		f.router.settings.OrderedAnswers = true
		id := f.ReserveID()
		step := f.Pick(time.Hour, Request{ID: id, Key: 7, Write: c.write, Remaining: 3 * time.Second})
		f.router.requests[id].homeMissed = c.missed
		f.ClientDisconnected(time.Hour+time.Millisecond, id)
		if orders := f.Tick(time.Hour + time.Millisecond); len(orders.Cancelled) != c.cancelled {
			t.Errorf("%s: orders %+v", name, orders)
		}
		if s := f.router.servers[step.Server]; s.inFlight != 1 {
			t.Errorf("%s: %d in flight", name, s.inFlight)
		}
		f.Report(time.Hour+time.Second, AttemptID{id, 0}, step.Server, OK, time.Second)
		if s := f.router.servers[step.Server]; s.inFlight != 0 || s.silentSince != f.now || len(f.openRequests) != 0 ||
			len(f.router.requests) != 0 {
			t.Errorf("%s: after its answer %d in flight, last answer at %v, %d open",
				name, s.inFlight, s.silentSince, len(f.openRequests))
		}
	}
}

// Guards against goroutines that read their clocks before they get the lock: time must not go back for the Router, and timers
// must not fire early or out of order.
func TestFacadeTime(t *testing.T) {
	f, woken := newFacade(nil)
	orders := f.Tick(time.Hour)
	if orders.NextTick <= time.Hour || orders.Watch {
		t.Fatalf("orders at the start %+v", orders)
	}
	if orders = f.Tick(orders.NextTick); !orders.Watch {
		t.Errorf("no watch is ordered when it is due: %+v", orders)
	}
	f.UpdateServers(time.Hour, ListFailed, nil)
	if f.now < orders.NextTick || f.router.now < f.now-1 {
		t.Errorf("time went back to %v", f.now)
	}
	*woken = 0
	(*facadeActions)(f).SetTimer(50, time.Minute)
	(*facadeActions)(f).SetTimer(51, time.Millisecond)
	if *woken != 1 || f.timers[0].token != 51 || f.timers[len(f.timers)-1].token != 50 {
		t.Errorf("woken %d times, timers %v", *woken, f.timers)
	}
}

// Guards against cancelling an attempt that merely takes long, since its work would be lost: a server in good standing may be
// silent for three quarters of the aim first. The same holds if the settings allow hedges: a hedge that waits for the end of the
// first attempt helps nobody, and it stayed in the count of attempts in flight at its server.
func TestFacadePatience(t *testing.T) {
	t.Run("one call", func(t *testing.T) { facadePatience(t, false) })
	t.Run("hedging", func(t *testing.T) { facadePatience(t, true) })
}

func facadePatience(t *testing.T, hedging bool) {
	f, _ := newFacade(func(s *Settings) { s.Hedging, s.AllowsCancel = hedging, !hedging })
	for i := range 2 {
		id := f.ReserveID()
		step := f.Pick(time.Hour, Request{ID: id, Key: 7, Remaining: 3 * time.Second})
		if i == 0 { // so the server is known to answer fast
			f.Report(time.Hour+time.Millisecond, AttemptID{id, 0}, step.Server, OK, 50*time.Millisecond)
			continue
		}
		for now := time.Hour; now < time.Hour+time.Second; now += 10 * time.Millisecond {
			cancelled := len(f.Tick(now).Cancelled) > 0
			if cancelled != (now > time.Hour+750*time.Millisecond) {
				t.Fatalf("cancelled: %v after %v", cancelled, now-time.Hour)
			}
			if cancelled {
				f.Report(now, AttemptID{id, 0}, step.Server, Cancelled, now-time.Hour)
				if inFlight := f.router.servers[step.Server].inFlight; inFlight != 0 {
					t.Errorf("%d attempts in flight at the silent server", inFlight)
				}
				return
			}
		}
	}
}

// Guards against waiting for the whole aim on a connection that has fallen silent while its server answers others: an attempt
// that has been overtaken is cancelled after a fraction of the aim, any other only later.
func TestFacadeOvertaken(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		f, _ := newFacade(nil)
		pick := func(now time.Duration) (AttemptID, uint32) {
			id := f.ReserveID()
			return AttemptID{id, 0}, f.Pick(now, Request{ID: id, Key: 7, Remaining: 3 * time.Second}).Server
		}
		answer := func(now time.Duration) {
			call, server := pick(now - 30*time.Millisecond)
			f.Report(now, call, server, OK, 30*time.Millisecond)
		}
		answer(time.Hour)
		pick(time.Hour + time.Millisecond)
		if overtaken {
			answer(time.Hour + 40*time.Millisecond)
		}
		cancelled := 0
		for now := time.Hour + 50*time.Millisecond; now < time.Hour+500*time.Millisecond; now += 10 * time.Millisecond {
			cancelled += len(f.Tick(now).Cancelled)
		}
		if (cancelled > 0) != overtaken {
			t.Errorf("overtaken: %v, cancelled within half of the aim: %d", overtaken, cancelled)
		}
	}
}

// A retry of an attempt that may have run says by when it must be written, since servers drop repetitions only for a certain time
// after the earliest moment at which the first attempt may have arrived.
func TestFacadeRetryWriteDeadline(t *testing.T) {
	for effect, want := range map[Effect]time.Duration{Deduplicated: time.Hour + 990*time.Millisecond, Idempotent: 0} {
		f, _ := newFacade(func(set *Settings) {
			set.Classes[1] = Class{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: effect, DedupTTL: time.Second}
		})
		id := f.ReserveID()
		step := f.Pick(time.Hour, Request{ID: id, Class: 1, Key: 7, Write: true, Remaining: 3 * time.Second})
		if step.WriteBy != 0 {
			t.Errorf("effect %d: the first attempt must be written by %v", effect, step.WriteBy)
		}
		sent := f.Report(time.Hour+10*time.Millisecond, AttemptID{id, 0}, step.Server, Reset, time.Millisecond)
		if sent.Kind != StepCall || sent.WriteBy != want {
			t.Errorf("effect %d: the retry is %+v, to be written by %v", effect, sent, want)
		}
		other := f.ReserveID()
		step = f.Pick(time.Hour+time.Second, Request{ID: other, Class: 1, Key: 7, Write: true, Remaining: 3 * time.Second})
		step = f.Report(time.Hour+time.Second, AttemptID{other, 0}, step.Server, ConnectFailed, 0)
		if step.Kind != StepCall || step.WriteBy != 0 {
			t.Errorf("effect %d: an attempt that never reached its server is followed by %+v", effect, step)
		}
	}
}
