// Package limit decides what is let in and what is repeated: token buckets, limits
// on what is out at once (fixed, and found out by their answers), budgets for
// repeats, and priorities, of which the lowest are shed first.
//
// It does no I/O, starts no goroutines and reads no clock: now is the caller's, and
// the same calls give the same decisions. Nothing here is safe for concurrent use.
package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket: Rate tokens a second, of which Burst are kept at the
// most. The zero value lets nothing through.
type Bucket struct {
	Rate, Burst float64

	level float64
	at    time.Duration
	begun bool
}

// Take takes a token. Where there is none it tells how long until there is one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	if !b.begun {
		b.begun, b.level, b.at = true, b.Burst, now
	}
	b.level = min(b.Burst, b.level+b.Rate*max(0, now-b.at).Seconds())
	b.at = max(b.at, now)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	return false, time.Duration((1 - b.level) / max(b.Rate, 1e-9) * float64(time.Second))
}

// Budget bounds repeats: over any ten seconds there are no more than Part of the
// invocations taken plus Least a second. It counts by the second, so that a repeat
// counts for nine to ten seconds.
type Budget struct {
	Part, Least float64

	taken, repeats [budgetSeconds]int
	second         int64
	begun          bool
}

const budgetSeconds = 10

func (b *Budget) turn(now time.Duration) int {
	second := int64(now / time.Second)
	if !b.begun {
		b.begun, b.second = true, second
	}
	for n := 0; b.second < second; n++ {
		if n >= budgetSeconds {
			b.second = second
			break
		}
		b.second++
		b.taken[b.second%budgetSeconds], b.repeats[b.second%budgetSeconds] = 0, 0
	}
	return int(b.second % budgetSeconds)
}

// Taken counts an invocation.
func (b *Budget) Taken(now time.Duration) { b.taken[b.turn(now)]++ }

// Repeat takes a repeat out of the budget, if it has one.
func (b *Budget) Repeat(now time.Duration) bool {
	at := b.turn(now)
	taken, repeats := 0, 0
	for i := range b.taken {
		taken, repeats = taken+b.taken[i], repeats+b.repeats[i]
	}
	if float64(repeats+1) > b.Part*float64(taken)+b.Least*budgetSeconds {
		return false
	}
	b.repeats[at]++
	return true
}

// Ended is what a limit is told of an invocation that it let in.
type Ended uint8

// The ways in which one ends.
const (
	Well    Ended = iota // answered
	Badly                // refused by a server, timed out or failed: a sign of too much
	Unknown              // says nothing: its client has left
)

// Concurrency bounds what is out at once.
//
// An adaptive limit follows the gradient of the time that answers take, as Envoy's
// adaptive concurrency filter and Netflix's concurrency-limits do: the limit is
// multiplied by what an answer takes where nothing queues over what answers take
// now, and may grow by its own square root. What it takes where nothing queues is
// measured at the start, where little is let in, and again every half a minute with
// half of the places; a mean of long ago would follow a queue that stays, and call
// it usual. Signs of too much cut the limit at once, as AIMD does (Chiu and Jain,
// 1989).
type Concurrency struct {
	Adaptive    bool
	Least, Most int

	limit   float64
	base    float64 // seconds that an answer takes where nothing queues; 0: not known
	cut     time.Duration
	probed  time.Duration
	skip, n int     // answers still to come of what was let in under another limit; answers since
	sum     float64 // seconds that those took
	probing bool
	pressed bool // one was refused, or half of the places were in use, since the limit last moved
	begun   bool
}

const (
	firstLimit  = 10
	tolerance   = 1.5  // times the base that an answer may take and count as good
	windowLeast = 20   // answers between two moves of the limit, or as many as it lets in
	probeOver   = 50   // answers
	probeEvery  = 30   // seconds
	cutBy       = 0.9  // on a sign of too much
	cutEvery    = 0.25 // seconds
)

// Limit is how many may be out now.
func (c *Concurrency) Limit() int {
	if !c.Adaptive {
		return c.Most
	}
	c.begin()
	limit := c.limit
	if c.probing && c.base > 0 {
		limit /= 2
	}
	return max(c.Least, min(c.Most, int(limit)))
}

func (c *Concurrency) begin() {
	if !c.begun {
		c.begun, c.probing = true, true
		c.limit = max(float64(c.Least), min(float64(c.Most), firstLimit))
	}
}

// Pressed tells that one was not let in.
func (c *Concurrency) Pressed() { c.pressed = true }

// Ended takes the end of one after a time, while out were out.
func (c *Concurrency) Ended(now, took time.Duration, how Ended, out int) {
	c.pressed = c.pressed || float64(out) >= c.limit/2
	if c.begin(); !c.Adaptive || how == Unknown {
		return
	}
	least, most := float64(c.Least), float64(c.Most)
	if how == Badly {
		if (now - c.cut).Seconds() > cutEvery {
			c.cut = now
			c.limit = max(least, cutBy*c.limit)
		}
		return
	}
	if c.skip > 0 { // it was let in under another limit
		c.skip--
		return
	}
	c.n++
	c.sum += took.Seconds()
	if c.n < max(windowLeast, int(c.limit)) && !c.probing || c.probing && c.n < probeOver {
		return
	}
	mean, pressed := c.sum/float64(c.n), c.pressed
	c.n, c.sum, c.pressed = 0, 0, false
	switch {
	case c.probing:
		c.base, c.probing, c.probed, c.skip = mean, false, now, out
		return
	case !pressed:
		return // what is not used is not tried
	case (now - c.probed).Seconds() > probeEvery:
		c.probing, c.skip = true, out
		return
	}
	c.base += min(0, (mean-c.base)/10)
	gradient := max(0.5, min(1, tolerance*c.base/max(mean, 1e-6)))
	c.limit = max(least, min(most, c.limit*gradient+math.Sqrt(c.limit)))
	c.skip = out
}
