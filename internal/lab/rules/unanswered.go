package rules

import "time"

// Of a day's requests, one in unansweredOneIn and unansweredMore beside them may be without an answer when their time is
// up. On sockets that covers what nobody can help: a request that is written in the moment in which a router that ends
// shuts its connection.
const (
	unansweredOneIn = 500
	unansweredMore  = 5
)

// MostStandstill is by how much an answer may be late at the most since its router stood still meanwhile: what comes half a second after
// its time earns nothing, and what comes later is lost.
const MostStandstill = 500 * time.Millisecond

// Standstill is for how long its router has stood still since a request was taken.
func (c *Checker) Standstill(now time.Duration, router int, id uint32) time.Duration {
	q := c.routers[router].requests[id]
	if q == nil {
		return 0
	}
	return c.obstacles[router].paused.read(now) - q.pausedBefore
}

// Unanswered tells that the time of a request is up, with the grace and what its router stood still for, or its connection has ended,
// and no final answer has come: nothing is owed any more. A router that stands still, or did for longer than an answer is waited for,
// could not answer.
func (c *Checker) Unanswered(now time.Duration, router int, id uint32) {
	q := c.routers[router].requests[id]
	if q == nil || q.final {
		return
	}
	if c.obstacles[router].paused.running == 0 && c.Standstill(now, router, id) <= MostStandstill {
		c.unanswered++
	}
	c.Left(router, id)
}

// judgeUnanswered holds the whole day to the bound.
func (c *Checker) judgeUnanswered(now time.Duration) {
	if most := c.taken/unansweredOneIn + unansweredMore; c.unanswered > most {
		c.breach(Unanswered, now, -1, 0, "%d of %d requests have no answer when their time is up, %d may", c.unanswered, c.taken, most)
	}
}
