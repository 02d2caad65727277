package hoptiller

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// StepKind is what a request's caller has to do next.
type StepKind uint8

// Values of StepKind. All but StepCall end the request.
const (
	StepServed StepKind = iota // the latest answer goes to the client
	StepCall                   // make an attempt and report how it ended
	StepReject                 // refuse the request; repeating it is harmless
	StepFail                   // fail the request without saying whether it has run
)

// Step is the next step of a request.
type Step struct {
	Kind       StepKind
	Server     uint32        // StepCall: the server to call
	Attempt    int           // StepCall: the number of the attempt
	Timeout    time.Duration // StepCall: how long to wait for the answer
	WriteBy    time.Duration // StepCall: the last byte of the request must be written by this time; 0: only Timeout limits it
	RetryAfter time.Duration // StepReject: how long the client should wait before a retry
	CloseIdle  []uint32      // idle connections to these servers must be closed before the step is taken
}

// AttemptID identifies one attempt.
type AttemptID struct {
	Request uint32
	Attempt int
}

// Orders are what the Router wants done apart from the steps of requests.
type Orders struct {
	Cancelled []AttemptID   // attempts to cancel and report at once
	CloseIdle []uint32      // servers to which idle connections must be closed
	FetchList bool          // fetch the complete list from discovery
	Watch     bool          // watch discovery for changes of the list
	Unwatch   bool          // end the watch
	Logs      []string      // lines to log
	NextTick  time.Duration // when Tick is due again; 0: not needed
}

// Facade wraps a Router in calls that block only for its lock: Pick for a request that came in, Report for an attempt that ended,
// Tick when time has passed. It is safe for concurrent use. Like the Router it does no I/O and reads no clock: now is the
// caller's time. A call with an earlier time than a previous call counts as made at the previous call's time.
type Facade struct {
	wake func() // called when Tick has something to do; must not block or call back

	mu           sync.Mutex
	router       *Router
	now          time.Duration
	lastID       uint32                  // the last id that ReserveID gave out
	openRequests map[uint32]*openRequest // by request id
	timers       []timer                 // sorted by due time
	idleToClose  []uint32                // servers to which idle connections must be closed with the next step or Tick
	orders       Orders

	countedAt       time.Duration // when listed and avoided were last updated
	listed, avoided atomic.Int64  // numbers of caches, for CacheCounts
}

const countInterval = 100 * time.Millisecond // the result of CacheCounts is updated this often and on each list event

// openRequest is the state of a request that still has a step to come.
type openRequest struct {
	step         Step
	stepReady    bool // step has not been handed out yet
	final        bool // step ends the request
	callCount    int  // number of attempts so far
	inCall       bool // an attempt is in progress
	disconnected bool // the client has disconnected
}

type timer struct {
	due   time.Duration
	token uint64
}

// NewFacade returns a Facade of a new Router. It calls wake whenever Tick should be called before the time that the last Tick
// returned.
func NewFacade(now time.Duration, settings Settings, seed uint64, wake func()) *Facade {
	// A request has only one attempt in progress here. A hedge would wait for the end of the first attempt, and the Router would
	// count the hedge as in flight although it was not sent. Attempts at silent servers are cancelled instead, which is always
	// possible on sockets.
	settings.Hedging, settings.AllowsCancel = false, true
	// On sockets the list comes only through a watch. Pushed lists come through it too, as nothing else brings them to
	// this process.
	settings.ListOnRequest = true
	f := &Facade{wake: wake, now: now, openRequests: map[uint32]*openRequest{}}
	f.router = New(now, settings, seed, (*facadeActions)(f))
	return f
}

// lock locks the Facade and returns the time, which never goes back: several goroutines read their clocks before they get the
// lock, and the Router must not see an earlier time.
func (f *Facade) lock(now time.Duration) time.Duration {
	f.mu.Lock()
	f.now = max(f.now, now)
	return f.now
}

// ReserveID returns an unused id for a request, so that its attempts can be found before Pick is called.
func (f *Facade) ReserveID() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.lastID++; f.lastID == 0 || f.openRequests[f.lastID] != nil; f.lastID++ {
	}
	f.openRequests[f.lastID] = &openRequest{}
	return f.lastID
}

