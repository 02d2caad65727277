package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Op is what a client wants once, however often it has to ask.
type Op struct {
	ID     uint64
	At     time.Duration
	Class  int
	Tenant int
	Zone   int
	Key    uint64
	Work   float64 // in standard-core seconds
	Size   float64 // of the object, 1 on average
	Write  bool

	Runs   int // writes carried out
	Tries  int
	Over   bool
	Served time.Duration // when its answer came; 0: not served
	Last   Ending        // how its last try ended, if it is not served
	Left   bool          // its client closed its connection under a try, of its own accord

	patience float64 // part of the deadline for one try
	honours  bool
	jitter   float64
}

// Try is one request of a client.
type Try struct {
	Op        *Op
	N         int // from 0
	At        time.Duration
	Router    int
	Remaining time.Duration // from At, till it is given up

	missedAt []*Cache
	over     bool
}

// Final is what a router answers in the end.
type Final uint8

// The final answers.
const (
	Value   Final = iota // the value or receipt
	Refused              // trying again is harmless
	Failure              // anything else
	Lost                 // the connection ended
	NoRoute              // no router was there
)

// Ending is how a try ended.
type Ending uint8

// The endings.
const (
	Unended      Ending = iota // the day was over
	WasRefused                 // by a router, as harmless to repeat
	WasFailed                  // by a router
	WasLost                    // its connection ended
	FoundNoRoute               // no router was there
	Unanswered                 // its time was up
)

// endingOf is the ending that a final answer is, other than the value.
func endingOf(f Final) Ending {
	return [...]Ending{Refused: WasRefused, Failure: WasFailed, Lost: WasLost, NoRoute: FoundNoRoute}[f]
}

// Tier is the routers, as clients and the front see them.
type Tier interface {
	// Take hands a router a try. It tells whether the router was there.
	Take(t *Try) bool
	// Leave tells a router that a client has gone.
	Leave(t *Try)
}

// clients draws what is asked, and plays those who ask.
type clients struct {
	w       *World
	rand    *rand.Rand
	next    uint64
	ranks   []uint64 // keys by popularity
	hot     []uint64
	hotPart float64
	burst   float64
	until   time.Duration   // of the burst
	believe []time.Duration // by router: from when the front takes it to be dead; 0: it does not
	deal    uint64
}

func (w *World) newClients() *clients {
	c := &clients{w: w, rand: Stream(w.day.Seed, "clients", 0), burst: 1, believe: make([]time.Duration, w.day.Routers)}
	n := w.day.Load.Keys * w.day.Fleet.Caches
	keys := Stream(w.day.Seed, "keys", 0)
	for range n {
		c.ranks = append(c.ranks, keys.Uint64()|1)
	}
	return c
}

// level is how much is asked now, against the mean.
func (c *clients) level() float64 {
	l, now := &c.w.day.Load, c.w.Now()
	switch l.Shape {
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*now.Seconds()/l.Period.Seconds())
	case "bursty":
		if now >= c.until {
			c.until = now + seconds(between(c.rand, 0.5, 2))
			c.burst = between(c.rand, 1-l.Swing, 1+l.Swing)
		}
		return c.burst
	}
	return 1
}

// run draws one arrival after the other until the end of the day.
func (c *clients) run(end time.Duration) {
	c.w.After(seconds(exp(c.rand, 1/(c.w.Rate*c.level()))), func() {
		if c.w.Now() >= end {
			return
		}
		c.ask(c.draw(), 0)
		c.run(end)
	})
}

// draw draws one op. The same numbers are drawn for every op, so that a fault changes nothing for later ones.
func (c *clients) draw() *Op {
	r, day := c.rand, c.w.day
	c.next++
	op := &Op{ID: c.next, At: c.w.Now(), Tenant: r.IntN(day.Load.Tenants)}
	x, all := r.Float64(), 0.0
	for _, class := range day.Classes {
		all += class.Share
	}
	for x *= all; op.Class < len(day.Classes)-1 && x >= day.Classes[op.Class].Share; op.Class++ {
		x -= day.Classes[op.Class].Share
	}
	class := &day.Classes[op.Class]
	op.Write = class.Write
	op.Work = exp(r, class.Work.Seconds())
	op.Zone = r.IntN(day.Zones)
	if r.Float64() < day.Load.ZoneSkew {
		op.Zone = 0
	}
	rank, hot, which := c.w.zipf.Rank(r.Float64()), r.Float64(), r.Float64()
	op.Key = c.ranks[rank]
	if hot < c.hotPart && len(c.hot) > 0 {
		op.Key = c.hot[int(which*float64(len(c.hot)))]
	}
	op.Size = c.w.size(op.Key)
	if !op.Write {
		op.Work *= 1 + day.Load.SizeWork*(op.Size-1)
	}
	op.patience = between(r, day.Clients.Try[0], day.Clients.Try[1])
	op.honours = r.Float64() < day.Clients.Honour
	op.jitter = r.Float64()
	return op
}

