// Package admit applies a plan to invocations: which limits one has to pass before
// the decision module hears of it, and how the plan narrows what the module may then
// do. It is the same code in the router and in the lab.
//
// It does no I/O, starts no goroutines and reads no clock. It never widens what the
// module may do, and it holds nothing back that it has given up: whoever waits in a
// queue has a bounded time to wait, and one that is refused is refused at once.
package admit

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hoptiller"
	"hoptiller/internal/limit"
	"hoptiller/internal/plan"
)

// Server is what pools are made of.
type Server struct {
	ID               uint32
	Zone, Kind, Cell int
	Addr             string
	Ready            bool
}

// Turn is what is said of an invocation.
type Turn struct {
	ID      uint64
	Verdict limit.Verdict
	After   time.Duration // No: when to come again; 0 where that can't be told
	Until   time.Duration // Wait: when it is to leave
	Limit   string        // No: the name of the limit that it met
}

// Control holds the limits of one router. It may be used by many goroutines.
type Control struct {
	now atomic.Pointer[inForce] // read without the lock, written with it

	mu      sync.Mutex
	rooms   map[string]*room
	pools   map[string]*pool
	tickets map[uint64]*ticket
	servers map[uint32]Server
}

// inForce is what holds now. It is never changed, so that no table of one plan meets the limits of another.
type inForce struct {
	plan   *plan.Plan
	bounds map[*plan.Entry]*Bound
	shared *limit.Gate // nil where there is no limit of all routes
}

// room is the state of one route's limits.
type room struct {
	rate   string // the names of its limits
	most   string
	queue  string
	bucket limit.Bucket
	gate   limit.Gate
	budget limit.Budget
}

// pool is who belongs to a pool now, or to what stands in for it.
type pool struct {
	members atomic.Pointer[map[uint32]bool]
}

// Bound is what the plan says of some invocations. It is the module's Narrowing for
// them, and stays as it was when they began, whatever is loaded later.
type Bound struct {
	entry   *plan.Entry
	control *Control
	room    *room       // nil where the route has no limits
	shared  *limit.Gate // nil where there is no limit of all routes
	pool    *pool
	narrows bool
}

var _ hoptiller.Narrowing = (*Bound)(nil)

// ticket is one invocation that waits or is in.
type ticket struct {
	bound *Bound
	stage stage
	since time.Duration // when it came in
}

type stage uint8

const (
	atRoute  stage = iota // waits for its route's limit
	atShared              // has passed that, and waits for the one of all routes
	inside
)

// New returns a Control for a plan.
func New(p *plan.Plan) *Control {
	c := &Control{rooms: map[string]*room{}, tickets: map[uint64]*ticket{}, servers: map[uint32]Server{}}
	c.Adopt(p)
	return c
}

// Plan is the plan that holds now.
func (c *Control) Plan() *plan.Plan { return c.now.Load().plan }

// Adopt puts another plan in the place of the one that holds. Invocations that have
// begun end as they began; what is out counts on, and what a route's limits have
// learned is kept.
func (c *Control) Adopt(p *plan.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &inForce{plan: p, bounds: map[*plan.Entry]*Bound{}}
	c.pools = map[string]*pool{}
	for name := range p.Pools {
		c.pools[name] = &pool{}
	}
	c.fill(p)
	if l := &p.Limits; l.Concurrency.Most > 0 {
		if old := c.now.Load(); old != nil && old.shared != nil {
			next.shared = old.shared
		} else {
			next.shared = &limit.Gate{}
		}
		next.shared.Adopt(concurrency(l.Concurrency), l.Queue, l.QueueFor)
	}
	was := c.rooms
	c.rooms = map[string]*room{}
	for _, e := range p.Table().Entries() {
		next.bounds[e] = c.bind(e, was)
		next.bounds[e].shared = next.shared
	}
	c.now.Store(next)
}

func concurrency(c plan.Concurrency) limit.Concurrency {
	return limit.Concurrency{Adaptive: c.Adaptive, Least: c.Least, Most: c.Most}
}

// bind makes an entry's Bound, with the room of its route if that was there before.
func (c *Control) bind(e *plan.Entry, was map[string]*room) *Bound {
	b := &Bound{entry: e, control: c}
	if e.Route == nil {
		return b
	}
	p := e.Route.Policy
	b.narrows = p != nil || e.Pool != nil
	if e.Pool != nil {
		b.pool = c.pools[e.Pool.Name]
	}
	if p == nil || p.Rate == 0 && p.Concurrency.Most == 0 && !p.BudgetSaid {
		return b
	}
	if b.room = c.rooms[e.Route.Name]; b.room == nil {
		if b.room = was[e.Route.Name]; b.room == nil {
			of := " of route " + e.Route.Name
			b.room = &room{rate: "rate" + of, most: "concurrency" + of, queue: "queue" + of}
		}
		c.rooms[e.Route.Name] = b.room
		b.room.bucket.Rate, b.room.bucket.Burst = p.Rate, p.Burst
		b.room.budget.Part, b.room.budget.Least = p.Budget, p.BudgetLeast
		k := concurrency(p.Concurrency)
		if k.Most == 0 { // nothing is bounded, but what is out is counted: it may be with the next plan
			k = limit.Concurrency{Least: unbounded, Most: unbounded}
		}
		b.room.gate.Adopt(k, p.Queue, p.QueueFor)
	}
	return b
}

