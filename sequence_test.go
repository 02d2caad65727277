package hoptiller

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// checker is a proxy that plays servers of its own and holds the Router to rules 1 to 3
// and to the attempt limits. It shares no code with the Router's own bookkeeping.
type checker struct {
	t      *testing.T
	set    Settings
	rng    *rand.Rand
	now    time.Duration
	reqs   map[uint32]*watched
	queue  []due
	told   map[uint32]time.Duration // since when a server is known to drain or be gone
	zones  map[uint32]int
	trace  []string
	timers int
	taken  []time.Duration // every request given
	extra  []extra         // every attempt beyond a request's first
	spent  int             // and how many of them came out of the budget
}

// extra is an attempt beyond a request's first; free ones are granted by a miss or were never sent.
type extra struct {
	at   time.Duration
	req  uint32
	try  int
	free bool
}

type watched struct {
	class    Class
	deadline time.Duration
	answered bool
	grants   int // misses not yet used up
	tries    []try
}

type try struct {
	at     time.Duration
	server uint32
	open   bool
	ran    bool
}

type due struct {
	at    time.Duration
	token uint64 // a timer, or
	req   uint32 // an outcome
	try   int
	st    Status
	timer bool
}

func (c *checker) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%d ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) get(id uint32) *watched {
	w := c.reqs[id]
	if w == nil {
		c.t.Fatalf("action for request %d, which was never given", id)
	}
	return w
}

func (c *checker) Send(id, server uint32, timeout time.Duration) {
	c.note("send %d %d %d", id, server, timeout)
	w := c.get(id)
	if w.answered {
		c.t.Fatalf("request %d sent after its answer", id)
	}
	if at, gone := c.told[server]; gone && c.now > at+c.set.StopSendingWithin {
		c.t.Fatalf("request %d sent to server %d, told to leave %v ago", id, server, c.now-at)
	}
	if len(w.tries) >= c.set.MaxAttempts {
		c.t.Fatalf("request %d has more than %d attempts", id, c.set.MaxAttempts)
	}
	for _, t := range w.tries {
		if t.open && !c.set.SecondCopies {
			c.t.Fatalf("request %d has two attempts out", id)
		}
		if !t.ran {
			continue
		}
		if w.class.Effect == AtMostOnce {
			c.t.Fatalf("request %d may have run and is sent again", id)
		}
		if w.class.Effect == Deduplicated && (c.now-t.at > w.class.KeyTTL ||
			w.class.Group == GroupZone && c.zones[t.server] != c.zones[server]) {
			c.t.Fatalf("keyed request %d sent again out of its group or window", id)
		}
	}
	if len(w.tries) > 0 {
		c.budget(id, w)
	}
	w.tries = append(w.tries, try{c.now, server, true, true})
	c.plan(id, len(w.tries)-1, timeout, w.deadline)
}

// budget holds an attempt beyond the first to the budget, by the rule's own words: count again all
// that was taken and tried within the window, this attempt included.
func (c *checker) budget(id uint32, w *watched) {
	e := extra{at: c.now, req: id, try: len(w.tries), free: w.grants > 0}
	if e.free {
		w.grants--
	} else {
		c.spent++
	}
	c.extra = append(c.extra, e)
	if e.free || c.set.BudgetWindow <= 0 {
		return
	}
	tried, taken := 0, 0
	for _, x := range c.extra {
		if !x.free && x.at >= c.now-c.set.BudgetWindow {
			tried++
		}
	}
	for _, at := range c.taken {
		if at > c.now-c.set.BudgetWindow {
			taken++
		}
	}
	if float64(tried) > max(0, c.set.BudgetFree)+max(0, c.set.BudgetRatio)*float64(taken) {
		c.t.Fatalf("request %d: %d further attempts in the window in which %d requests were taken", id, tried, taken)
	}
}

// moot frees an attempt that was never sent.
func (c *checker) moot(id uint32, n int) {
	for i := range c.extra {
		if x := &c.extra[i]; x.req == id && x.try == n && !x.free {
			x.free = true
			c.spent--
		}
	}
}

