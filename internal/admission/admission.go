// Package admission applies an operator's plan to requests. It decides which requests pass the
// plan's rate and concurrency limits before the decision module sees them, and how the plan
// constrains what the module may do with a request (hoptiller.Constraints). The router and the
// lab run the same code.
//
// The package does no I/O, starts no goroutines and reads no clock: the caller passes the time in.
// It never permits the module more than it may do without a plan. The time in a queue is
// bounded, and a request that can't be queued is rejected at once.
package admission

import (
	"cmp"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"hoptiller/internal/limit"
	"hoptiller/internal/plan"
)

// Decision is what the Controller decides about one request.
type Decision struct {
	RequestID  uint64
	Verdict    limit.Verdict
	RetryAfter time.Duration // with Rejected: when the client should retry; 0 if it gets no hint
	WaitUntil  time.Duration // with Queued: when the request has to leave the queue
	Limit      string        // with Rejected: the name of the limit that rejected the request
}

// Controller holds the limits of one router. It is safe for concurrent use.
type Controller struct {
	active atomic.Pointer[activePlan] // read without the lock, written with it

	mu       sync.Mutex
	limits   map[string]*routeLimits // by route name
	pools    map[string]*pool        // by pool name
	requests map[uint64]*request     // waiting or admitted
	servers  map[uint32]Server
}

// activePlan is the plan in force together with what is derived from it. It is immutable, so the
// table of one plan is never used with the limits of another.
type activePlan struct {
	plan        *plan.Plan
	constraints map[*plan.Entry]*Constraints
	sharedGate  *limit.Gate // nil if no limit covers all routes
}

// routeLimits is the state of one route's limits. It survives a change of the plan.
type routeLimits struct {
	rateName        string // names of the limits, as reported to operators
	concurrencyName string
	queueName       string
	bucket          limit.Bucket
	gate            limit.Gate
	budget          limit.Budget
}

// Names of the limits that cover all routes, as reported to operators.
const (
	sharedConcurrencyName = "concurrency of all routes"
	sharedQueueName       = "queue of all routes"
)

// request is one request that waits or is admitted.
type request struct {
	constraints *Constraints
	stage       stage
	since       time.Duration // arrival, or admission once it is admitted
}

// stage says how far a request has got.
type stage uint8

const (
	waitingForRoute  stage = iota // queued at its route's gate
	waitingForShared              // passed its route's gate, queued at the shared gate
	admitted
)

// New returns a Controller that applies p.
func New(p *plan.Plan) *Controller {
	c := &Controller{
		limits:   map[string]*routeLimits{},
		requests: map[uint64]*request{},
		servers:  map[uint32]Server{},
	}
	c.SetPlan(p)
	return c
}

// Plan returns the plan in force.
func (c *Controller) Plan() *plan.Plan { return c.active.Load().plan }

// SetPlan replaces the plan in force. Requests that have begun keep their constraints. Admitted
// requests still count against the limits, and each route's limits keep what they have learned.
func (c *Controller) SetPlan(p *plan.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &activePlan{plan: p, constraints: map[*plan.Entry]*Constraints{}}
	c.pools = map[string]*pool{}
	for name := range p.Pools {
		c.pools[name] = &pool{}
	}
	c.updatePools(p)
	if p.Limits.Concurrency.Max > 0 {
		next.sharedGate = c.sharedGate(&p.Limits)
	}
	previous := c.limits
	c.limits = map[string]*routeLimits{}
	for _, entry := range p.Table().Entries() {
		next.constraints[entry] = c.newConstraints(entry, previous)
		next.constraints[entry].sharedGate = next.sharedGate
	}
	c.active.Store(next)
}

// sharedGate returns the gate that covers all routes, with the given limits. The gate of the
// previous plan is kept if there was one.
func (c *Controller) sharedGate(limits *plan.Limits) *limit.Gate {
	gate := &limit.Gate{}
	if previous := c.active.Load(); previous != nil && previous.sharedGate != nil {
		gate = previous.sharedGate
	}
	gate.Reconfigure(concurrencyBounds(limits.Concurrency), limits.MaxQueueLength, limits.MaxQueueTime)
	return gate
}

// concurrencyBounds converts the bounds of a plan.
func concurrencyBounds(c plan.Concurrency) limit.Concurrency {
	return limit.Concurrency{Adaptive: c.Adaptive, Min: c.Min, Max: c.Max}
}

// Lookup returns the constraints that the plan in force puts on a request.
func (c *Controller) Lookup(class int, key, tenant []byte, client netip.Addr) *Constraints {
	active := c.active.Load()
	return active.constraints[active.plan.Table().Lookup(class, key, tenant, client)]
}

// Admit decides on a new request. The caller chooses the ids, from 1, each used once. The second
// result holds the decisions on other requests that follow from this one.
func (c *Controller) Admit(now time.Duration, id uint64, constraints *Constraints) (decision Decision, others []Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := constraints.limits
	if limits != nil {
		limits.budget.CountRequest(now)
	}
	if constraints.Unlimited() {
		return Decision{RequestID: id, Verdict: limit.Admitted}, nil
	}
	req := &request{constraints: constraints, since: now}
	if limits == nil {
		return c.admitShared(now, id, req, others)
	}
	if constraints.entry.Policy.Rate > 0 {
		if ok, wait := limits.bucket.Take(now); !ok {
			return c.reject(id, wait, limits.rateName), nil
		}
	}
	verdict, shed := limits.gate.Acquire(now, id, constraints.entry.Policy.Priority)
	others = c.rejectShed(shed, &limits.gate, limits.concurrencyName, others)
	switch verdict {
	case limit.Rejected:
		return c.reject(id, limits.gate.RetryAfter(), limits.concurrencyName), others
	case limit.Queued:
		c.requests[id] = req
		return Decision{RequestID: id, Verdict: limit.Queued, WaitUntil: now + limits.gate.MaxWait}, others
	}
	return c.admitShared(now, id, req, others)
}

