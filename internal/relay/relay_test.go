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

// caller answers calls by a script and keeps what it was asked.
type caller struct {
	mu     sync.Mutex
	script []Result // in turn; the last one goes on
	asked  []string
	block  chan struct{} // if set, a call waits until its context ends, and then tells here
	keeps  bool          // has connections, so that nothing is forgotten
	since  time.Time     // of the server that was told last
}

func (c *caller) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, fmt.Sprintf(format, args...))
}

func (c *caller) Call(_, ctx context.Context, server uint32, req *Request) Result {
	c.note("call %d", server)
	if c.block != nil {
		c.block <- struct{}{}
		<-ctx.Done()
		return Result{Status: hoptiller.Cancelled}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.script[0]
	if len(c.script) > 1 {
		c.script = c.script[1:]
	}
	return r
}

func (c *caller) Update(s Server, moved bool) {
	c.note("update %d phase %d moved %v", s.ID, s.Phase, moved)
	c.since = s.Since
}
func (c *caller) Forget(server uint32) bool { c.note("forget %d", server); return !c.keeps }
func (c *caller) CloseIdle(server uint32)   { c.note("idle %d", server) }

func (c *caller) said() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	said := c.asked
	c.asked = nil
	return said
}

var set = hoptiller.Settings{Balancers: 1, Aside: true, OriginKind: 1, MaxAttempts: 3, MayCancel: true, RetryAfter: true,
	MaxRetryAfter: 2 * time.Second, Classes: []hoptiller.Class{
		{Aim: 9 * time.Second, Deadline: 9 * time.Second, Worth: 1},
		{Aim: 9 * time.Second, Deadline: 9 * time.Second, Worth: 3, Effect: hoptiller.AtMostOnce}}}

func entry(id uint32, phase hoptiller.Phase, origin bool) Server {
	s := Server{Server: hoptiller.Server{ID: id, Phase: phase, Weight: 1}, Addr: fmt.Sprint("a", id), Origin: origin}
	if origin {
		s.Kind = 1
	}
	return s
}

func newRelay(providers, origins []Result) (*Relay, *caller, *caller) {
	p, o := &caller{script: providers}, &caller{script: origins}
	r := New(set, 1, p, o)
	r.Told(hoptiller.ListFull, []Server{entry(1, hoptiller.Ready, false), entry(9, hoptiller.Ready, true)})
	p.said()
	o.said()
	return r, p, o
}

func request(class int, write bool) *Request {
	return &Request{Key: []byte("k"), ID: []byte("1"), Class: class, Write: write, Arrived: time.Now(), Wait: 5 * time.Second}
}

// A miss goes to the origin, once the call that missed has ended; the answer is the one that was made for it.
func TestMissGoesToTheOrigin(t *testing.T) {
	ended := false
	r, p, o := newRelay([]Result{{Status: hoptiller.Miss, End: func() bool { ended = true; return true }}}, []Result{{Status: hoptiller.OK, Data: []byte("v")}})
	a := r.Serve(context.Background(), request(0, false))
	if a.Kind != hoptiller.StepServed || string(a.Data) != "v" || !ended {
		t.Errorf("%+v, the first call's end %v", a, ended)
	}
	if got := append(p.said(), o.said()...); !slices.Equal(got, []string{"call 1", "call 9"}) {
		t.Errorf("asked %v", got)
	}
	if len(r.live) != 0 {
		t.Error("a request that is over is held")
	}
}

// What may have run is not called again where it must not run twice, and is not called harmless.
func TestBookIsNotRepeated(t *testing.T) {
	for status, want := range map[hoptiller.Status]hoptiller.StepKind{hoptiller.Reset: hoptiller.StepFail,
		hoptiller.ServerError: hoptiller.StepFail, hoptiller.Timeout: hoptiller.StepFail} {
		r, _, o := newRelay([]Result{{}}, []Result{{Status: status}})
		if a := r.Serve(context.Background(), request(1, true)); a.Kind != want {
			t.Errorf("status %d: %+v", status, a)
		}
		if got := o.said(); len(got) != 1 {
			t.Errorf("status %d: asked %v", status, got)
		}
	}
}

// Where every call is turned away the client is told that trying again is harmless, and when.
func TestTurnedAway(t *testing.T) {
	r, _, o := newRelay([]Result{{}}, []Result{{Status: hoptiller.Full}})
	a := r.Serve(context.Background(), request(1, true))
	if a.Kind != hoptiller.StepReject || a.RetryAfter != 2*time.Second || len(o.said()) > 3 {
		t.Errorf("%+v", a)
	}
}