// plan draws how and when an attempt ends.
func (c *checker) plan(id uint32, n int, timeout, deadline time.Duration) {
	limit := deadline - c.now
	if timeout > 0 && timeout < limit {
		limit = timeout
	}
	at := time.Duration(c.rng.Int63n(int64(400 * time.Millisecond)))
	st := []Status{OK, OK, OK, OK, Miss, ServerError, Full, ConnectFailed, Reset, Timeout, Moot}[c.rng.Intn(11)]
	if at >= limit || st == Timeout {
		at, st = limit, Timeout
	}
	c.queue = append(c.queue, due{at: c.now + at, req: id, try: n, st: st})
}

func (c *checker) Cancel(id uint32, attempt int) {
	c.note("cancel %d %d", id, attempt)
	w := c.get(id)
	if attempt < 0 || attempt >= len(w.tries) {
		c.t.Fatalf("cancel of attempt %d of request %d, which was never made", attempt, id)
	}
	for i := range c.queue {
		if d := &c.queue[i]; !d.timer && d.req == id && d.try == attempt {
			d.at, d.st = c.now, Cancelled
		}
	}
}

func (c *checker) final(id uint32, refuse bool) {
	w := c.get(id)
	if w.answered {
		c.t.Fatalf("request %d answered twice", id)
	}
	w.answered = true
	if !refuse || w.class.Effect == Idempotent || w.class.Effect == Deduplicated && w.class.Group == GroupAll {
		return
	}
	for _, t := range w.tries {
		if t.ran {
			c.t.Fatalf("request %d may have run and is refused", id)
		}
	}
}

func (c *checker) Refuse(id uint32, _ time.Duration) { c.note("refuse %d", id); c.final(id, true) }
func (c *checker) Fail(id uint32)                    { c.note("fail %d", id); c.final(id, false) }
func (c *checker) SetTimer(token uint64, d time.Duration) {
	c.timers++
	c.queue = append(c.queue, due{at: c.now + max(d, 1), token: token, timer: true})
}
func (c *checker) FetchList()         { c.note("fetch") }
func (c *checker) CloseIdle(s uint32) { c.note("close %d", s) }
func (c *checker) Watch(b bool)       { c.note("watch %v", b) }
func (c *checker) Log(s string)       { c.note("log %s", s) }

// settle delivers what is due at or before now, in order of time.
func (c *checker) settle(r *Router) {
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
		if d.timer {
			r.Timer(c.now, d.token)
			continue
		}
		w := c.reqs[d.req]
		t := &w.tries[d.try]
		t.open = false
		t.ran = d.st != Miss && d.st != Full && d.st != ConnectFailed && d.st != Moot
		if d.st == Miss {
			w.grants++
		} else if d.st == Moot {
			c.moot(d.req, d.try)
		}
		if d.st == OK {
			w.answered = true
		}
		r.Outcome(c.now, Outcome{Request: d.req, Attempt: d.try, Server: t.server, Status: d.st,
			Latency: c.now - t.at, Closed: w.answered})
	}
}

