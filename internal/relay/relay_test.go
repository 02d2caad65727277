package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// fakeUpstream answers attempts from a script and records which methods were called.
type fakeUpstream struct {
	mu            sync.Mutex
	results       []Result      // results in order; the last one is repeated
	recorded      []string      // the recorded calls
	block         chan struct{} // if set, Call sends on it, waits until its context is done and returns Cancelled
	keepServers   bool          // Forget returns false, as if there were connections
	earliestStart time.Time     // EarliestStart of the server that was updated last
}

// record appends an entry to the recorded calls.
func (u *fakeUpstream) record(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recorded = append(u.recorded, fmt.Sprintf(format, args...))
}

func (u *fakeUpstream) Call(_, ctx context.Context, server uint32, req *Request) Result {
	u.record("call %d", server)
	if u.block != nil {
		u.block <- struct{}{}
		<-ctx.Done()
		return Result{Status: hoptiller.Cancelled}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.results[0]
	if len(u.results) > 1 {
		u.results = u.results[1:]
	}
	return r
}

func (u *fakeUpstream) Update(s Server, moved bool) {
	u.record("update %d phase %d moved %v", s.ID, s.Phase, moved)
	u.earliestStart = s.EarliestStart
}
func (u *fakeUpstream) Forget(server uint32) bool {
	u.record("forget %d", server)
	return !u.keepServers
}
func (u *fakeUpstream) CloseIdle(server uint32) { u.record("idle %d", server) }

// takeCalls returns the recorded calls and clears them.
func (u *fakeUpstream) takeCalls() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	calls := u.recorded
	u.recorded = nil
	return calls
}

var testSettings = hoptiller.Settings{RouterCount: 1, CacheAside: true, OriginKind: 1, MaxAttempts: 3, AllowsCancel: true, SendsRetryAfter: true,
	MaxRetryAfter: 2 * time.Second, Classes: []hoptiller.Class{
		{Aim: 9 * time.Second, Deadline: 9 * time.Second, Worth: 1},
		{Aim: 9 * time.Second, Deadline: 9 * time.Second, Worth: 3, Effect: hoptiller.AtMostOnce}}}

func listEntry(id uint32, phase hoptiller.Phase, origin bool) Server {
	s := Server{Server: hoptiller.Server{ID: id, Phase: phase, Weight: 1}, Addr: fmt.Sprint("a", id), Origin: origin}
	if origin {
		s.Kind = 1
	}
	return s
}

// newRelay returns a Relay that knows one cache server, 1, and one origin, 9, and the two upstreams with their
// scripts.
func newRelay(cacheResults, originResults []Result) (*Relay, *fakeUpstream, *fakeUpstream) {
	caches, origins := &fakeUpstream{results: cacheResults}, &fakeUpstream{results: originResults}
	r := New(testSettings, 1, caches, origins)
	r.UpdateServers(hoptiller.ListFull, []Server{listEntry(1, hoptiller.Ready, false), listEntry(9, hoptiller.Ready, true)})
	caches.takeCalls()
	origins.takeCalls()
	return r, caches, origins
}

// newRequest returns a request whose client waits for 5 seconds.
func newRequest(class int, write bool) *Request {
	return &Request{Key: []byte("k"), ID: []byte("1"), Class: class, Write: write, Arrived: time.Now(), Timeout: 5 * time.Second}
}

// After a miss the request goes to the origin, once the attempt that missed has been aborted. The answer is the
// origin's.
func TestMissGoesToTheOrigin(t *testing.T) {
	aborted := false
	r, caches, origins := newRelay([]Result{{Status: hoptiller.Miss, Abort: func() bool { aborted = true; return true }}},
		[]Result{{Status: hoptiller.OK, Data: []byte("v")}})
	a := r.Serve(context.Background(), newRequest(0, false))
	if a.Kind != hoptiller.StepServed || string(a.Data) != "v" || !aborted {
		t.Errorf("%+v, first attempt aborted %v", a, aborted)
	}
	if got := append(caches.takeCalls(), origins.takeCalls()...); !slices.Equal(got, []string{"call 1", "call 9"}) {
		t.Errorf("calls %v", got)
	}
	if len(r.active) != 0 {
		t.Error("a finished request is still recorded as active")
	}
}