// admitShared passes a request that has passed its route's gate to the shared gate. It appends the
// decisions on other requests to others.
func (c *Controller) admitShared(now time.Duration, id uint64, req *request, others []Decision) (Decision, []Decision) {
	c.requests[id] = req
	gate := req.constraints.sharedGate
	if gate == nil {
		req.stage, req.since = admitted, now
		return Decision{RequestID: id, Verdict: limit.Admitted}, others
	}
	verdict, shed := gate.Acquire(now, id, req.constraints.entry.Policy.Priority)
	if shed != 0 {
		others = c.rejectShed(shed, gate, sharedConcurrencyName, others)
		others = c.releaseRoute(now, shed, others)
	}
	switch verdict {
	case limit.Rejected:
		others = c.releaseRoute(now, id, others)
		return c.reject(id, gate.RetryAfter(), sharedConcurrencyName), others
	case limit.Queued:
		req.stage = waitingForShared
		return Decision{RequestID: id, Verdict: limit.Queued, WaitUntil: now + gate.MaxWait}, others
	}
	req.stage, req.since = admitted, now
	return Decision{RequestID: id, Verdict: limit.Admitted}, others
}

// rejectShed rejects a request that was shed from a gate's queue; id 0 means that none was.
func (c *Controller) rejectShed(id uint64, gate *limit.Gate, name string, others []Decision) []Decision {
	if id == 0 {
		return others
	}
	if c.requests[id].stage == waitingForRoute {
		delete(c.requests, id)
	}
	return append(others, c.reject(id, gate.RetryAfter(), name))
}

// releaseRoute forgets a request that passed its route's gate but not the shared one, and gives its
// slot at the route's gate to the next request in the queue.
func (c *Controller) releaseRoute(now time.Duration, id uint64, others []Decision) []Decision {
	req := c.requests[id]
	delete(c.requests, id)
	if req.constraints.limits == nil {
		return others
	}
	next := req.constraints.limits.gate.Release(now, req.constraints.entry.Policy.Priority, 0, limit.Unknown)
	return c.admitNext(now, next, others)
}

// admitNext passes requests that have just passed their route's gate to the shared gate.
func (c *Controller) admitNext(now time.Duration, ids []uint64, others []Decision) []Decision {
	for _, id := range ids {
		if req := c.requests[id]; req != nil {
			var decision Decision
			decision, others = c.admitShared(now, id, req, others)
			others = append(others, decision)
		}
	}
	return others
}

// Constants of the jitter on RetryAfter.
const (
	hashMultiplier = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio (Fibonacci hashing)
	hashShift      = 11                 // leaves the 53 bits that a float64 holds exactly
	hashRange      = 1 << (64 - hashShift)
	maxJitter      = 0.5 // largest fraction of RetryAfter that is added
	minRetryAfter  = time.Millisecond
)

// reject returns the decision to reject a request. RetryAfter gets a jitter from a hash of the id,
// so that clients that were rejected together don't retry together.
func (c *Controller) reject(id uint64, after time.Duration, name string) Decision {
	settings := &c.Plan().Platform().Settings
	if !settings.SendsRetryAfter {
		return Decision{RequestID: id, Verdict: limit.Rejected, Limit: name}
	}
	spread := 1 + float64(id*hashMultiplier>>hashShift)/hashRange*maxJitter
	after = time.Duration(float64(max(after, minRetryAfter)) * spread)
	after = min(after, cmp.Or(settings.MaxRetryAfter, after))
	return Decision{RequestID: id, Verdict: limit.Rejected, RetryAfter: after, Limit: name}
}

// CancelWait takes a request out of its queue because its time there is up or its client has
// disconnected. It reports false, and changes nothing, if the request isn't waiting any more.
func (c *Controller) CancelWait(now time.Duration, id uint64) (waited bool, decision Decision, others []Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil || req.stage == admitted {
		return false, Decision{}, nil
	}
	if req.stage == waitingForRoute {
		limits := req.constraints.limits
		limits.gate.Remove(id)
		delete(c.requests, id)
		return true, c.reject(id, limits.gate.RetryAfter(), limits.queueName), nil
	}
	req.constraints.sharedGate.Remove(id)
	others = c.releaseRoute(now, id, others)
	return true, c.reject(id, req.constraints.sharedGate.RetryAfter(), sharedQueueName), others
}

// Finish records how an admitted request ended and returns the decisions on the requests that take
// its place. It ignores the id of a request without limits.
func (c *Controller) Finish(now time.Duration, id uint64, outcome limit.Outcome) (others []Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil {
		return nil
	}
	delete(c.requests, id)
	priority := req.constraints.entry.Policy.Priority
	duration := now - req.since
	if gate := req.constraints.sharedGate; gate != nil {
		for _, nextID := range gate.Release(now, priority, duration, outcome) {
			if next := c.requests[nextID]; next != nil {
				next.stage, next.since = admitted, now
				others = append(others, Decision{RequestID: nextID, Verdict: limit.Admitted})
			}
		}
	}
	if limits := req.constraints.limits; limits != nil {
		others = c.admitNext(now, limits.gate.Release(now, priority, duration, outcome), others)
	}
	return others
}

// Counts returns how many of the requests with limits are admitted and how many wait.
func (c *Controller) Counts() (admittedCount, waitingCount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, req := range c.requests {
		if req.stage == admitted {
			admittedCount++
		} else {
			waitingCount++
		}
	}
	return admittedCount, waitingCount
}