// Pick returns the first step of a request. Its q.ID must come from ReserveID.
func (f *Facade) Pick(now time.Duration, q Request) Step {
	now = f.lock(now)
	defer f.mu.Unlock()
	f.router.Request(now, q)
	return f.nextStep(q.ID)
}

// Report handles the end of an attempt and returns the next step. An answer goes to the client even if the Router has just ended
// the request, because nothing else has been sent to the client yet.
func (f *Facade) Report(now time.Duration, call AttemptID, server uint32, status Status, latency time.Duration) Step {
	now = f.lock(now)
	defer f.mu.Unlock()
	o := f.openRequests[call.Request]
	if o == nil {
		return Step{Kind: StepFail}
	}
	o.inCall = false
	f.router.Outcome(now, Outcome{
		Request: call.Request, Attempt: call.Attempt, Server: server, Status: status, Latency: latency,
		Closed: status == OK || o.final || o.disconnected,
	})
	if status == OK {
		delete(f.openRequests, call.Request)
		return Step{Kind: StepServed, CloseIdle: f.takeIdle()}
	}
	return f.nextStep(call.Request)
}

// ClientDisconnected handles the disconnect of a request's client. An attempt in progress must still be reported.
func (f *Facade) ClientDisconnected(now time.Duration, id uint32) {
	now = f.lock(now)
	defer f.mu.Unlock()
	if o := f.openRequests[id]; o != nil {
		o.disconnected = true
		f.router.ClientDisconnected(now, id)
	}
}

// UpdateServers applies a list event from discovery.
func (f *Facade) UpdateServers(now time.Duration, kind ListKind, servers []Server) {
	now = f.lock(now)
	defer f.mu.Unlock()
	f.router.UpdateServers(now, kind, servers)
	f.updateCounts()
}

// Observe handles a router's observation of a server.
func (f *Facade) Observe(now time.Duration, observed Observation) {
	now = f.lock(now)
	defer f.mu.Unlock()
	f.router.Observe(now, observed)
}

// CacheCounts returns how many cache servers are listed and how many of them the Router avoids. It takes no lock.
func (f *Facade) CacheCounts() (listed, avoided int) {
	return int(f.listed.Load()), int(f.avoided.Load())
}

// updateCounts updates the counts that Facade.CacheCounts returns. The caller holds f.mu.
func (f *Facade) updateCounts() {
	f.countedAt = f.now
	listed, avoided := f.router.CacheCounts()
	f.listed.Store(int64(listed))
	f.avoided.Store(int64(avoided))
}

// avoidedBelow is the fraction of its weight below which a server counts as avoided.
const avoidedBelow = 0.5

// CacheCounts returns how many caches are listed and how many of them are avoided, which means that they drain or that their
// health and network path leave them less than half of their weight.
func (r *Router) CacheCounts() (listed, avoided int) {
	for _, s := range r.servers {
		if s.origin || s.unlisted || s.Phase == Removed {
			continue
		}
		listed++
		if r.isAvoided(s) {
			avoided++
		}
	}
	return listed, avoided
}

func (r *Router) isAvoided(s *server) bool {
	return s.Phase == Draining || r.health(s)*r.pathHealth(s.Zone) < avoidedBelow
}

// CacheState is a cache server as this router sees it.
type CacheState struct {
	ID      uint32
	Zone    int
	Avoided bool // see Router.CacheCounts
}

// Caches returns the listed cache servers, in no particular order. It takes the lock, so call it rarely.
func (f *Facade) Caches() (all []CacheState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.router.servers {
		if !s.origin && !s.unlisted && s.Phase != Removed {
			all = append(all, CacheState{s.ID, s.Zone, f.router.isAvoided(s)})
		}
	}
	return all
}

// Knows reports whether a server is listed or has attempts in flight.
func (f *Facade) Knows(server uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.servers[server] != nil
}

