package hoptiller

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// StepKind says what is to be done next for a request.
type StepKind uint8

// The steps of a request. All but StepCall end it.
const (
	StepServed StepKind = iota // its answer is the client's
	StepCall                   // make an attempt and report how it ended
	StepReject                 // refuse it; trying again is harmless
	StepFail                   // end it and promise nothing
)

// Step is the decision on a request's next move.
type Step struct {
	Kind       StepKind
	Server     uint32        // StepCall: whom to call
	Attempt    int           // StepCall: the call's number
	Timeout    time.Duration // StepCall: how long to wait for its answer
	By         time.Duration // StepCall: when the last byte of it must be written; 0: while its time lasts
	RetryAfter time.Duration // StepReject: when the client should come back
	CloseIdle  []uint32      // servers whose idle connections must go before the step is taken
}

// AttemptID names one attempt.
type AttemptID struct {
	Request uint32
	Attempt int
}

// Orders are what is to be done beside the steps of requests.
type Orders struct {
	Cancelled []AttemptID // calls to give up and report at once
	CloseIdle []uint32    // servers whose idle connections are to be closed
	List      bool        // ask the directory for the whole list
	Watch     bool        // watch the directory for changes
	Unwatch   bool        // end the watch
	Logs      []string
	Next      time.Duration // when Tick is due again; 0 if it is not
}

// Facade puts a Router behind calls that block no longer than its lock: Pick
// for a request that came in, Report for each call that ended, Tick when
// time has passed. It may be used by many goroutines. Like the Router it does
// no I/O and reads no clock: now is the caller's, and what is said with an
// earlier now than was heard before counts as said then.
type Facade struct {
	wake func() // tells that Tick has something to do; must not block or call back

	mu     sync.Mutex
	router *Router
	now    time.Duration
	last   uint32
	open   map[uint32]*open
	timers []timer // by due time
	idle   []uint32
	orders Orders

	counted         time.Duration
	listed, avoided atomic.Int64 // caches, as of then
}

const countEvery = 100 * time.Millisecond // so often Members is brought up to date, and at each word of the directory

// open is a request that still has a step to come.
type open struct {
	step  Step
	ready bool // step is not yet handed out
	final bool // and ends the request
	calls int
	out   bool // a call is out
	gone  bool
}

type timer struct {
	due   time.Duration
	token uint64
}

// NewFacade returns a Facade over a new Router. Whenever Tick should be called
// before the time that it last gave, wake is called.
func NewFacade(now time.Duration, set Settings, seed uint64, wake func()) *Facade {
	// A request has one call out at a time here: a second copy would wait for the first one's end, and what the
	// Router holds to be out there would never be. What is silent is withdrawn, which sockets always allow.
	set.SecondCopies, set.MayCancel = false, true
	// On sockets a list comes only on a watch, and a pushed one too: whoever pushes it has no other way here.
	set.ListOnRequest = true
	f := &Facade{wake: wake, now: now, open: map[uint32]*open{}}
	f.router = New(now, set, seed, (*actions)(f))
	return f
}

// enter takes the lock and the time; several goroutines read their clocks before they get here,
// and the Router must never see time go back.
func (f *Facade) enter(now time.Duration) time.Duration {
	f.mu.Lock()
	f.now = max(f.now, now)
	return f.now
}

// Reserve gives out the number for a request's Pick, so that a call of it
// can be found before it is made.
func (f *Facade) Reserve() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.last++; f.last == 0 || f.open[f.last] != nil; f.last++ {
	}
	f.open[f.last] = &open{}
	return f.last
}

// Pick decides the first step of a request, whose q.ID is from Reserve.
func (f *Facade) Pick(now time.Duration, q Request) Step {
	now = f.enter(now)
	defer f.mu.Unlock()
	f.router.Request(now, q)
	return f.step(q.ID)
}

// Report tells how a call ended and decides the next step. An answer that
// came is the client's even if the Router has just given the request up:
// nothing else has been said to the client yet.
func (f *Facade) Report(now time.Duration, call AttemptID, server uint32, status Status, took time.Duration) Step {
	now = f.enter(now)
	defer f.mu.Unlock()
	o := f.open[call.Request]
	if o == nil {
		return Step{Kind: StepFail}
	}
	o.out = false
	f.router.Outcome(now, Outcome{
		Request: call.Request, Attempt: call.Attempt, Server: server, Status: status, Latency: took,
		Closed: status == OK || o.final || o.gone,
	})
	if status == OK {
		delete(f.open, call.Request)
		return Step{Kind: StepServed, CloseIdle: f.takeIdle()}
	}
	return f.step(call.Request)
}

// Gone tells that a request's client has left. A call that is out is still
// to be reported.
func (f *Facade) Gone(now time.Duration, id uint32) {
	now = f.enter(now)
	defer f.mu.Unlock()
	if o := f.open[id]; o != nil {
		o.gone = true
		f.router.ClientGone(now, id)
	}
}

// Directory tells what the directory says.
func (f *Facade) Directory(now time.Duration, kind ListKind, servers []Server) {
	now = f.enter(now)
	defer f.mu.Unlock()
	f.router.List(now, kind, servers)
	f.count()
}

// Sighted tells what some router saw of a server.
func (f *Facade) Sighted(now time.Duration, seen Sighting) {
	now = f.enter(now)
	defer f.mu.Unlock()
	f.router.Sighted(now, seen)
}

