package hoptiller

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// checker is a proxy that simulates its own servers. It checks the Router's actions against invariants 1 to 3 (retries have no
// unwanted effect, leaving servers get no requests, each request gets one final answer in time) and against the limits on
// attempts and retries. It shares no code with the Router's own bookkeeping.
type checker struct {
	t            *testing.T
	settings     Settings
	random       *rand.Rand
	now          time.Duration
	requests     map[uint32]*checkedRequest
	queue        []queuedEvent
	stopKnown    map[uint32]time.Duration // since when a server is known to be draining or removed
	zones        map[uint32]int
	trace        []string
	timers       int
	requestTimes []time.Duration // when each request was made
	retries      []retryAttempt  // all attempts after a request's first
	budgetUsed   int             // how many of them count against the budget
}

// retryAttempt is an attempt after a request's first. It is outside the budget if a miss permitted it or it was never sent.
type retryAttempt struct {
	at            time.Duration
	request       uint32
	attempt       int
	outsideBudget bool
}

type checkedRequest struct {
	class      Class
	deadline   time.Duration
	answered   bool
	missGrants int // misses that have not yet permitted an attempt
	attempts   []checkedAttempt
}

type checkedAttempt struct {
	sentAt     time.Duration
	server     uint32
	open       bool
	mayHaveRun bool
}

type queuedEvent struct {
	at      time.Duration
	token   uint64 // of a timer
	request uint32 // whose attempt ends
	attempt int
	status  Status
	isTimer bool
}

func (c *checker) record(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%d ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) mustGet(id uint32) *checkedRequest {
	w := c.requests[id]
	if w == nil {
		c.t.Fatalf("action for request %d, which does not exist", id)
	}
	return w
}

func (c *checker) Send(id, server uint32, timeout time.Duration) {
	c.record("send %d %d %d", id, server, timeout)
	w := c.mustGet(id)
	if w.answered {
		c.t.Fatalf("request %d sent after its answer", id)
	}
	if at, leaving := c.stopKnown[server]; leaving && c.now > at+c.settings.StopSendingWithin {
		c.t.Fatalf("request %d sent to server %d, known to drain or be removed for %v", id, server, c.now-at)
	}
	if len(w.attempts) >= c.settings.MaxAttempts {
		c.t.Fatalf("request %d has more than %d attempts", id, c.settings.MaxAttempts)
	}
	for _, t := range w.attempts {
		if t.open && !c.settings.Hedging {
			c.t.Fatalf("request %d has two open attempts", id)
		}
		if !t.mayHaveRun {
			continue
		}
		if w.class.Effect == AtMostOnce {
			c.t.Fatalf("request %d may have run and is retried", id)
		}
		if w.class.Effect == Deduplicated && (c.now-t.sentAt > w.class.DedupTTL ||
			w.class.Group == GroupZone && c.zones[t.server] != c.zones[server]) {
			c.t.Fatalf("deduplicated request %d retried outside its group or time", id)
		}
	}
	if len(w.attempts) > 0 {
		c.checkBudget(id, w)
	}
	w.attempts = append(w.attempts, checkedAttempt{c.now, server, true, true})
	c.scheduleOutcome(id, len(w.attempts)-1, timeout, w.deadline)
}

// checkBudget checks an attempt after the first against the budget, straight from the definition: it counts all requests and
// retries within the window, including this attempt.
func (c *checker) checkBudget(id uint32, w *checkedRequest) {
	e := retryAttempt{at: c.now, request: id, attempt: len(w.attempts), outsideBudget: w.missGrants > 0}
	if e.outsideBudget {
		w.missGrants--
	} else {
		c.budgetUsed++
	}
	c.retries = append(c.retries, e)
	if e.outsideBudget || c.settings.BudgetWindow <= 0 {
		return
	}
	retryCount, requestCount := 0, 0
	for _, x := range c.retries {
		if !x.outsideBudget && x.at >= c.now-c.settings.BudgetWindow {
			retryCount++
		}
	}
	for _, at := range c.requestTimes {
		if at > c.now-c.settings.BudgetWindow {
			requestCount++
		}
	}
	if float64(retryCount) > max(0, c.settings.BudgetFree)+max(0, c.settings.BudgetRatio)*float64(requestCount) {
		c.t.Fatalf("request %d: %d retries in a window with %d requests", id, retryCount, requestCount)
	}
}

