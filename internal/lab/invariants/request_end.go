package invariants

import "time"

const (
	disconnectSlack     = 100 * time.Millisecond // time after its client has disconnected within which an attempt may still begin
	maxObservationDelay = 5 * time.Millisecond   // on loopback, in addition to the measured lag
)

// RequestEnd describes how a request ended for its client.
type RequestEnd struct {
	At           time.Duration // when the client had its answer or closed its connection
	Disconnected bool          // the client closed its connection before it had an answer

	relayDelay time.Duration // how long relays had delayed the router's calls by then
	pausedFor  time.Duration // how long the router's process had been paused by then
}

// RequestEnded returns the state of a router at the end of a client's request, for AttemptAfterEnd.
func (c *Checker) RequestEnded(now time.Duration, router int, disconnected bool) RequestEnd {
	excused := &c.excused[router]
	return RequestEnd{At: now, Disconnected: disconnected, relayDelay: excused.relayDelay.read(now),
		pausedFor: excused.paused.read(now)}
}

// ConnectionDropped records that a router closed a client's connection without a byte of the answer, although
// it had sent the request to a server.
func (c *Checker) ConnectionDropped(now time.Duration, router int, id uint32) {
	c.addViolation(OneAnswer, now, router, id, "its connection is ended without an answer, though it was sent on")
}

// AnswerTruncated records that a router closed a client's connection in the middle of an answer.
// serverConnBroken says that the server or a relay had broken the connection on which the answer came; the
// rest is then lost, and the router need not send it.
func (c *Checker) AnswerTruncated(now time.Duration, router int, id uint32, serverConnBroken bool) {
	if c.routers[router].requests[id] == nil {
		return
	}
	if serverConnBroken {
		c.ClientDisconnected(router, id)
		return
	}
	c.addViolation(OneAnswer, now, router, id, "its answer is cut off, though its server was giving it")
}

// AttemptAfterEnd records that the first byte of an attempt reached a server after the request had ended. If a
// relay has delayed the router's calls since then, the arrival does not show when the router sent the attempt,
// and is ignored.
func (c *Checker) AttemptAfterEnd(at time.Duration, router int, id uint32, server int, end RequestEnd) {
	if c.excused[router].relayDelay.read(at) > end.relayDelay {
		return
	}
	excess := at - end.At - c.Lag - maxObservationDelay
	paused := c.excused[router].paused.read(at) - end.pausedFor
	switch {
	case end.Disconnected && excess > disconnectSlack:
		c.addViolation(OneAnswer, at, router, id,
			"an attempt begins %v after the client has left, for %v of which the process stood still; lag %v, to server %d",
			at-end.At, paused, c.Lag, server)
	case !end.Disconnected && excess > 0:
		c.addViolation(OneAnswer, at, router, id,
			"an attempt begins %v after the client has its answer, for %v of which the process stood still; lag %v, to server %d",
			at-end.At, paused, c.Lag, server)
	}
}
