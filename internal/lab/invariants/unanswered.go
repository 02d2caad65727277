package invariants

import "time"

// On a day, one request in unansweredOneIn, and unansweredExtra more, may have no answer at their deadline. On
// sockets this covers an unavoidable case: a request that is written at the moment at which a stopping router
// closes its connection.
const (
	unansweredOneIn = 500
	unansweredExtra = 5
)

// MaxPause is how late an answer may be because its router was paused meanwhile. An answer that comes within
// half a second after its deadline earns nothing; one that comes later counts as lost.
const MaxPause = 500 * time.Millisecond

// PausedFor returns how long the router has been paused since it accepted a request.
func (c *Checker) PausedFor(now time.Duration, router int, id uint32) time.Duration {
	request := c.routers[router].requests[id]
	if request == nil {
		return 0
	}
	return c.excused[router].paused.read(now) - request.pausedBefore
}

// RequestUnanswered records that a request has no final answer although its connection has ended, or its
// deadline, the grace and the pauses of its router are over. The request needs no answer any more. It is not
// counted if the router is paused or was paused for more than MaxPause, because such a router could not
// answer.
func (c *Checker) RequestUnanswered(now time.Duration, router int, id uint32) {
	request := c.routers[router].requests[id]
	if request == nil || request.answered {
		return
	}
	if c.excused[router].paused.openIntervals == 0 && c.PausedFor(now, router, id) <= MaxPause {
		c.unansweredCount++
	}
	c.ClientDisconnected(router, id)
}

// checkUnanswered adds a violation if too many requests of the day had no answer.
func (c *Checker) checkUnanswered(now time.Duration) {
	if allowed := c.requestCount/unansweredOneIn + unansweredExtra; c.unansweredCount > allowed {
		c.addViolation(Unanswered, now, -1, 0, "%d of %d requests have no answer when their time is up, %d may", c.unansweredCount,
			c.requestCount, allowed)
	}
}