// A request of an at-most-once class that may have run is neither retried nor rejected as safe to retry.
func TestAtMostOnceIsNotRetried(t *testing.T) {
	for status, want := range map[hoptiller.Status]hoptiller.StepKind{hoptiller.Reset: hoptiller.StepFail,
		hoptiller.ServerError: hoptiller.StepFail, hoptiller.Timeout: hoptiller.StepFail} {
		r, _, origins := newRelay([]Result{{}}, []Result{{Status: status}})
		if a := r.Serve(context.Background(), newRequest(1, true)); a.Kind != want {
			t.Errorf("status %d: %+v", status, a)
		}
		if got := origins.takeCalls(); len(got) != 1 {
			t.Errorf("status %d: calls %v", status, got)
		}
	}
}

// If every attempt is rejected, the client is told that a retry is safe, and when.
func TestRejectedEverywhere(t *testing.T) {
	r, _, origins := newRelay([]Result{{}}, []Result{{Status: hoptiller.TurnedAway}})
	a := r.Serve(context.Background(), newRequest(1, true))
	if a.Kind != hoptiller.StepReject || a.RetryAfter != 2*time.Second || len(origins.takeCalls()) > 3 {
		t.Errorf("%+v", a)
	}
}

// When the client disconnects, the attempt in flight ends, and so does the request.
func TestClientDisconnects(t *testing.T) {
	r, caches, _ := newRelay([]Result{{}}, nil)
	caches.block = make(chan struct{})
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan Answer)
	go func() { done <- r.Serve(ctx, newRequest(0, false)) }()
	testprog.Await(t, caches.block, "attempt")
	disconnect()
	if a := testprog.Await(t, done, "answer"); a.Kind == hoptiller.StepServed || len(r.active) != 0 {
		t.Errorf("%+v, %d active", a, len(r.active))
	}
}

// An attempt that the decision module has cancelled ends. One that was cancelled before it began is never made.
func TestCancelledAttempt(t *testing.T) {
	r, caches, _ := newRelay([]Result{{}}, nil)
	caches.block = make(chan struct{})
	done := make(chan Answer)
	go func() { done <- r.Serve(context.Background(), newRequest(0, false)) }()
	testprog.Await(t, caches.block, "attempt")
	r.cancelAttempt(hoptiller.AttemptID{Request: 1, Attempt: 0})
	r.cancelAttempt(hoptiller.AttemptID{Request: 1, Attempt: 1})
	r.cancelAttempt(hoptiller.AttemptID{Request: 1, Attempt: 2})
	r.cancelAttempt(hoptiller.AttemptID{Request: 77, Attempt: 0}) // not active any more
	testprog.Await(t, done, "answer")
	if got := caches.takeCalls(); len(got) != 1 {
		t.Errorf("calls %v", got)
	}
}

// A connection that was opened just before a new start time is listed may lead to the new process, unless the start
// is known to be later. If the clock that made the start time is off by an hour, only the time of the list update is
// known.
func TestStartTimeOfAnotherClock(t *testing.T) {
	for _, test := range []struct {
		clockOffset time.Duration // how far the clock of the start time is ahead
		kept        bool          // the connection may lead to the new process
	}{{0, false}, {time.Hour, true}, {-time.Hour, true}} {
		r, caches, _ := newRelay([]Result{{Status: hoptiller.OK}}, []Result{{Status: hoptiller.OK}})
		opened := time.Now()
		moved := listEntry(1, hoptiller.Ready, false)
		moved.Started = r.now() + test.clockOffset
		r.UpdateServers(hoptiller.ListDelta, []Server{moved})
		if kept := !opened.Before(caches.earliestStart); kept != test.kept {
			t.Errorf("clock off by %v: a connection opened %v before the update is kept %v", test.clockOffset, time.Since(opened), kept)
		}
		if age := time.Since(caches.earliestStart); age < 0 || age > 2*time.Minute {
			t.Errorf("clock off by %v: started %v ago", test.clockOffset, age)
		}
	}
}