// play runs one long random sequence and returns all the Router did.
func play(t *testing.T, seed int64, set Settings) []string {
	c := &checker{t: t, set: set, rng: rand.New(rand.NewSource(seed)), now: time.Second,
		reqs: map[uint32]*watched{}, told: map[uint32]time.Duration{}, zones: map[uint32]int{}}
	r := New(c.now, set, uint64(seed), c)
	list := fleet(1, 2, 1, 3, 1, 1)
	for i := range list {
		list[i].Zone, list[i].Kind = i%2, 0
		c.zones[list[i].ID] = i % 2
	}
	if set.Aside {
		list[5].Kind = set.OriginKind
	}
	r.List(c.now, ListCached, list)
	next := uint32(1)
	for step := 0; step < 6000; step++ {
		c.now += time.Duration(c.rng.Int63n(int64(4 * time.Millisecond)))
		c.settle(r)
		c.change(r, list)
		if c.rng.Intn(3) > 0 {
			c.request(r, next)
			next++
		}
		r.Outcome(c.now, Outcome{Request: next + 50, Server: 3, Status: OK}) // unknown ids are passed over
		if c.rng.Intn(50) == 0 {
			r.Timer(c.now, uint64(c.rng.Intn(5)))
		}
	}
	for i := 0; i < 400; i++ {
		c.now += 10 * time.Millisecond
		c.settle(r)
	}
	for id, w := range c.reqs {
		if !w.answered {
			t.Fatalf("request %d was never answered", id)
		}
	}
	r.sweep()
	if len(r.reqs) != 0 || len(r.order) != 0 {
		t.Fatalf("%d requests are still held at the end", len(r.reqs))
	}
	for _, s := range r.known {
		if s.out != 0 {
			t.Fatalf("server %d still counts %d attempts", s.ID, s.out)
		}
	}
	return c.trace
}

func (c *checker) request(r *Router, id uint32) {
	class := c.rng.Intn(len(c.set.Classes))
	w := &watched{class: c.set.Classes[class]}
	remaining := w.class.Deadline * time.Duration(20+c.rng.Intn(80)) / 100
	w.deadline = c.now + remaining
	c.reqs[id] = w
	c.taken = append(c.taken, c.now)
	r.Request(c.now, Request{ID: id, Class: class, Key: uint64(c.rng.Intn(40)), Tenant: c.rng.Intn(3),
		Write: class > 0, Remaining: remaining})
	if c.rng.Intn(60) == 0 && !w.answered {
		w.answered = true
		r.ClientGone(c.now, id)
	}
	if id%20 > 0 {
		return
	}
	for _, x := range c.reqs {
		if !x.answered && c.now > x.deadline+c.set.AnswerGrace {
			c.t.Fatalf("a request is overdue by %v", c.now-x.deadline)
		}
	}
}

// change alters one server's phase or start now and then.
func (c *checker) change(r *Router, list []Server) {
	if c.rng.Intn(80) > 0 {
		return
	}
	s := &list[c.rng.Intn(len(list))]
	switch s.Phase = Phase(c.rng.Intn(3)); s.Phase {
	case Ready:
		delete(c.told, s.ID)
		s.Started = c.now
	case Gone:
		if c.set.RemovalNotBinding {
			break // binds only those told to drain before
		}
		fallthrough
	default:
		if _, known := c.told[s.ID]; !known {
			c.told[s.ID] = c.now
		}
	}
	if c.rng.Intn(4) == 0 {
		r.List(c.now, ListFailed, nil)
	}
	r.List(c.now, ListDelta, []Server{*s})
}

func sequenceSettings(variant int) Settings {
	set := testSettings()
	set.AnswerGrace = 20 * time.Millisecond
	set.StopSendingWithin = 0
	set.Tenants = []Tenant{{50}, {20}}
	set.Classes[1].Group = Group(variant % 2)
	if variant%2 == 1 {
		set.Classes[0].LateValue = 0
		set.SecondCopies = true
	}
	if variant >= 4 {
		set.BudgetFree, set.BudgetRatio, set.BudgetWindow = 2, 0.05, 300*time.Millisecond
		set.RemovalNotBinding = variant == 5
	}
	if variant == 2 || variant == 3 || variant == 5 {
		set.Aside, set.OriginKind, set.ListOnRequest = true, 2, true
		set.AskWithin = 10 * time.Second
	}
	return set
}

func TestRulesHoldOverRandomSequences(t *testing.T) {
	for variant := 0; variant < 6; variant++ {
		for seed := int64(1); seed <= 5; seed++ {
			play(t, seed, sequenceSettings(variant))
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a := play(t, 11, sequenceSettings(2))
	if b := play(t, 11, sequenceSettings(2)); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
	if len(a) < 4000 {
		t.Errorf("only %d actions: the sequence does not exercise the Router", len(a))
	}
}