const unbounded = 1 << 30

// Servers tells who there is.
func (c *Control) Servers(all []Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.servers)
	for _, s := range all {
		c.servers[s.ID] = s
	}
	c.fill(c.Plan())
}

// fill finds the members of each pool; c.mu is held.
func (c *Control) fill(of *plan.Plan) {
	own := map[string]map[uint32]bool{}
	for name, p := range of.Pools {
		own[name] = map[uint32]bool{}
		for id, s := range c.servers {
			if s.Ready && fits(p, &s) {
				own[name][id] = true
			}
		}
	}
	for name := range of.Pools {
		members, at := own[name], of.Pools[name]
		for len(members) < at.AtLeast && at.Fallback != "" { // the checker has seen to it that this ends
			at = of.Pools[at.Fallback]
			members = own[at.Name]
		}
		if len(members) < at.AtLeast {
			members = nil // too few to be sent everything
		}
		c.pools[name].members.Store(&members)
	}
}

func fits(p *plan.Pool, s *Server) bool {
	in := func(list []int, x int) bool { return len(list) == 0 || slices.Contains(list, x) }
	return in(p.Zones, s.Zone) && in(p.Kinds, s.Kind) && in(p.Cells, s.Cell) &&
		(len(p.Addrs) == 0 || slices.Contains(p.Addrs, s.Addr))
}

// Find is what the plan that holds now says of an invocation.
func (c *Control) Find(class int, key, tenant []byte, client netip.Addr) *Bound {
	now := c.now.Load()
	return now.bounds[now.plan.Table().Lookup(class, key, tenant, client)]
}

// Free tells that there is no limit to pass: Ask would say Go, and Done need not be told.
func (b *Bound) Free() bool { return b.room == nil && b.shared == nil }

// Narrowing is what the module is given for an invocation; nil if nothing is narrowed.
func (b *Bound) Narrowing() hoptiller.Narrowing {
	if !b.narrows {
		return nil
	}
	return b
}

// Allows tells whether a server belongs to the pool.
func (b *Bound) Allows(server uint32) bool {
	if b.pool == nil {
		return true
	}
	return (*b.pool.members.Load())[server]
}

// Timeout is how long one call may take.
func (b *Bound) Timeout() time.Duration {
	if t := b.entry.Policy.Timeout; t > 0 {
		return t
	}
	return time.Hour
}

// Repeats tells whether a call may follow one that ended like last.
func (b *Bound) Repeats(calls int, last hoptiller.Status) bool {
	p := &b.entry.Policy
	if last == hoptiller.Cancelled || last == hoptiller.Moot { // it was taken back for being silent
		last = hoptiller.Timeout
	}
	return (p.Attempts == 0 || calls < p.Attempts) && p.Repeat.Has(last)
}

// Spend takes a repeat out of the route's budget.
func (b *Bound) Spend(now time.Duration) bool {
	if !b.entry.Policy.BudgetSaid {
		return true
	}
	b.control.mu.Lock()
	defer b.control.mu.Unlock()
	return b.room.budget.Repeat(now)
}

// Copies tells whether two calls may be out at once.
func (b *Bound) Copies() bool { return b.entry.Policy.Copies != 1 }

// Late tells whether an answer after a time earns less than its whole worth.
func (b *Bound) Late(took time.Duration) bool {
	classes := b.control.Plan().Platform().Settings.Classes
	return b.entry.Class < len(classes) && classes[b.entry.Class].Aim > 0 && took > classes[b.entry.Class].Aim
}

// Ask asks for an invocation to be let in. Numbers are the caller's, from 1, each
// used once. Others is what that means for invocations that wait.
func (c *Control) Ask(now time.Duration, id uint64, b *Bound) (t Turn, others []Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.room != nil {
		b.room.budget.Taken(now)
	}
	if b.Free() {
		return Turn{ID: id, Verdict: limit.Go}, nil
	}
	k := &ticket{bound: b, since: now}
	if b.room != nil {
		if b.entry.Policy.Rate > 0 {
			if ok, wait := b.room.bucket.Take(now); !ok {
				return c.no(id, wait, b.room.rate), nil
			}
		}
		v, shed := b.room.gate.Ask(now, id, b.entry.Policy.Priority)
		others = c.shed(shed, &b.room.gate, b.room.most, others)
		switch v {
		case limit.No:
			return c.no(id, b.room.gate.After(), b.room.most), others
		case limit.Wait:
			c.tickets[id] = k
			return Turn{ID: id, Verdict: limit.Wait, Until: now + b.room.gate.QueueFor}, others
		}
	}
	return c.share(now, id, k, others)
}