// notSent takes an attempt that was never sent out of the budget.
func (c *checker) notSent(id uint32, n int) {
	for i := range c.retries {
		if x := &c.retries[i]; x.request == id && x.attempt == n && !x.outsideBudget {
			x.outsideBudget = true
			c.budgetUsed--
		}
	}
}

// scheduleOutcome draws how and when an attempt ends.
func (c *checker) scheduleOutcome(id uint32, n int, timeout, deadline time.Duration) {
	limit := deadline - c.now
	if timeout > 0 && timeout < limit {
		limit = timeout
	}
	at := time.Duration(c.random.Int63n(int64(400 * time.Millisecond)))
	st := []Status{OK, OK, OK, OK, Miss, ServerError, TurnedAway, ConnectFailed, Reset, Timeout, NotSent}[c.random.Intn(11)]
	if at >= limit || st == Timeout {
		at, st = limit, Timeout
	}
	c.queue = append(c.queue, queuedEvent{at: c.now + at, request: id, attempt: n, status: st})
}

func (c *checker) Cancel(id uint32, attempt int) {
	c.record("cancel %d %d", id, attempt)
	w := c.mustGet(id)
	if attempt < 0 || attempt >= len(w.attempts) {
		c.t.Fatalf("cancel of attempt %d of request %d, which was never made", attempt, id)
	}
	for i := range c.queue {
		if d := &c.queue[i]; !d.isTimer && d.request == id && d.attempt == attempt {
			d.at, d.status = c.now, Cancelled
		}
	}
}

func (c *checker) checkFinalAnswer(id uint32, refuse bool) {
	w := c.mustGet(id)
	if w.answered {
		c.t.Fatalf("request %d answered twice", id)
	}
	w.answered = true
	if !refuse || w.class.Effect == Idempotent || w.class.Effect == Deduplicated && w.class.Group == GroupAll {
		return
	}
	for _, t := range w.attempts {
		if t.mayHaveRun {
			c.t.Fatalf("request %d may have run and is refused", id)
		}
	}
}

func (c *checker) Refuse(id uint32, _ time.Duration) {
	c.record("refuse %d", id)
	c.checkFinalAnswer(id, true)
}
func (c *checker) Fail(id uint32) { c.record("fail %d", id); c.checkFinalAnswer(id, false) }
func (c *checker) SetTimer(token uint64, d time.Duration) {
	c.timers++
	c.queue = append(c.queue, queuedEvent{at: c.now + max(d, 1), token: token, isTimer: true})
}
func (c *checker) FetchList()         { c.record("fetch") }
func (c *checker) CloseIdle(s uint32) { c.record("close %d", s) }
func (c *checker) Watch(b bool)       { c.record("watch %v", b) }
func (c *checker) Log(s string)       { c.record("log %s", s) }

