package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Priorities is how many priorities there are: 0 is shed first.
const Priorities = 10

// Verdict is what a Gate says of an invocation.
type Verdict uint8

// The verdicts.
const (
	Go   Verdict = iota // it is in, until Done
	Wait                // it waits, until it is named by Done or Shed, or Leave is called
	No                  // it is refused
)

// Gate bounds what is out at once over some priorities. Of its places it keeps as
// many for the higher priorities as those have lately had out, so that what is less
// worth never waits for more room than there is, and never takes that of the other.
// Some may wait in a queue, the highest priority first; where the queue is full the
// last of the lowest priority goes.
type Gate struct {
	Concurrency
	Queue    int           // most that wait
	QueueFor time.Duration // and how long

	out     [Priorities]int
	peak    [Priorities]float64 // most that were out at once of late
	at      time.Duration
	all     int
	waiting []waiter // in the order in which they go
	took    float64  // seconds that one takes
}

type waiter struct {
	id       uint64
	priority int
	since    time.Duration
}

const (
	peakFade  = 10.0 // seconds over which a peak is forgotten
	fadeEvery = 10 * time.Millisecond
)

// room tells whether one of a priority may go in.
func (g *Gate) room(priority int) bool {
	limit := float64(g.Limit())
	if float64(g.all) >= limit {
		return false
	}
	kept, above := 0.0, 0
	for p := priority + 1; p < Priorities; p++ {
		kept, above = kept+math.Ceil(g.peak[p]), above+g.out[p]
	}
	// What the higher ones have out is not kept a second time; the lowest always has one place to be served at all.
	return float64(g.all-above) < max(1, limit-max(float64(above), kept))
}

// fade forgets a part of the peaks. It costs more than all else here, and ten seconds have no use for each microsecond.
func (g *Gate) fade(now time.Duration) {
	if now-g.at < fadeEvery {
		return
	}
	f := math.Exp(-max(0, now-g.at).Seconds() / peakFade)
	for p := range g.peak {
		g.peak[p] = max(float64(g.out[p]), g.peak[p]*f)
		if g.peak[p] < 0.5 {
			g.peak[p] = 0
		}
	}
	g.at = max(g.at, now)
}

func (g *Gate) enter(priority int) {
	g.out[priority]++
	g.all++
	g.peak[priority] = max(g.peak[priority], float64(g.out[priority]))
}

// Ask asks for a place. shed names the one that has to leave the queue for it; 0 for
// none. Numbers are the caller's, from 1. A refused one should come again after
// about After.
func (g *Gate) Ask(now time.Duration, id uint64, priority int) (v Verdict, shed uint64) {
	priority = max(0, min(Priorities-1, priority))
	g.fade(now)
	ahead := slices.ContainsFunc(g.waiting, func(w waiter) bool { return w.priority >= priority })
	if !ahead && g.room(priority) {
		g.enter(priority)
		return Go, 0
	}
	// Nobody comes to whom a higher one gives way, and one that asks counts as one that would be out.
	g.peak[priority] = max(g.peak[priority], float64(g.out[priority]+1))
	g.Pressed()
	if g.Queue == 0 {
		return No, 0
	}
	if len(g.waiting) >= g.Queue {
		last := g.waiting[len(g.waiting)-1]
		if last.priority >= priority {
			return No, 0
		}
		g.waiting = g.waiting[:len(g.waiting)-1]
		shed = last.id
	}
	w := waiter{id, priority, now}
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(e, w waiter) int {
		return cmp.Or(cmp.Compare(w.priority, e.priority), -1) // behind those of its own priority
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	return Wait, shed
}

// Done takes the end of one that was in, and names those that go in now.
func (g *Gate) Done(now time.Duration, priority int, took time.Duration, how Ended) []uint64 {
	priority = max(0, min(Priorities-1, priority))
	g.fade(now)
	g.Ended(now, took, how, g.all)
	g.out[priority]--
	g.all--
	if how != Unknown {
		if g.took == 0 {
			g.took = took.Seconds()
		}
		g.took += (took.Seconds() - g.took) / 64
	}
	var next []uint64
	for len(g.waiting) > 0 && g.room(g.waiting[0].priority) { // whoever is behind has no more room
		next = append(next, g.waiting[0].id)
		g.enter(g.waiting[0].priority)
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
	return next
}

// Leave takes one out of the queue, and tells whether it was there.
func (g *Gate) Leave(id uint64) bool {
	i := slices.IndexFunc(g.waiting, func(w waiter) bool { return w.id == id })
	if i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	return i >= 0
}

// Out is how many are in.
func (g *Gate) Out() int { return g.all }

// Waiting is how many wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// After is when one that is refused should come again: when about as many have
// ended as wait.
func (g *Gate) After() time.Duration {
	took := max(g.took, 0.01)
	return time.Duration(took * (1 + float64(len(g.waiting))/float64(max(1, g.Limit()))) * float64(time.Second))
}

// Adopt goes on with other figures: what is out stays out, what waits stays in the
// queue, and what has been learned is kept.
func (g *Gate) Adopt(c Concurrency, queue int, queueFor time.Duration) {
	g.Adaptive, g.Least, g.Most = c.Adaptive, c.Least, c.Most
	g.Queue, g.QueueFor = queue, queueFor
	if g.begun {
		g.limit = max(float64(g.Least), min(float64(g.Most), g.limit))
	}
}
