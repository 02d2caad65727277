package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Cache is one slot cache. Only the model sees this; routers see a Member.
type Cache struct {
	host
	Kind    *Kind
	Cores   int
	Speed   float64 // of a core, as it really is
	Started time.Duration
	Begun   bool // after the start of the day: it came up cold and empty
	Addr    int  // the address, as the index of the server that was there first

	Sent float64 // work that has come, in standard-core seconds

	station station
	store   *store
	rand    *rand.Rand
	errors  float64 // part of calls that fail at once
	slowed  float64 // part of its speed that a neighbour takes
	hung    bool    // it takes calls and begins none
	held    []*Call // that came meanwhile
	fallen  bool    // pushed over: it stays down
	cold    []Push  // work sent of late, while cold
	coldSum float64
}

// Push is work that came to a cold cache.
type Push struct {
	At        time.Duration
	Work      float64 // in standard-core seconds
	Router    int
	Handshake bool   // of a new connection; else a call's
	Key       uint64 // of a call
}

// Fall tells how a cold cache was pushed over.
type Fall struct {
	Server  int
	Started time.Duration
	Stands  float64 // work that it could have taken in the window, in standard-core seconds
	Pushes  []Push  // of the window, the last one too many
}

// Warmth is the part of its capacity that a cache has now.
func (c *Cache) Warmth(now time.Duration) float64 {
	age := now - c.Started
	if !c.Begun || age >= c.Kind.ColdFor.D() {
		return 1
	}
	return c.Kind.ColdFrom + (1-c.Kind.ColdFrom)*float64(age)/float64(c.Kind.ColdFor)
}

// Capacity is the work that a cache can do in a second now, in standard-core seconds; 0 if it is down.
func (c *Cache) Capacity(now time.Duration) float64 {
	if !c.up {
		return 0
	}
	return float64(c.Cores) * c.Speed * c.Warmth(now) * (1 - c.slowed)
}

// Serves tells whether a call that comes now is worked on.
func (c *Cache) Serves() bool { return c.up && !c.mute && !c.hung }

// weight is its size as it is registered.
func (c *Cache) weight() float64 { return float64(c.Kind.Cores) * c.Kind.Speed }

// Up tells whether the process runs.
func (c *Cache) Up() bool { return c.up }

func (w *World) newCache(index int, kind *Kind) *Cache {
	r := Stream(w.day.Seed, "cache", index)
	c := &Cache{Kind: kind, Cores: kind.Cores, rand: r, Addr: index}
	c.Speed = kind.Speed * between(r, 1-kind.Spread, 1+kind.Spread)
	c.host = host{w: w, index: index, zone: index % w.day.Zones, most: kind.Cores * w.day.Fleet.ConnsCore}
	c.host.serve, c.host.drop, c.host.greet = c.take, c.give, c.greetNew
	c.station = station{q: &w.Queue, places: kind.Cores, room: int(kind.Queue*float64(kind.Cores) + 0.5),
		rate:  func() float64 { return c.Speed * c.Warmth(w.Now()) * (1 - c.slowed) },
		began: c.begin, ended: c.end}
	return c
}

// start starts the process, cold and empty unless it ran before the day.
func (c *Cache) start(before bool) {
	c.up, c.mute, c.Begun, c.Started = true, false, !before, c.w.Now()
	c.w.occupants[c.Addr] = &c.host
	c.errors, c.slowed, c.cold, c.coldSum = 0, 0, nil, 0
	c.hung, c.held = false, nil
	c.station.clear()
	c.store = newStore(float64(c.w.day.Fleet.Memory) * c.weight() / c.w.meanWeight)
}

func (c *Cache) halt() {
	c.host.stop()
	c.station.clear()
}

// greetNew does the work of a new connection. It waits for no place in the line: it is what a core does
// before it reads anything.
func (c *Cache) greetNew(router int) {
	c.arrived(Push{Work: c.w.day.Fleet.Handshake.Seconds(), Router: router, Handshake: true})
	if !c.up {
		return
	}
	c.station.add(&job{work: c.w.day.Fleet.Handshake.Seconds()}, true)
}

// take takes a call that has come.
func (c *Cache) take(call *Call) {
	c.arrived(Push{Work: call.Try.Op.Work, Router: call.Conn.Router, Key: call.Try.Op.Key})
	if !c.up {
		return // it has just been pushed over
	}
	if c.hung {
		c.held = append(c.held, call)
		return
	}
	c.admit(call)
}

// admit has a call worked on, or turns it away.
func (c *Cache) admit(call *Call) {
	if c.errors > 0 && c.rand.Float64() < c.errors {
		call.Conn.finish(call, Failed)
		return
	}
	call.job = job{call: call}
	if !c.station.add(&call.job, false) {
		call.Conn.finish(call, Busy)
	}
}

// begin tells what a call takes. Whether its object is kept shows when it is looked for.
func (c *Cache) begin(j *job) float64 {
	op := j.call.Try.Op
	if op.Write || !c.store.get(op.Key) {
		j.call.answer = Missed
		return op.Work * c.w.day.Fleet.MissWork
	}
	j.call.answer = Served
	return op.Work
}

func (c *Cache) end(j *job) {
	call, a := j.call, j.call.answer
	if c.Kind.ErrorRate > 0 && c.rand.Float64() < c.Kind.ErrorRate {
		a = Failed
	}
	if a == Missed && !call.Try.Op.Write {
		call.Try.missedAt = append(call.Try.missedAt, c)
	}
	if call.Conn.over {
		c.w.Waste += j.work
	}
	call.Conn.finish(call, a)
}

// give stops work for which nobody waits.
func (c *Cache) give(call *Call) {
	if i := slices.Index(c.held, call); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
		return
	}
	c.w.Waste += c.station.cancel(&call.job)
}

// hang has the cache begin nothing more, or go on with what came meanwhile.
func (c *Cache) hang(on bool) {
	held := c.held
	c.hung, c.held = on, nil
	for _, call := range held {
		c.admit(call)
	}
}

// arrived counts work that has come. A cold cache that is sent too much of it falls over.
func (c *Cache) arrived(p Push) {
	c.Sent += p.Work
	now, rules := c.w.Now(), &c.w.day.Rules
	p.At = now
	if c.Warmth(now) >= 1 {
		c.cold, c.coldSum = nil, 0
		return
	}
	c.cold = append(c.cold, p)
	c.coldSum += p.Work
	for now-c.cold[0].At > rules.Fall.D() {
		c.coldSum -= c.cold[0].Work
		c.cold = c.cold[1:]
	}
	// A few pieces of work may come at once by chance.
	slack := 4 * c.w.meanWork
	stands := rules.Overload*c.Capacity(now)*rules.Fall.Seconds() + slack
	if c.coldSum <= stands {
		return
	}
	c.fallen = true
	c.w.die(c)
	c.w.watcher.FellOver(&Fall{Server: c.index, Started: c.Started, Stands: stands, Pushes: c.cold})
}
