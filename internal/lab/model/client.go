package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Operation is something that a client wants once, however many tries it needs.
type Operation struct {
	ID        uint64
	CreatedAt time.Duration
	Class     int
	Tenant    int
	Zone      int
	Key       uint64
	Work      float64 // in standard-core seconds
	Size      float64 // size of the object; the mean is 1
	Write     bool

	Executions   int // how often a write was executed
	TryCount     int
	Ended        bool
	AnsweredAt   time.Duration // when the answer arrived; 0 if there was none
	LastEnding   TryEnding     // how the last try ended, if the operation was not served
	Disconnected bool          // the client closed its connection during a try for reasons of its own

	tryShare          float64 // share of the deadline that one try may take
	honoursRetryAfter bool
	jitter            float64
}

// Try is one request that a client sends for an operation.
type Try struct {
	Op        *Operation
	Number    int // number of the try within the operation, from 0
	SentAt    time.Duration
	Router    int
	Remaining time.Duration // time after SentAt at which the client cancels the try

	missedCaches []*Cache
	ended        bool
}

// FinalAnswer is the kind of final answer of a router.
type FinalAnswer uint8

// The kinds of final answers.
const (
	FinalValue    FinalAnswer = iota // the value or receipt
	FinalRefused                     // a retry is harmless
	FinalFailed                      // any other failure
	FinalLost                        // the connection was closed without an answer
	FinalNoRouter                    // no router was reachable
)

// TryEnding says how a try ended.
type TryEnding uint8

// The ways in which a try ends.
const (
	EndingNone       TryEnding = iota // still in progress at the end of the day
	EndingRefused                     // a router refused it as harmless to retry
	EndingFailed                      // a router answered with a failure
	EndingLost                        // its connection was closed
	EndingNoRouter                    // no router was reachable
	EndingUnanswered                  // its time ran out
)

// endingOf returns the ending of a try for any final answer but the value.
func endingOf(answer FinalAnswer) TryEnding {
	return [...]TryEnding{FinalRefused: EndingRefused, FinalFailed: EndingFailed, FinalLost: EndingLost, FinalNoRouter: EndingNoRouter}[answer]
}

// RouterTier is the routers as seen by the clients and their load balancer.
type RouterTier interface {
	// Deliver delivers a try to a router. It returns false if the router is not running.
	Deliver(t *Try) bool
	// ClientDisconnected notifies a router that the client of a try has disconnected.
	ClientDisconnected(t *Try)
}

// clients generates the operations and simulates the clients that send them.
type clients struct {
	w              *World
	random         *rand.Rand
	lastID         uint64
	keysByRank     []uint64 // keys in order of popularity
	hotKeys        []uint64
	hotShare       float64
	burstLevel     float64
	burstEnds      time.Duration   // end of the current burst
	believedDeadAt []time.Duration // by router: from when on the load balancer believes it to be dead; 0 if never
	nextRouter     uint64
}

func (w *World) newClients() *clients {
	c := &clients{w: w, random: NewRandom(w.day.Seed, "clients", 0), burstLevel: 1,
		believedDeadAt: make([]time.Duration, w.day.Routers)}
	n := w.day.Load.Keys * w.day.Fleet.Caches
	keys := NewRandom(w.day.Seed, "keys", 0)
	for range n {
		c.keysByRank = append(c.keysByRank, keys.Uint64()|1)
	}
	return c
}

// loadLevel returns the current load relative to the mean.
func (c *clients) loadLevel() float64 {
	l, now := &c.w.day.Load, c.w.Now()
	switch l.Shape {
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*now.Seconds()/l.Period.Seconds())
	case "bursty":
		if now >= c.burstEnds {
			c.burstEnds = now + seconds(drawUniform(c.random, 0.5, 2))
			c.burstLevel = drawUniform(c.random, 1-l.Swing, 1+l.Swing)
		}
		return c.burstLevel
	}
	return 1
}

// scheduleArrival schedules the next operation, which schedules the one after it, until the end of the day.
func (c *clients) scheduleArrival(end time.Duration) {
	c.w.After(seconds(drawExponential(c.random, 1/(c.w.Rate*c.loadLevel()))), func() {
		if c.w.Now() >= end {
			return
		}
		c.send(c.drawOperation(), 0)
		c.scheduleArrival(end)
	})
}

// drawOperation draws one operation. It draws the same number of random numbers for every operation, so that a
// fault does not change later operations.
func (c *clients) drawOperation() *Operation {
	random, day := c.random, c.w.day
	c.lastID++
	op := &Operation{ID: c.lastID, CreatedAt: c.w.Now(), Tenant: random.IntN(day.Load.Tenants)}
	point, total := random.Float64(), 0.0
	for _, class := range day.Classes {
		total += class.Share
	}
	for point *= total; op.Class < len(day.Classes)-1 && point >= day.Classes[op.Class].Share; op.Class++ {
		point -= day.Classes[op.Class].Share
	}
	class := &day.Classes[op.Class]
	op.Write = class.Write
	op.Work = drawExponential(random, class.Work.Seconds())
	op.Zone = random.IntN(day.Zones)
	if random.Float64() < day.Load.ZoneSkew {
		op.Zone = 0
	}
	rank, hotPoint, hotIndex := c.w.zipf.Rank(random.Float64()), random.Float64(), random.Float64()
	op.Key = c.keysByRank[rank]
	if hotPoint < c.hotShare && len(c.hotKeys) > 0 {
		op.Key = c.hotKeys[int(hotIndex*float64(len(c.hotKeys)))]
	}
	op.Size = c.w.objectSize(op.Key)
	if !op.Write {
		op.Work *= 1 + day.Load.SizeWork*(op.Size-1)
	}
	op.tryShare = drawUniform(random, day.Clients.Try[0], day.Clients.Try[1])
	op.honoursRetryAfter = random.Float64() < day.Clients.HonourShare
	op.jitter = random.Float64()
	return op
}