// Members tells how many cache servers are listed, and how many of them the Router avoids. It takes no lock.
func (f *Facade) Members() (listed, avoided int) { return int(f.listed.Load()), int(f.avoided.Load()) }

// count brings up to date what Members tells; f.mu is held.
func (f *Facade) count() {
	f.counted = f.now
	listed, avoided := f.router.Members()
	f.listed.Store(int64(listed))
	f.avoided.Store(int64(avoided))
}

// avoidedAt is the part of its weight under which a server counts as avoided.
const avoidedAt = 0.5

// Members tells how many caches are listed, and how many of them are avoided: they drain, or health and
// way leave them less than half of their weight.
func (r *Router) Members() (listed, avoided int) {
	for _, s := range r.known {
		if s.origin || s.unlisted || s.Phase == Gone {
			continue
		}
		listed++
		if r.avoids(s) {
			avoided++
		}
	}
	return listed, avoided
}

func (r *Router) avoids(s *server) bool {
	return s.Phase == Draining || r.health(s)*r.path(s.Zone) < avoidedAt
}

// CacheState is a cache server as it is seen here.
type CacheState struct {
	ID      uint32
	Zone    int
	Avoided bool
}

// Caches are the cache servers that are listed, in no order. It is for what is asked for seldom.
func (f *Facade) Caches() (all []CacheState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.router.known {
		if !s.origin && !s.unlisted && s.Phase != Gone {
			all = append(all, CacheState{s.ID, s.Zone, f.router.avoids(s)})
		}
	}
	return all
}

// Knows tells whether a server is listed, or calls to it are out.
func (f *Facade) Knows(server uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.known[server] != nil
}

// Tick runs what has fallen due and hands out the orders since the last Tick.
func (f *Facade) Tick(now time.Duration) Orders {
	now = f.enter(now)
	defer f.mu.Unlock()
	for len(f.timers) > 0 && f.timers[0].due <= now {
		first := f.timers[0] // taken before Delete moves the next one into its place
		f.timers = slices.Delete(f.timers, 0, 1)
		f.router.Timer(now, first.token)
	}
	if now-f.counted >= countEvery {
		f.count()
	}
	f.orders.CloseIdle = append(f.orders.CloseIdle, f.takeIdle()...)
	orders := f.orders
	if f.orders = (Orders{}); len(f.timers) > 0 {
		orders.Next = f.timers[0].due
	}
	return orders
}

// step hands out what the Router has decided for a request. It always has: a Router ends or
// sends on whatever has no call out. One that does not is a bug, and the client must not wait for it.
func (f *Facade) step(id uint32) Step {
	o := f.open[id]
	step := Step{Kind: StepFail}
	if o != nil && o.ready {
		step = o.step
	}
	if o != nil && step.Kind == StepCall {
		o.ready, o.out = false, true
	} else {
		delete(f.open, id)
	}
	step.CloseIdle = f.takeIdle()
	return step
}

func (f *Facade) takeIdle() []uint32 {
	idle := f.idle
	f.idle = nil
	return idle
}

// actions takes what the Router asks for; f.mu is held.
type actions Facade

func (a *actions) Send(request, server uint32, timeout time.Duration) {
	if o := a.open[request]; o != nil {
		o.step = Step{Kind: StepCall, Server: server, Attempt: o.calls, Timeout: timeout, By: a.router.repeatBy(request)}
		o.ready = true
		o.calls++
	}
}

// repeatBy is when the last byte of a request's newest attempt must be on its way, if it repeats another one of which
// servers drop repeats only for a while; 0: it does not.
func (r *Router) repeatBy(id uint32) time.Duration {
	q := r.reqs[id]
	if q == nil || q.class.Effect != Deduplicated {
		return 0
	}
	for i := range q.tries[:len(q.tries)-1] { // the earliest is first
		if t := &q.tries[i]; t.ran {
			return r.forgotten(q, t)
		}
	}
	return 0
}

func (a *actions) end(request uint32, step Step) {
	o := a.open[request]
	if o == nil || o.final {
		return
	}
	o.step, o.ready, o.final = step, true, true
	if o.out { // its goroutine waits for the call
		a.Cancel(request, o.calls-1)
	}
}

func (a *actions) Cancel(request uint32, attempt int) {
	a.orders.Cancelled = append(a.orders.Cancelled, AttemptID{request, attempt})
	a.wake()
}

func (a *actions) Refuse(request uint32, after time.Duration) {
	a.end(request, Step{Kind: StepReject, RetryAfter: after})
}

func (a *actions) Fail(request uint32) { a.end(request, Step{Kind: StepFail}) }

func (a *actions) CloseIdle(server uint32) { a.idle = append(a.idle, server) }

func (a *actions) SetTimer(token uint64, delay time.Duration) {
	t := timer{a.now + max(delay, 0), token}
	at, _ := slices.BinarySearchFunc(a.timers, t.due+1, func(e timer, due time.Duration) int {
		return int(min(max(e.due-due, -1), 1))
	})
	a.timers = slices.Insert(a.timers, at, t)
	if at == 0 {
		a.wake()
	}
}

func (a *actions) FetchList() { a.orders.List = true; a.wake() }

func (a *actions) Watch(on bool) {
	a.orders.Watch, a.orders.Unwatch = on, !on
	a.wake()
}

func (a *actions) Log(text string) {
	a.orders.Logs = append(a.orders.Logs, text)
	a.wake()
}
