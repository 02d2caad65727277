package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Cache is one slot cache. Only the model sees a Cache; routers see a Member.
type Cache struct {
	host
	Kind         *Kind
	Cores        int
	Speed        float64 // actual speed of a core; the standard core has 1
	Started      time.Duration
	StartedInRun bool // the process started after the start of the day, cold and empty
	Addr         int  // address, given as the index of the server that first had it

	WorkReceived float64 // work of all received calls and handshakes, in standard-core seconds

	workers        station
	store          *store
	random         *rand.Rand
	errorRate      float64    // share of calls that fail at once
	slowdown       float64    // share of its speed that another process on its machine takes
	hanging        bool       // accepts calls and starts none
	heldCalls      []*Call    // calls received while hanging
	stayDown       bool       // has collapsed or left for good, and is not restarted
	recentColdWork []ColdWork // work received within the window Invariants.CollapseDuration, while cold
	recentColdSum  float64
}

// ColdWork is one piece of work that a cold cache received.
type ColdWork struct {
	At        time.Duration
	Work      float64 // in standard-core seconds
	Router    int
	Handshake bool   // whether the work is the handshake of a new connection; otherwise it is a call
	Key       uint64 // key of the call
}

// Collapse describes how a cold cache collapsed under its load.
type Collapse struct {
	Server  int
	Started time.Duration
	Limit   float64    // work that the cache could have taken within the window, in standard-core seconds
	Work    []ColdWork // work received within the window; the last piece exceeded the limit
}

// Warmth returns the share of its full capacity that a cache has at the given time.
func (c *Cache) Warmth(now time.Duration) float64 {
	age := now - c.Started
	if !c.StartedInRun || age >= c.Kind.WarmUpDuration.Std() {
		return 1
	}
	return c.Kind.ColdCapacity + (1-c.Kind.ColdCapacity)*float64(age)/float64(c.Kind.WarmUpDuration)
}

// Capacity returns the work that a cache can do per second, in standard-core seconds; 0 if it is down.
func (c *Cache) Capacity(now time.Duration) float64 {
	if !c.running {
		return 0
	}
	return float64(c.Cores) * c.Speed * c.Warmth(now) * (1 - c.slowdown)
}

// AcceptsWork reports whether the cache would start or queue a call that arrives now.
func (c *Cache) AcceptsWork() bool { return c.running && !c.vanished && !c.hanging }

// weight returns the registered weight of a cache: its cores times the nominal speed of its kind.
func (c *Cache) weight() float64 { return float64(c.Kind.Cores) * c.Kind.Speed }

// IsRunning reports whether the process runs.
func (c *Cache) IsRunning() bool { return c.running }

func (w *World) newCache(index int, kind *Kind) *Cache {
	r := NewRandom(w.day.Seed, "cache", index)
	c := &Cache{Kind: kind, Cores: kind.Cores, random: r, Addr: index}
	c.Speed = kind.Speed * drawUniform(r, 1-kind.Spread, 1+kind.Spread)
	c.host = host{w: w, index: index, zone: index % w.day.Zones, maxConns: kind.Cores * w.day.Fleet.ConnsPerCore}
	c.host.serve, c.host.cancel, c.host.accept = c.handle, c.cancel, c.acceptConn
	c.workers = station{queue: &w.Queue, slots: kind.Cores, queueLimit: int(kind.Queue*float64(kind.Cores) + 0.5),
		slotRate: func() float64 { return c.Speed * c.Warmth(w.Now()) * (1 - c.slowdown) },
		workOf:   c.workNeeded, finished: c.finish}
	return c
}

// start starts the process, cold and empty unless it was already running before the day.
func (c *Cache) start(beforeDay bool) {
	c.running, c.vanished, c.StartedInRun, c.Started = true, false, !beforeDay, c.w.Now()
	c.w.occupants[c.Addr] = &c.host
	c.errorRate, c.slowdown, c.recentColdWork, c.recentColdSum = 0, 0, nil, 0
	c.hanging, c.heldCalls = false, nil
	c.workers.clear()
	c.store = newStore(float64(c.w.day.Fleet.Memory) * c.weight() / c.w.meanWeight)
}