// The upstream is notified of a new server before the server may be picked, and of a drain after the server may no
// longer be picked. A removed server is forgotten as soon as there are no connections to it. A new start time or
// address is reported as a move.
func TestListUpdates(t *testing.T) {
	r, caches, _ := newRelay([]Result{{Status: hoptiller.OK}}, []Result{{Status: hoptiller.TurnedAway}})
	caches.keepServers = true
	moved := listEntry(1, hoptiller.Ready, false)
	moved.Addr = "elsewhere"
	r.UpdateServers(hoptiller.ListDelta, []Server{moved})
	r.UpdateServers(hoptiller.ListDelta, []Server{listEntry(1, hoptiller.Draining, false)})
	r.UpdateServers(hoptiller.ListFull, []Server{listEntry(9, hoptiller.Ready, true)})
	if !r.Knows(1) {
		t.Error("the server was forgotten while there were connections to it")
	}
	caches.keepServers = false
	r.UpdateServers(hoptiller.ListDelta, nil)
	if r.Knows(1) || !r.Knows(9) {
		t.Error("the removed server was not forgotten, or the origin was")
	}
	want := []string{"update 1 phase 2 moved true", "update 1 phase 1 moved true", "update 1 phase 0 moved false",
		"forget 1", "forget 1"}
	if got := caches.takeCalls(); !slices.Equal(got, want) {
		t.Errorf("calls %v", got)
	}
	if a := r.Serve(context.Background(), newRequest(0, false)); a.Kind == hoptiller.StepServed {
		t.Error("a removed cache server served the request")
	}
}

// fakeDiscovery records what the Relay requests.
type fakeDiscovery chan string

func (d fakeDiscovery) Watch(on bool) { d <- fmt.Sprint("watch ", on) }
func (d fakeDiscovery) List()         { d <- "list" }