// When its client leaves, a request's call ends, and so does the request.
func TestClientLeaves(t *testing.T) {
	r, p, _ := newRelay([]Result{{}}, nil)
	p.block = make(chan struct{})
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan Answer)
	go func() { done <- r.Serve(ctx, request(0, false)) }()
	testprog.Await(t, p.block, "call")
	leave()
	if a := testprog.Await(t, done, "answer"); a.Kind == hoptiller.StepServed || len(r.live) != 0 {
		t.Errorf("%+v, %d live", a, len(r.live))
	}
}

// A call that the module has withdrawn ends; one that it withdrew before it began is never made.
func TestWithdrawn(t *testing.T) {
	r, p, _ := newRelay([]Result{{}}, nil)
	p.block = make(chan struct{})
	done := make(chan Answer)
	go func() { done <- r.Serve(context.Background(), request(0, false)) }()
	testprog.Await(t, p.block, "call")
	r.withdraw(hoptiller.AttemptID{Request: 1, Attempt: 0})
	r.withdraw(hoptiller.AttemptID{Request: 1, Attempt: 1})
	r.withdraw(hoptiller.AttemptID{Request: 1, Attempt: 2})
	r.withdraw(hoptiller.AttemptID{Request: 77, Attempt: 0}) // over already
	testprog.Await(t, done, "answer")
	if got := p.said(); len(got) != 1 {
		t.Errorf("asked %v", got)
	}
}

// A connection that came up just before the news of a start may lead to the new process, unless the start is known to be later. By a clock
// that is an hour off nothing is known but when the news came.
func TestStartByAnotherClock(t *testing.T) {
	for _, test := range []struct {
		off  time.Duration // of the start's clock
		kept bool
	}{{0, false}, {time.Hour, true}, {-time.Hour, true}} {
		r, p, _ := newRelay([]Result{{Status: hoptiller.OK}}, []Result{{Status: hoptiller.OK}})
		opened := time.Now()
		moved := entry(1, hoptiller.Ready, false)
		moved.Started = r.now() + test.off
		r.Told(hoptiller.ListDelta, []Server{moved})
		if kept := !opened.Before(p.since); kept != test.kept {
			t.Errorf("clock off by %v: a connection %v before the news is kept %v", test.off, time.Since(opened), kept)
		}
		if age := time.Since(p.since); age < 0 || age > 2*time.Minute {
			t.Errorf("clock off by %v: started %v ago", test.off, age)
		}
	}
}

// The callers hear of a newcomer before it may be picked and of a drain after it may not; what has left is
// forgotten as soon as nothing leads to it, and a new start time or address tells that it runs anew.
func TestTold(t *testing.T) {
	r, p, _ := newRelay([]Result{{Status: hoptiller.OK}}, []Result{{Status: hoptiller.Full}})
	p.keeps = true
	moved := entry(1, hoptiller.Ready, false)
	moved.Addr = "elsewhere"
	r.Told(hoptiller.ListDelta, []Server{moved})
	r.Told(hoptiller.ListDelta, []Server{entry(1, hoptiller.Draining, false)})
	r.Told(hoptiller.ListFull, []Server{entry(9, hoptiller.Ready, true)})
	if !r.Knows(1) {
		t.Error("forgotten while there are connections")
	}
	p.keeps = false
	r.Told(hoptiller.ListDelta, nil)
	if r.Knows(1) || !r.Knows(9) {
		t.Error("not forgotten, or the wrong one")
	}
	want := []string{"update 1 phase 2 moved true", "update 1 phase 1 moved true", "update 1 phase 0 moved false", "forget 1", "forget 1"}
	if got := p.said(); !slices.Equal(got, want) {
		t.Errorf("told %v", got)
	}
	if a := r.Serve(context.Background(), request(0, false)); a.Kind == hoptiller.StepServed {
		t.Error("served by a cache that has left")
	}
}

// orders is a directory that keeps what it is asked.
type orders chan string

func (o orders) Watch(on bool) { o <- fmt.Sprint("watch ", on) }
func (o orders) List()         { o <- "list" }

