package rules

import "time"

// stopwatch sums up for how long something has lasted, where it may begin again before it has ended.
type stopwatch struct {
	running int
	since   time.Duration // when it began to run
	total   time.Duration // of the runs that are over
}

// set starts or stops the stopwatch; a stop with no start before it changes nothing.
func (s *stopwatch) set(now time.Duration, on bool) {
	switch {
	case on:
		if s.running++; s.running == 1 {
			s.since = now
		}
	case s.running > 0:
		if s.running--; s.running == 0 {
			s.total += now - s.since
		}
	}
}

// read is the whole time so far.
func (s *stopwatch) read(now time.Duration) time.Duration {
	if s.running == 0 {
		return s.total
	}
	return s.total + now - s.since
}

// obstacle is the time for which a router could not do what the rules ask of it, by no fault of its own.
type obstacle struct {
	paused   stopwatch // its process stood still
	heldBack stopwatch // a relay held back what it sends to servers
}

// Paused tells that a router's process is made to stand still, or goes on.
func (c *Checker) Paused(now time.Duration, router int, on bool) {
	c.obstacles[router].paused.set(now, on)
}

// HeldBack tells that a relay begins to hold back what a router sends to servers, or that it ends doing so.
func (c *Checker) HeldBack(now time.Duration, router int, on bool) {
	c.obstacles[router].heldBack.set(now, on)
}

// Delayed is for how long so far a request's router stood still or a relay held back what it sends.
func (c *Checker) Delayed(now time.Duration, router int, id uint32) time.Duration {
	q := c.routers[router].requests[id]
	if q == nil {
		return 0
	}
	return c.delayed(now, router, q)
}

// delayed is for how much of a request's time its router stood still or what it sends was held back. A router that was
// paused has read the request so much later, and a server has got an attempt so much after it was written.
func (c *Checker) delayed(now time.Duration, router int, q *request) time.Duration {
	o := &c.obstacles[router]
	return o.paused.read(now) - q.pausedBefore + o.heldBack.read(now) - q.heldBackBefore
}

// WrittenLate tells how much later a client wrote a request than it worked out the time that is left to it.
func (c *Checker) WrittenLate(router int, id uint32, by time.Duration) {
	if q := c.routers[router].requests[id]; q != nil {
		q.writtenLate = by
	}
}

// TimeTold tells how much time an attempt told its server that the client still has, as the server got it now, or why
// that could not be read. By as much as the first attempt tells more, the router has read the request late: what further
// attempts tell more than that is their own.
func (c *Checker) TimeTold(now time.Duration, router int, id uint32, told time.Duration, unreadable error) {
	q := c.routers[router].requests[id]
	if q == nil || q.final {
		return // Sent tells of it
	}
	if unreadable != nil {
		c.breach(TimeLeft, now, router, id, "an attempt tells its server no time that can be read: %v", unreadable)
		return
	}
	excess := told - (q.end - now) - c.delayed(now, router, q) - q.writtenLate
	if excess > q.readLate+c.day.Rules.TimeSlack.D()+c.Lag {
		c.breach(TimeLeft, now, router, id, "an attempt tells its server that %v are left, and %v are", told, q.end-now)
	}
	if !q.told {
		q.told, q.readLate = true, max(excess, 0)
	}
}