// deliverDue delivers the events that are due, in order of time.
func (c *checker) deliverDue(r *Router) {
	for {
		best := -1
		for i, d := range c.queue {
			if d.at <= c.now && (best < 0 || d.at < c.queue[best].at) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		d := c.queue[best]
		c.queue = append(c.queue[:best], c.queue[best+1:]...)
		if d.isTimer {
			r.Timer(c.now, d.token)
			continue
		}
		w := c.requests[d.request]
		t := &w.attempts[d.attempt]
		t.open = false
		t.mayHaveRun = d.status != Miss && d.status != TurnedAway && d.status != ConnectFailed && d.status != NotSent
		if d.status == Miss {
			w.missGrants++
		} else if d.status == NotSent {
			c.notSent(d.request, d.attempt)
		}
		if d.status == OK {
			w.answered = true
		}
		r.Outcome(c.now, Outcome{Request: d.request, Attempt: d.attempt, Server: t.server, Status: d.status,
			Latency: c.now - t.sentAt, Closed: w.answered})
	}
}

// playSequence plays one long random sequence of events and returns the Router's actions.
func playSequence(t *testing.T, seed int64, set Settings) []string {
	c := &checker{t: t, settings: set, random: rand.New(rand.NewSource(seed)), now: time.Second,
		requests: map[uint32]*checkedRequest{}, stopKnown: map[uint32]time.Duration{}, zones: map[uint32]int{}}
	r := New(c.now, set, uint64(seed), c)
	list := fleet(1, 2, 1, 3, 1, 1)
	for i := range list {
		list[i].Zone, list[i].Kind = i%2, 0
		c.zones[list[i].ID] = i % 2
	}
	if set.CacheAside {
		list[5].Kind = set.OriginKind
	}
	r.UpdateServers(c.now, ListCached, list)
	next := uint32(1)
	for step := 0; step < 6000; step++ {
		c.now += time.Duration(c.random.Int63n(int64(4 * time.Millisecond)))
		c.deliverDue(r)
		c.changeServer(r, list)
		if c.random.Intn(3) > 0 {
			c.request(r, next)
			next++
		}
		r.Outcome(c.now, Outcome{Request: next + 50, Server: 3, Status: OK}) // an unknown id is ignored
		if c.random.Intn(50) == 0 {
			r.Timer(c.now, uint64(c.random.Intn(5)))
		}
	}
	for i := 0; i < 400; i++ {
		c.now += 10 * time.Millisecond
		c.deliverDue(r)
	}
	for id, w := range c.requests {
		if !w.answered {
			t.Fatalf("request %d was never answered", id)
		}
	}
	r.sweep()
	if len(r.requests) != 0 || len(r.requestOrder) != 0 {
		t.Fatalf("%d requests are left at the end", len(r.requests))
	}
	for _, s := range r.servers {
		if s.inFlight != 0 {
			t.Fatalf("server %d still has %d attempts in flight", s.ID, s.inFlight)
		}
	}
	return c.trace
}

func (c *checker) request(r *Router, id uint32) {
	class := c.random.Intn(len(c.settings.Classes))
	w := &checkedRequest{class: c.settings.Classes[class]}
	remaining := w.class.Deadline * time.Duration(20+c.random.Intn(80)) / 100
	w.deadline = c.now + remaining
	c.requests[id] = w
	c.requestTimes = append(c.requestTimes, c.now)
	r.Request(c.now, Request{ID: id, Class: class, Key: uint64(c.random.Intn(40)), Tenant: c.random.Intn(3),
		Write: class > 0, Remaining: remaining})
	if c.random.Intn(60) == 0 && !w.answered {
		w.answered = true
		r.ClientDisconnected(c.now, id)
	}
	if id%20 > 0 {
		return
	}
	for _, x := range c.requests {
		if !x.answered && c.now > x.deadline+c.settings.AnswerGrace {
			c.t.Fatalf("a request is overdue by %v", c.now-x.deadline)
		}
	}
}

// changeServer changes the phase or start of one server now and then.
func (c *checker) changeServer(r *Router, list []Server) {
	if c.random.Intn(80) > 0 {
		return
	}
	s := &list[c.random.Intn(len(list))]
	switch s.Phase = Phase(c.random.Intn(3)); s.Phase {
	case Ready:
		delete(c.stopKnown, s.ID)
		s.Started = c.now
	case Removed:
		if c.settings.AbsenceAllowsSending {
			break // without a listed drain, requests may still be sent
		}
		fallthrough
	default:
		if _, known := c.stopKnown[s.ID]; !known {
			c.stopKnown[s.ID] = c.now
		}
	}
	if c.random.Intn(4) == 0 {
		r.UpdateServers(c.now, ListFailed, nil)
	}
	r.UpdateServers(c.now, ListDelta, []Server{*s})
}

func sequenceSettings(variant int) Settings {
	set := testSettings()
	set.AnswerGrace = 20 * time.Millisecond
	set.StopSendingWithin = 0
	set.Tenants = []Tenant{{50}, {20}}
	set.Classes[1].Group = Group(variant % 2)
	if variant%2 == 1 {
		set.Classes[0].LateFraction = 0
		set.Hedging = true
	}
	if variant >= 4 {
		set.BudgetFree, set.BudgetRatio, set.BudgetWindow = 2, 0.05, 300*time.Millisecond
		set.AbsenceAllowsSending = variant == 5
	}
	if variant == 2 || variant == 3 || variant == 5 {
		set.CacheAside, set.OriginKind, set.ListOnRequest = true, 2, true
		set.FetchListWithin = 10 * time.Second
	}
	return set
}

func TestInvariantsHoldOverRandomSequences(t *testing.T) {
	for variant := 0; variant < 6; variant++ {
		for seed := int64(1); seed <= 5; seed++ {
			playSequence(t, seed, sequenceSettings(variant))
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a := playSequence(t, 11, sequenceSettings(2))
	if b := playSequence(t, 11, sequenceSettings(2)); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
	if len(a) < 4000 {
		t.Errorf("only %d actions: the sequence does not exercise the Router", len(a))
	}
}