const sharedName = "concurrency of all routes"

// share asks the limit of all routes for one that has passed its own.
func (c *Control) share(now time.Duration, id uint64, k *ticket, others []Turn) (Turn, []Turn) {
	c.tickets[id] = k
	if k.bound.shared == nil {
		k.stage, k.since = inside, now
		return Turn{ID: id, Verdict: limit.Go}, others
	}
	v, shed := k.bound.shared.Ask(now, id, k.bound.entry.Policy.Priority)
	if shed != 0 {
		others = c.shed(shed, k.bound.shared, sharedName, others)
		others = c.leaveRoute(now, shed, others)
	}
	switch v {
	case limit.No:
		others = c.leaveRoute(now, id, others)
		return c.no(id, k.bound.shared.After(), sharedName), others
	case limit.Wait:
		k.stage = atShared
		return Turn{ID: id, Verdict: limit.Wait, Until: now + k.bound.shared.QueueFor}, others
	}
	k.stage, k.since = inside, now
	return Turn{ID: id, Verdict: limit.Go}, others
}

// shed tells that one has lost its place in a queue.
func (c *Control) shed(id uint64, g *limit.Gate, name string, others []Turn) []Turn {
	if id == 0 {
		return others
	}
	if c.tickets[id].stage == atRoute {
		delete(c.tickets, id)
	}
	return append(others, c.no(id, g.After(), name))
}

// leaveRoute gives back the place at its route's limit of one that does not get in, and forgets it.
func (c *Control) leaveRoute(now time.Duration, id uint64, others []Turn) []Turn {
	k := c.tickets[id]
	delete(c.tickets, id)
	if k.bound.room == nil {
		return others
	}
	return c.admit(now, k.bound.room.gate.Done(now, k.bound.entry.Policy.Priority, 0, limit.Unknown), others)
}

// admit takes those that have passed their route's limit on to the one of all.
func (c *Control) admit(now time.Duration, ids []uint64, others []Turn) []Turn {
	for _, id := range ids {
		if k := c.tickets[id]; k != nil {
			var t Turn
			t, others = c.share(now, id, k, others)
			others = append(others, t)
		}
	}
	return others
}

// no is a refusal. Those refused together are told different times, so that they do not come together again.
func (c *Control) no(id uint64, after time.Duration, name string) Turn {
	set := &c.Plan().Platform().Settings
	if !set.RetryAfter {
		return Turn{ID: id, Verdict: limit.No, Limit: name}
	}
	spread := 1 + float64(id*0x9e3779b97f4a7c15>>11)/(1<<53)/2
	after = time.Duration(float64(max(after, time.Millisecond)) * spread)
	return Turn{ID: id, Verdict: limit.No, After: min(after, cmp.Or(set.MaxRetryAfter, after)), Limit: name}
}

// Leave takes the end of one's waiting: its time is up, or its client has left. It
// tells whether it did wait; it does not where it has been named meanwhile.
func (c *Control) Leave(now time.Duration, id uint64) (waited bool, t Turn, others []Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.tickets[id]
	switch {
	case k == nil || k.stage == inside:
		return false, Turn{}, nil
	case k.stage == atRoute:
		k.bound.room.gate.Leave(id)
		delete(c.tickets, id)
		return true, c.no(id, k.bound.room.gate.After(), k.bound.room.queue), nil
	default:
		k.bound.shared.Leave(id)
		others = c.leaveRoute(now, id, others)
		return true, c.no(id, k.bound.shared.After(), "queue of all routes"), others
	}
}

// Done takes the end of one that was let in.
func (c *Control) Done(now time.Duration, id uint64, how limit.Ended) (others []Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.tickets[id]
	if k == nil {
		return nil // there was nothing to pass
	}
	delete(c.tickets, id)
	p := k.bound.entry.Policy.Priority
	if k.bound.shared != nil {
		for _, next := range k.bound.shared.Done(now, p, now-k.since, how) {
			if w := c.tickets[next]; w != nil {
				w.stage, w.since = inside, now
				others = append(others, Turn{ID: next, Verdict: limit.Go})
			}
		}
	}
	if k.bound.room != nil {
		others = c.admit(now, k.bound.room.gate.Done(now, p, now-k.since, how), others)
	}
	return others
}

// Counts tells how many are in and how many wait, in all.
func (c *Control) Counts() (in, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.tickets {
		if k.stage == inside {
			in++
		} else {
			waiting++
		}
	}
	return in, waiting
}