// size is that of a key's object.
func (w *World) size(key uint64) float64 {
	return lognormal(rand.New(rand.NewPCG(key, w.day.Seed)), w.day.Load.Sizes)
}

// Fill puts each key, the most popular ones last, into the caches that are its homes; each of homes gives a server's
// id, or 0 for none.
func (w *World) Fill(homes []func(key uint64) uint32) {
	byID := map[uint32]*Cache{}
	for _, c := range w.Caches {
		byID[w.Member(c.index).ID] = c
	}
	for i := len(w.clients.ranks) - 1; i >= 0; i-- {
		key := w.clients.ranks[i]
		for _, home := range homes {
			if c := byID[home(key)]; c != nil {
				c.store.put(key, w.size(key))
			}
		}
	}
}

// ask sends a try to a router of the client's zone.
func (c *clients) ask(op *Op, n int) {
	class := &c.w.day.Classes[op.Class]
	now := c.w.Now()
	left := class.Deadline.D() - (now - op.At)
	t := &Try{Op: op, N: n, At: now, Router: c.route(op),
		Remaining: min(left, time.Duration(op.patience*float64(class.Deadline.D())))}
	if t.Remaining <= 0 {
		c.end(op)
		return
	}
	op.Tries = n + 1
	c.w.After(c.w.ClientDelay(), func() {
		if !c.w.tier.Take(t) {
			c.w.After(c.w.ClientDelay(), func() { c.answered(t, NoRoute, 0) })
		}
	})
	c.w.After(t.Remaining, func() {
		if !t.over {
			c.w.After(c.w.ClientDelay(), func() { c.w.tier.Leave(t) })
			c.ended(t, Failure, Unanswered, 0)
		}
	})
}

// route deals clients out over the routers of their zone that the front holds to be alive.
func (c *clients) route(op *Op) int {
	day := c.w.day
	pick := func(zone int) (int, bool) {
		var alive []int
		for i := range day.Routers {
			if (zone < 0 || c.w.routerZone(i) == zone) && (c.believe[i] == 0 || c.believe[i] > c.w.Now()) {
				alive = append(alive, i)
			}
		}
		if len(alive) == 0 {
			return 0, false
		}
		c.deal++
		return alive[c.deal%uint64(len(alive))], true
	}
	if i, ok := pick(op.Zone); ok {
		return i
	}
	i, _ := pick(-1)
	return i
}

// Reply carries a router's final answer to the client.
func (w *World) Reply(t *Try, f Final, after time.Duration) {
	w.After(w.ClientDelay(), func() { w.clients.answered(t, f, after) })
}

// answered takes the final answer to a try.
func (c *clients) answered(t *Try, f Final, after time.Duration) { c.ended(t, f, endingOf(f), after) }

// ended takes the end of a try, and asks again where the class permits that.
func (c *clients) ended(t *Try, f Final, how Ending, after time.Duration) {
	if t.over {
		return
	}
	t.over = true
	op, now := t.Op, c.w.Now()
	op.Last = how
	if f == Value {
		op.Served = now
		c.end(op)
		return
	}
	class := &c.w.day.Classes[op.Class]
	again := t.N < c.w.day.Clients.Retries
	switch class.Effect {
	case "unsafe":
		again = again && (f == Refused || f == NoRoute)
	case "keyed":
		again = again && (f == Refused || f == NoRoute || now-op.At < class.Window.D())
	}
	wait := time.Duration(float64(c.w.day.Clients.Backoff.D()) * float64(int(1)<<t.N) * (0.5 + op.jitter))
	if f == Refused && op.honours {
		wait = max(wait, min(after, c.w.day.Clients.MostWait.D()))
	}
	if !again || now+wait-op.At >= class.Deadline.D() {
		c.end(op)
		return
	}
	c.w.After(wait, func() { c.ask(op, t.N+1) })
}

func (c *clients) end(op *Op) {
	if !op.Over {
		op.Over = true
		c.w.watcher.Ended(op)
	}
}

// drift has some keys change places, once a second.
func (c *clients) drift(r *rand.Rand) {
	c.w.After(time.Second, func() {
		for range int(c.w.day.Load.Drift*float64(len(c.ranks)) + r.Float64()) {
			a, b := r.IntN(len(c.ranks)), r.IntN(len(c.ranks))
			c.ranks[a], c.ranks[b] = c.ranks[b], c.ranks[a]
		}
		c.drift(r)
	})
}