// The relay opens the watch that the module wants, and asks again when it breaks.
func TestWatch(t *testing.T) {
	on := set
	on.ListOnRequest = true
	r := New(on, 1, &caller{}, &caller{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asked := make(orders, 10)
	go r.Run(ctx, asked)
	for range 2 {
		if got := testprog.Await(t, asked, "watch"); got != "watch true" {
			t.Errorf("asked %q", got)
		}
		r.Told(hoptiller.ListFailed, nil)
	}
}

// A key's number is what its hexadecimal digits say, else a hash, and never 0.
func TestKeyNumber(t *testing.T) {
	if keyNumber([]byte("00000000000000ff")) != 255 || keyNumber([]byte("0000000000000000")) == 0 ||
		keyNumber([]byte("a")) == keyNumber([]byte("b")) || keyNumber(nil) == 0 {
		t.Error("wrong number")
	}
}

// The module is told all that it decides by: also whose request it is, or all would count as the first customer's.
func TestRequest(t *testing.T) {
	now := time.Now()
	req := &Request{Key: []byte("00000000000000ff"), Class: 1, Tenant: 3, Write: true, Retry: true, Arrived: now.Add(-time.Second), Wait: 2 * time.Second}
	want := hoptiller.Request{ID: 7, Class: 1, Tenant: 3, Key: 255, Write: true, Retry: true, Remaining: time.Second}
	if got := req.decisionInput(7, now); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := req.decisionInput(7, now.Add(time.Minute)); got.Remaining != 0 {
		t.Errorf("of a request whose time is over %v remain", got.Remaining)
	}
}

// An attempt ends with the client's time, also where the process stood still after it was picked, and sooner where the module or an
// operator's policy says so.
func TestAttemptEndsWithTheClientsTime(t *testing.T) {
	for name, c := range map[string]struct{ step, client, want time.Duration }{
		"the step's time is the shorter": {time.Second, time.Minute, time.Second},
		"the client's is":                {time.Minute, time.Second, time.Second},
		"the client's is over":           {time.Minute, -time.Second, -time.Second},
	} {
		r, _, _ := newRelay(nil, nil)
		ends := make(chan time.Time, 1)
		r.caches = timing(func(_, ctx context.Context) {
			end, _ := ctx.Deadline()
			ends <- end
		})
		req := request(0, false)
		before := time.Now()
		req.Arrived, req.Wait = before.Add(c.client-time.Second), time.Second
		r.call(t.Context(), &live{}, req, hoptiller.Step{Kind: hoptiller.StepCall, Server: 1, Timeout: c.step})
		end := testprog.Await(t, ends, "attempt")
		if end.Before(before.Add(c.want)) || end.After(time.Now().Add(c.want)) {
			t.Errorf("%s: %v", name, end.Sub(before))
		}
	}
}

// An attempt's time to begin ends when its client leaves or when it is withdrawn, and for a repeat with the window in which
// repeats are dropped; its time to be answered does not end with the client's leaving.
func TestTimeToBegin(t *testing.T) {
	r, _, _ := newRelay(nil, nil)
	type times struct{ begin, ctx context.Context }
	calls := make(chan times)
	over := make(chan bool)
	r.caches = timing(func(begin, ctx context.Context) { calls <- times{begin, ctx}; <-over })
	client, leave := context.WithCancel(t.Context())
	l := &live{}
	step := hoptiller.Step{Kind: hoptiller.StepCall, Server: 1, Timeout: 20 * time.Second}
	go r.call(client, l, request(0, false), step)
	c := testprog.Await(t, calls, "call")
	leave()
	testprog.Await(t, c.begin.Done(), "end of the time to begin when the client has left")
	if c.ctx.Err() != nil {
		t.Error("the attempt has ended with its client's leaving")
	}
	over <- true

	go r.call(t.Context(), l, request(0, false), step)
	c = testprog.Await(t, calls, "call")
	r.liveMu.Lock()
	l.cancel()
	r.liveMu.Unlock()
	testprog.Await(t, c.begin.Done(), "end of the time to begin when it is withdrawn")
	testprog.Await(t, c.ctx.Done(), "end of the attempt when it is withdrawn")
	over <- true

	step.By = r.now() + 5*time.Second
	go r.call(t.Context(), &live{}, request(0, false), step)
	c = testprog.Await(t, calls, "call")
	by, _ := c.begin.Deadline()
	end, _ := c.ctx.Deadline()
	if left := time.Until(by); left > 5*time.Second || !end.After(by) {
		t.Errorf("a repeat has %v to begin", left)
	}
	over <- true
}

// timing is a Upstream that looks only at a call's times.
type timing func(begin, ctx context.Context)

func (c timing) Call(begin, ctx context.Context, _ uint32, _ *Request) Result {
	c(begin, ctx)
	return Result{Status: hoptiller.Moot}
}
func (timing) Update(Server, bool) {}
func (timing) Forget(uint32) bool  { return true }
func (timing) CloseIdle(uint32)    {}
