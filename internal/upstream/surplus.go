package upstream

import (
	"time"

	"hoptiller"
)

// A server may send more than belongs to an answer: a second copy, or other bytes, at once or some milliseconds later,
// if no other call waits for it then. Such a surplus answer cannot be taken for that of another call if it names its
// own request. If it names none, it can, as long as the other call is on its way to the server.
//
// A request that may be repeated freely can be sent again as soon as its attempt is no longer in flight, so a good guess
// is enough. Any other request is sent again on the word of such an answer that nothing ran, which must be certain.

const (
	// usualSurplusTime is how long after an answer a surplus one usually arrives. The network may hold it back for longer.
	usualSurplusTime = 20 * time.Millisecond

	// A server has read a call at the latest after maxRoundTrips of the fastest answer seen and readMargin.
	maxRoundTrips = 2
	readMargin    = 10 * time.Millisecond
)

// mayBeSurplus reports whether an answer that names no request, and that was just read, may be surplus to the answer
// before it. Otherwise it answers the first call in flight. rest is what was read behind the answer. The caller holds
// p.mu.
func (c *conn) mayBeSurplus(rest []byte) bool {
	if c.lastAnswer.at.IsZero() {
		return false
	}
	if len(c.pending) == 1 && len(rest) > 0 { // more has come than the call's answer
		return true
	}
	call := c.pending[0]
	if call.req.Effect != hoptiller.Idempotent {
		return call.sentAt.Sub(c.lastAnswer.at) < c.pool.settings.SurplusTime
	}
	arrivedAt := c.reader.NewestArrival()
	if arrivedAt.Sub(c.lastAnswer.at) >= usualSurplusTime {
		return false
	}
	// Calls that are sent before the server has accepted the connection reach it together, right before its first answer.
	sentAt := call.sentAt
	if c.lastAnswer.firstAt.After(sentAt) {
		sentAt = c.lastAnswer.firstAt
	}
	fastest := c.server.fastestAnswer
	return fastest == 0 || arrivedAt.Sub(sentAt) < maxRoundTrips*fastest+readMargin
}

// failUnconfirmed closes a connection on which an answer arrived that may be surplus: the first call may still be in
// flight, and only the end of the connection ends it. The caller holds p.mu.
func (p *Pool) failUnconfirmed(c *conn, status hoptiller.Status) {
	if status == hoptiller.TurnedAway {
		status = hoptiller.Unconfirmed
	}
	p.failFirst(c, status, CloseUnconfirmed)
}