// Tick runs the timers that are due and returns the orders since the last Tick.
func (f *Facade) Tick(now time.Duration) Orders {
	now = f.lock(now)
	defer f.mu.Unlock()
	for len(f.timers) > 0 && f.timers[0].due <= now {
		first := f.timers[0] // copied before Delete moves the next timer into this element
		f.timers = slices.Delete(f.timers, 0, 1)
		f.router.Timer(now, first.token)
	}
	if now-f.countedAt >= countInterval {
		f.updateCounts()
	}
	f.orders.CloseIdle = append(f.orders.CloseIdle, f.takeIdle()...)
	orders := f.orders
	if f.orders = (Orders{}); len(f.timers) > 0 {
		orders.NextTick = f.timers[0].due
	}
	return orders
}

// nextStep hands out the step that the Router has decided for a request. The Router ends or retries every request that has no
// attempt in progress, so a step is always ready. If none is, that is a bug, and the request fails so that the client does not
// wait.
func (f *Facade) nextStep(id uint32) Step {
	o := f.openRequests[id]
	step := Step{Kind: StepFail}
	if o != nil && o.stepReady {
		step = o.step
	}
	if o != nil && step.Kind == StepCall {
		o.stepReady, o.inCall = false, true
	} else {
		delete(f.openRequests, id)
	}
	step.CloseIdle = f.takeIdle()
	return step
}

func (f *Facade) takeIdle() []uint32 {
	idle := f.idleToClose
	f.idleToClose = nil
	return idle
}

// facadeActions receives the Router's actions. The caller holds f.mu.
type facadeActions Facade

func (a *facadeActions) Send(request, server uint32, timeout time.Duration) {
	if o := a.openRequests[request]; o != nil {
		o.step = Step{Kind: StepCall, Server: server, Attempt: o.callCount, Timeout: timeout, WriteBy: a.router.retryWriteBy(request)}
		o.stepReady = true
		o.callCount++
	}
}

// retryWriteBy returns the time by which the last byte of a request's newest attempt must be written, if that attempt repeats an
// earlier one and the servers drop repetitions only for a while. Otherwise it returns 0.
func (r *Router) retryWriteBy(id uint32) time.Duration {
	q := r.requests[id]
	if q == nil || q.class.Effect != Deduplicated {
		return 0
	}
	for i := range q.attempts[:len(q.attempts)-1] { // the first one that may have run is the earliest
		if t := &q.attempts[i]; t.mayHaveRun {
			return r.dedupEnd(q, t)
		}
	}
	return 0
}

func (a *facadeActions) endRequest(request uint32, step Step) {
	o := a.openRequests[request]
	if o == nil || o.final {
		return
	}
	o.step, o.stepReady, o.final = step, true, true
	if o.inCall { // the goroutine of the request waits for its attempt
		a.Cancel(request, o.callCount-1)
	}
}

func (a *facadeActions) Cancel(request uint32, attempt int) {
	a.orders.Cancelled = append(a.orders.Cancelled, AttemptID{request, attempt})
	a.wake()
}

func (a *facadeActions) Refuse(request uint32, retryAfter time.Duration) {
	a.endRequest(request, Step{Kind: StepReject, RetryAfter: retryAfter})
}

func (a *facadeActions) Fail(request uint32) { a.endRequest(request, Step{Kind: StepFail}) }

func (a *facadeActions) CloseIdle(server uint32) { a.idleToClose = append(a.idleToClose, server) }

func (a *facadeActions) SetTimer(token uint64, delay time.Duration) {
	t := timer{a.now + max(delay, 0), token}
	at, _ := slices.BinarySearchFunc(a.timers, t.due+1, func(e timer, due time.Duration) int {
		return int(min(max(e.due-due, -1), 1))
	})
	a.timers = slices.Insert(a.timers, at, t)
	if at == 0 {
		a.wake()
	}
}

func (a *facadeActions) FetchList() { a.orders.FetchList = true; a.wake() }

func (a *facadeActions) Watch(on bool) {
	a.orders.Watch, a.orders.Unwatch = on, !on
	a.wake()
}

func (a *facadeActions) Log(text string) {
	a.orders.Logs = append(a.orders.Logs, text)
	a.wake()
}
