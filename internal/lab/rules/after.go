package rules

import "time"

const (
	leaveSlack = 100 * time.Millisecond // after its client's close in which an attempt may begin
	seenLater  = 5 * time.Millisecond   // at the most, on loopback, beside the lag that is measured
)

// Ending is how a request ended for its client.
type Ending struct {
	At   time.Duration // when the client had its answer, or closed its connection
	Left bool          // it closed its connection before an answer was there

	heldBack time.Duration // how long the router's calls had been held back by then
	paused   time.Duration // and how long its process had stood still
}

// Ends notes the end of a request of a router's client, for Begun.
func (c *Checker) Ends(now time.Duration, router int, left bool) Ending {
	o := &c.obstacles[router]
	return Ending{At: now, Left: left, heldBack: o.heldBack.read(now), paused: o.paused.read(now)}
}

// Dropped tells that a router has ended a client's connection without a byte of the answer to a request that it had sent on.
func (c *Checker) Dropped(now time.Duration, router int, id uint32) {
	c.breach(OneAnswer, now, router, id, "its connection is ended without an answer, though it was sent on")
}

// CutOff tells that a router has ended a client's connection within an answer that had begun. broken tells that the connection on which
// the answer came from its server was broken by the server or a relay, and then nobody has the rest: nothing more is owed.
func (c *Checker) CutOff(now time.Duration, router int, id uint32, broken bool) {
	if c.routers[router].requests[id] == nil {
		return
	}
	if broken {
		c.Left(router, id)
		return
	}
	c.breach(OneAnswer, now, router, id, "its answer is cut off, though its server was giving it")
}

// Begun tells of an attempt whose first byte has come to a server at a time when its request had ended. What relays have held back since
// then tells nothing of when the router sent it.
func (c *Checker) Begun(at time.Duration, router int, id uint32, server int, ending Ending) {
	if c.obstacles[router].heldBack.read(at) > ending.heldBack {
		return
	}
	late := at - ending.At - c.Lag - seenLater
	still := c.obstacles[router].paused.read(at) - ending.paused
	switch {
	case ending.Left && late > leaveSlack:
		c.breach(OneAnswer, at, router, id, "an attempt begins %v after the client has left, for %v of which the process stood still; lag %v, to server %d",
			at-ending.At, still, c.Lag, server)
	case !ending.Left && late > 0:
		c.breach(OneAnswer, at, router, id, "an attempt begins %v after the client has its answer, for %v of which the process stood still; lag %v, to server %d",
			at-ending.At, still, c.Lag, server)
	}
}