func (c *Cache) halt() {
	c.host.stop()
	c.workers.clear()
}

// acceptConn does the work of a new connection. This work does not need a free slot in the queue, because a
// core does it before it reads anything.
func (c *Cache) acceptConn(router int) {
	c.countArrival(ColdWork{Work: c.w.day.Fleet.Handshake.Seconds(), Router: router, Handshake: true})
	if !c.running {
		return
	}
	c.workers.add(&job{work: c.w.day.Fleet.Handshake.Seconds()}, true)
}

// handle receives a call.
func (c *Cache) handle(call *Call) {
	c.countArrival(ColdWork{Work: call.Try.Op.Work, Router: call.Conn.Router, Key: call.Try.Op.Key})
	if !c.running {
		return // the call made the cache collapse
	}
	if c.hanging {
		c.heldCalls = append(c.heldCalls, call)
		return
	}
	c.admit(call)
}

// admit starts or queues a call, or rejects it.
func (c *Cache) admit(call *Call) {
	if c.errorRate > 0 && c.random.Float64() < c.errorRate {
		call.Conn.finish(call, ResultFailed)
		return
	}
	call.job = job{call: call}
	if !c.workers.add(&call.job, false) {
		call.Conn.finish(call, ResultBusy)
	}
}

// workNeeded returns the work of a call that starts now. Only now does the cache look up whether it holds the
// object.
func (c *Cache) workNeeded(j *job) float64 {
	op := j.call.Try.Op
	if op.Write || !c.store.lookUp(op.Key) {
		j.call.result = ResultMissed
		return op.Work * c.w.day.Fleet.MissWork
	}
	j.call.result = ResultServed
	return op.Work
}

func (c *Cache) finish(j *job) {
	call, result := j.call, j.call.result
	if c.Kind.ErrorRate > 0 && c.random.Float64() < c.Kind.ErrorRate {
		result = ResultFailed
	}
	if result == ResultMissed && !call.Try.Op.Write {
		call.Try.missedCaches = append(call.Try.missedCaches, c)
	}
	if call.Conn.closedByServer {
		c.w.WastedWork += j.work
	}
	call.Conn.finish(call, result)
}

// cancel stops the work on a call that nobody waits for.
func (c *Cache) cancel(call *Call) {
	if i := slices.Index(c.heldCalls, call); i >= 0 {
		c.heldCalls = slices.Delete(c.heldCalls, i, i+1)
		return
	}
	c.w.WastedWork += c.workers.cancel(&call.job)
}

// setHanging makes the cache hang, or ends that and admits the calls that were held back.
func (c *Cache) setHanging(hanging bool) {
	held := c.heldCalls
	c.hanging, c.heldCalls = hanging, nil
	for _, call := range held {
		c.admit(call)
	}
}

// countArrival records received work. A cold cache that receives too much work collapses.
func (c *Cache) countArrival(arrival ColdWork) {
	c.WorkReceived += arrival.Work
	now, rules := c.w.Now(), &c.w.day.Invariants
	arrival.At = now
	if c.Warmth(now) >= 1 {
		c.recentColdWork, c.recentColdSum = nil, 0
		return
	}
	c.recentColdWork = append(c.recentColdWork, arrival)
	c.recentColdSum += arrival.Work
	for now-c.recentColdWork[0].At > rules.CollapseDuration.Std() {
		c.recentColdSum -= c.recentColdWork[0].Work
		c.recentColdWork = c.recentColdWork[1:]
	}
	// A few pieces of work may arrive at the same time by chance.
	slack := 4 * c.w.meanWork
	limit := rules.OverloadFactor*c.Capacity(now)*rules.CollapseDuration.Seconds() + slack
	if c.recentColdSum <= limit {
		return
	}
	c.stayDown = true
	c.w.kill(c)
	c.w.observer.CacheCollapsed(&Collapse{Server: c.index, Started: c.Started, Limit: limit, Work: c.recentColdWork})
}
