package rules

import "time"

// Of a day's requests, one in unansweredOneIn and unansweredMore beside them may be without an answer when their time is
// up. On sockets that covers what nobody can help: a request that is written in the moment in which a router that ends
// shuts its connection.
const (
	unansweredOneIn = 500
	unansweredMore  = 5
)

// Unanswered tells that the time of a request, with the grace, is up, or its connection has ended, and no final answer
// has come: nothing is owed any more. A router that stood still meanwhile could not answer.
func (c *Checker) Unanswered(now time.Duration, router int, id uint32) {
	q := c.routers[router].requests[id]
	if q == nil || q.final {
		return
	}
	if paused := &c.obstacles[router].paused; paused.running == 0 && paused.read(now) == q.pausedBefore {
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
