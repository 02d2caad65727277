package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Priorities is the number of priorities. Priority 0 is the lowest and is shed first.
const Priorities = 10

// Verdict is a Gate's decision about a request.
type Verdict uint8

// The verdicts of a Gate.
const (
	Admitted Verdict = iota // the request is admitted; Release must be called when it ends
	Queued                  // the request is queued until Release admits it, Acquire sheds it, or Remove takes it out
	Rejected                // the request is rejected
)

// Gate bounds how many requests are in flight at once, over all priorities. It reserves
// as many slots for the higher priorities as those have recently had in flight, so that
// requests of low priority don't take the capacity that those of high priority need.
// Requests may wait in a queue, the highest priority first. If the queue is full and a
// request of higher priority than the lowest in the queue arrives, the newest request of
// that lowest priority is shed.
type Gate struct {
	Concurrency
	MaxQueue int           // requests that may wait at once
	MaxWait  time.Duration // longest time that a request may wait; the caller enforces it

	inFlight     [Priorities]int     // by priority
	peak         [Priorities]float64 // by priority: the most requests recently in flight at once, decaying with time
	decayedAt    time.Duration       // when the peaks last decayed
	total        int                 // sum of inFlight
	waiting      []waiter            // in the order in which they are admitted
	meanDuration float64             // moving average of the duration of a request, in seconds
}

// waiter is a request in the queue.
type waiter struct {
	id       uint64
	priority int
	since    time.Duration // when it entered the queue
}

const (
	peakDecayTime = 10.0                  // time constant of the decay of peaks, in seconds
	decayInterval = 10 * time.Millisecond // shortest time between two updates of the peaks
)

// hasRoom reports whether a request of a priority may be admitted now.
func (g *Gate) hasRoom(priority int) bool {
	limit := float64(g.Limit())
	if float64(g.total) >= limit {
		return false
	}
	reserved, higherInFlight := 0.0, 0
	for p := priority + 1; p < Priorities; p++ {
		reserved, higherInFlight = reserved+math.Ceil(g.peak[p]), higherInFlight+g.inFlight[p]
	}
	// Slots that higher priorities already use are not reserved a second time. One slot is never reserved, so that the lowest
	// priority is served at all.
	return float64(g.total-higherInFlight) < max(1, limit-max(float64(higherInFlight), reserved))
}

// decayPeaks lets the peaks decay. It does so at most once per decayInterval, since it costs more than the rest of a call, and
// a decay over ten seconds needs no update each microsecond.
func (g *Gate) decayPeaks(now time.Duration) {
	if now-g.decayedAt < decayInterval {
		return
	}
	factor := math.Exp(-max(0, now-g.decayedAt).Seconds() / peakDecayTime)
	for p := range g.peak {
		g.peak[p] = max(float64(g.inFlight[p]), g.peak[p]*factor)
		if g.peak[p] < 0.5 {
			g.peak[p] = 0
		}
	}
	g.decayedAt = max(g.decayedAt, now)
}

// admit counts a request as in flight.
func (g *Gate) admit(priority int) {
	g.inFlight[priority]++
	g.total++
	g.peak[priority] = max(g.peak[priority], float64(g.inFlight[priority]))
}

// Acquire asks for a slot for a request. If verdict is Queued, shed is the id of the request
// that was removed from the full queue for it, or 0 if none was. The caller chooses the
// ids, from 1. A rejected request should be retried after about RetryAfter.
func (g *Gate) Acquire(now time.Duration, id uint64, priority int) (verdict Verdict, shed uint64) {
	priority = max(0, min(Priorities-1, priority))
	g.decayPeaks(now)
	ahead := slices.ContainsFunc(g.waiting, func(w waiter) bool { return w.priority >= priority })
	if !ahead && g.hasRoom(priority) {
		g.admit(priority)
		return Admitted, 0
	}
	// Requests of lower priority must leave a slot for this one, so the peak counts it as if it were in flight.
	g.peak[priority] = max(g.peak[priority], float64(g.inFlight[priority]+1))
	g.MarkSaturated()
	if g.MaxQueue == 0 {
		return Rejected, 0
	}
	if len(g.waiting) >= g.MaxQueue {
		last := g.waiting[len(g.waiting)-1]
		if last.priority >= priority {
			return Rejected, 0
		}
		g.waiting = g.waiting[:len(g.waiting)-1]
		shed = last.id
	}
	w := waiter{id, priority, now}
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(e, w waiter) int {
		return cmp.Or(cmp.Compare(w.priority, e.priority), -1) // after the waiters of the same priority
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	return Queued, shed
}

// Release records the end of an admitted request. It returns the ids of the queued requests that are admitted in its place.
func (g *Gate) Release(now time.Duration, priority int, duration time.Duration, outcome Outcome) []uint64 {
	priority = max(0, min(Priorities-1, priority))
	g.decayPeaks(now)
	g.RecordEnd(now, duration, outcome, g.total)
	g.inFlight[priority]--
	g.total--
	if outcome != Unknown {
		if g.meanDuration == 0 {
			g.meanDuration = duration.Seconds()
		}
		g.meanDuration += (duration.Seconds() - g.meanDuration) / 64
	}
	var next []uint64
	// If the first waiter has no room, neither have those behind it, since their priority is not higher.
	for len(g.waiting) > 0 && g.hasRoom(g.waiting[0].priority) {
		next = append(next, g.waiting[0].id)
		g.admit(g.waiting[0].priority)
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
	return next
}

// Remove takes a request out of the queue and reports whether it was there.
func (g *Gate) Remove(id uint64) bool {
	i := slices.IndexFunc(g.waiting, func(w waiter) bool { return w.id == id })
	if i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	return i >= 0
}

// InFlight returns the number of admitted requests that have not ended.
func (g *Gate) InFlight() int { return g.total }

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int { return len(g.waiting) }

// RetryAfter returns the time after which a rejected request should be retried. By then about
// as many requests should have ended as are waiting now.
func (g *Gate) RetryAfter() time.Duration {
	duration := max(g.meanDuration, 0.01)
	return time.Duration(duration * (1 + float64(len(g.waiting))/float64(max(1, g.Limit()))) * float64(time.Second))
}

// Reconfigure replaces the bounds. Requests in flight still count, queued requests stay in the
// queue, and the learned limit is kept within the new bounds.
func (g *Gate) Reconfigure(c Concurrency, maxQueue int, maxWait time.Duration) {
	g.Adaptive, g.Min, g.Max = c.Adaptive, c.Min, c.Max
	g.MaxQueue, g.MaxWait = maxQueue, maxWait
	if g.started {
		g.limit = max(float64(g.Min), min(float64(g.Max), g.limit))
	}
}