// objectSize returns the size of the object of a key.
func (w *World) objectSize(key uint64) float64 {
	return drawLognormal(rand.New(rand.NewPCG(key, w.day.Seed)), w.day.Load.Sizes)
}

// FillCaches stores each key in the caches that are its homes, the most popular keys last. Each function in homes
// returns a server's ID for a key, or 0 for none.
func (w *World) FillCaches(homes []func(key uint64) uint32) {
	byID := map[uint32]*Cache{}
	for _, c := range w.Caches {
		byID[w.Member(c.index).ID] = c
	}
	for i := len(w.clients.keysByRank) - 1; i >= 0; i-- {
		key := w.clients.keysByRank[i]
		for _, home := range homes {
			if c := byID[home(key)]; c != nil {
				c.store.put(key, w.objectSize(key))
			}
		}
	}
}

// send sends a try to a router of the client's zone.
func (c *clients) send(op *Operation, number int) {
	class := &c.w.day.Classes[op.Class]
	now := c.w.Now()
	remaining := class.Deadline.Std() - (now - op.CreatedAt)
	t := &Try{Op: op, Number: number, SentAt: now, Router: c.pickRouter(op),
		Remaining: min(remaining, time.Duration(op.tryShare*float64(class.Deadline.Std())))}
	if t.Remaining <= 0 {
		c.finishOperation(op)
		return
	}
	op.TryCount = number + 1
	c.w.After(c.w.ClientDelay(), func() {
		if !c.w.routers.Deliver(t) {
			c.w.After(c.w.ClientDelay(), func() { c.handleAnswer(t, FinalNoRouter, 0) })
		}
	})
	c.w.After(t.Remaining, func() {
		if !t.ended {
			c.w.After(c.w.ClientDelay(), func() { c.w.routers.ClientDisconnected(t) })
			c.finishTry(t, FinalFailed, EndingUnanswered, 0)
		}
	})
}

// pickRouter distributes clients over the routers of their zone that the load balancer believes to be alive.
// If there are none, it uses the routers of all zones.
func (c *clients) pickRouter(op *Operation) int {
	day := c.w.day
	pick := func(zone int) (int, bool) {
		var alive []int
		for i := range day.Routers {
			if (zone < 0 || c.w.routerZone(i) == zone) && (c.believedDeadAt[i] == 0 || c.believedDeadAt[i] > c.w.Now()) {
				alive = append(alive, i)
			}
		}
		if len(alive) == 0 {
			return 0, false
		}
		c.nextRouter++
		return alive[c.nextRouter%uint64(len(alive))], true
	}
	if i, ok := pick(op.Zone); ok {
		return i
	}
	i, _ := pick(-1)
	return i
}

// Reply delivers a router's final answer to the client.
func (w *World) Reply(t *Try, answer FinalAnswer, retryAfter time.Duration) {
	w.After(w.ClientDelay(), func() { w.clients.handleAnswer(t, answer, retryAfter) })
}

// handleAnswer processes the final answer to a try.
func (c *clients) handleAnswer(t *Try, answer FinalAnswer, retryAfter time.Duration) {
	c.finishTry(t, answer, endingOf(answer), retryAfter)
}

// finishTry processes the end of a try and schedules a retry if the class allows one.
func (c *clients) finishTry(t *Try, answer FinalAnswer, ending TryEnding, retryAfter time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	op, now := t.Op, c.w.Now()
	op.LastEnding = ending
	if answer == FinalValue {
		op.AnsweredAt = now
		c.finishOperation(op)
		return
	}
	class := &c.w.day.Classes[op.Class]
	retry := t.Number < c.w.day.Clients.Retries
	switch class.Effect {
	case "unsafe":
		retry = retry && (answer == FinalRefused || answer == FinalNoRouter)
	case "keyed":
		retry = retry && (answer == FinalRefused || answer == FinalNoRouter || now-op.CreatedAt < class.Window.Std())
	}
	wait := time.Duration(float64(c.w.day.Clients.Backoff.Std()) * float64(int(1)<<t.Number) * (0.5 + op.jitter))
	if answer == FinalRefused && op.honoursRetryAfter {
		wait = max(wait, min(retryAfter, c.w.day.Clients.MaxRetryAfter.Std()))
	}
	if !retry || now+wait-op.CreatedAt >= class.Deadline.Std() {
		c.finishOperation(op)
		return
	}
	c.w.After(wait, func() { c.send(op, t.Number+1) })
}

func (c *clients) finishOperation(op *Operation) {
	if !op.Ended {
		op.Ended = true
		c.w.observer.OperationEnded(op)
	}
}

// scheduleDrift swaps the popularity of some keys once a second.
func (c *clients) scheduleDrift(r *rand.Rand) {
	c.w.After(time.Second, func() {
		for range int(c.w.day.Load.Drift*float64(len(c.keysByRank)) + r.Float64()) {
			a, b := r.IntN(len(c.keysByRank)), r.IntN(len(c.keysByRank))
			c.keysByRank[a], c.keysByRank[b] = c.keysByRank[b], c.keysByRank[a]
		}
		c.scheduleDrift(r)
	})
}