// The Relay opens the subscription that the decision module wants, and opens it again when it breaks.
func TestWatch(t *testing.T) {
	watching := testSettings
	watching.ListOnRequest = true
	r := New(watching, 1, &fakeUpstream{}, &fakeUpstream{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	requests := make(fakeDiscovery, 10)
	go r.Run(ctx, requests)
	for range 2 {
		if got := testprog.Await(t, requests, "subscription"); got != "watch true" {
			t.Errorf("requested %q", got)
		}
		r.UpdateServers(hoptiller.ListFailed, nil)
	}
}

// A key's number is the value of its hexadecimal digits, else a hash, and never 0.
func TestKeyNumber(t *testing.T) {
	if keyNumber([]byte("00000000000000ff")) != 255 || keyNumber([]byte("0000000000000000")) == 0 ||
		keyNumber([]byte("a")) == keyNumber([]byte("b")) || keyNumber(nil) == 0 {
		t.Error("a key has a wrong number")
	}
}

// The decision module gets every field by which it decides, including the tenant: without it all requests would count
// as those of tenant 0.
func TestRouterRequest(t *testing.T) {
	now := time.Now()
	req := &Request{Key: []byte("00000000000000ff"), Class: 1, Tenant: 3, Write: true, Retry: true,
		Arrived: now.Add(-time.Second), Timeout: 2 * time.Second}
	want := hoptiller.Request{ID: 7, Class: 1, Tenant: 3, Key: 255, Write: true, IsRetry: true, Remaining: time.Second}
	if got := req.routerRequest(7, now); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := req.routerRequest(7, now.Add(time.Minute)); got.Remaining != 0 {
		t.Errorf("a request past its deadline has %v remaining", got.Remaining)
	}
}

// An attempt ends at the client's deadline, even if the process was paused after the attempt was picked. It ends
// sooner if the decision module or an operator's policy says so.
func TestAttemptEndsAtClientDeadline(t *testing.T) {
	for name, c := range map[string]struct{ stepTimeout, clientTimeout, want time.Duration }{
		"the step's timeout is shorter":    {time.Second, time.Minute, time.Second},
		"the client's deadline is earlier": {time.Minute, time.Second, time.Second},
		"the client's deadline has passed": {time.Minute, -time.Second, -time.Second},
	} {
		r, _, _ := newRelay(nil, nil)
		ends := make(chan time.Time, 1)
		r.caches = contextUpstream(func(_, ctx context.Context) {
			end, _ := ctx.Deadline()
			ends <- end
		})
		req := newRequest(0, false)
		before := time.Now()
		req.Arrived, req.Timeout = before.Add(c.clientTimeout-time.Second), time.Second
		r.makeAttempt(t.Context(), &activeRequest{}, req, hoptiller.Step{Kind: hoptiller.StepCall, Server: 1, Timeout: c.stepTimeout})
		end := testprog.Await(t, ends, "attempt")
		if end.Before(before.Add(c.want)) || end.After(time.Now().Add(c.want)) {
			t.Errorf("%s: %v", name, end.Sub(before))
		}
	}
}

// An attempt's sendCtx ends when the client disconnects, when the attempt is cancelled, and, for a retry, when the
// time ends in which servers drop repeated requests. Its ctx, until which it may be answered, does not end when the client
// disconnects.
func TestSendContext(t *testing.T) {
	r, _, _ := newRelay(nil, nil)
	type contexts struct{ sendCtx, ctx context.Context }
	attempts := make(chan contexts)
	finish := make(chan bool)
	r.caches = contextUpstream(func(sendCtx, ctx context.Context) { attempts <- contexts{sendCtx, ctx}; <-finish })
	clientCtx, disconnect := context.WithCancel(t.Context())
	active := &activeRequest{}
	step := hoptiller.Step{Kind: hoptiller.StepCall, Server: 1, Timeout: 20 * time.Second}
	go r.makeAttempt(clientCtx, active, newRequest(0, false), step)
	c := testprog.Await(t, attempts, "attempt")
	disconnect()
	testprog.Await(t, c.sendCtx.Done(), "end of sendCtx after the client disconnected")
	if c.ctx.Err() != nil {
		t.Error("the attempt ended when its client disconnected")
	}
	finish <- true

	go r.makeAttempt(t.Context(), active, newRequest(0, false), step)
	c = testprog.Await(t, attempts, "attempt")
	r.activeMu.Lock()
	active.cancel()
	r.activeMu.Unlock()
	testprog.Await(t, c.sendCtx.Done(), "end of sendCtx after the attempt was cancelled")
	testprog.Await(t, c.ctx.Done(), "end of ctx after the attempt was cancelled")
	finish <- true

	step.WriteBy = r.now() + 5*time.Second
	go r.makeAttempt(t.Context(), &activeRequest{}, newRequest(0, false), step)
	c = testprog.Await(t, attempts, "attempt")
	sendBy, _ := c.sendCtx.Deadline()
	end, _ := c.ctx.Deadline()
	if left := time.Until(sendBy); left > 5*time.Second || !end.After(sendBy) {
		t.Errorf("sendCtx of a retry ends in %v", left)
	}
	finish <- true
}

// contextUpstream is an Upstream that passes the two contexts of each attempt to a function and never sends anything.
type contextUpstream func(sendCtx, ctx context.Context)

func (u contextUpstream) Call(sendCtx, ctx context.Context, _ uint32, _ *Request) Result {
	u(sendCtx, ctx)
	return Result{Status: hoptiller.NotSent}
}
func (contextUpstream) Update(Server, bool) {}
func (contextUpstream) Forget(uint32) bool  { return true }
func (contextUpstream) CloseIdle(uint32)    {}
