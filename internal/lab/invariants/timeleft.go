package invariants

import "time"

// stopwatch adds up how long a condition has lasted. Intervals may overlap; the overlap counts once.
type stopwatch struct {
	openIntervals int
	startedAt     time.Duration // when the current interval started
	total         time.Duration // sum of the finished intervals
}

// change starts or ends an interval. An end without a start changes nothing.
func (s *stopwatch) change(now time.Duration, start bool) {
	switch {
	case start:
		if s.openIntervals++; s.openIntervals == 1 {
			s.startedAt = now
		}
	case s.openIntervals > 0:
		if s.openIntervals--; s.openIntervals == 0 {
			s.total += now - s.startedAt
		}
	}
}

// read returns the total time so far.
func (s *stopwatch) read(now time.Duration) time.Duration {
	if s.openIntervals == 0 {
		return s.total
	}
	return s.total + now - s.startedAt
}

// excusedTime is the time during which a router could not keep the invariants for reasons beyond its control.
type excusedTime struct {
	paused     stopwatch // its process was paused
	relayDelay stopwatch // a relay delayed what it sends to servers
}

// ProcessPaused records that a router's process is paused or resumed.
func (c *Checker) ProcessPaused(now time.Duration, router int, paused bool) {
	c.excused[router].paused.change(now, paused)
}

// RelayDelaying records that a relay starts or stops delaying what a router sends to servers.
func (c *Checker) RelayDelaying(now time.Duration, router int, delaying bool) {
	c.excused[router].relayDelay.change(now, delaying)
}

// ExcusedDelay returns how long a request's router has been paused or delayed by a relay since it accepted the
// request.
func (c *Checker) ExcusedDelay(now time.Duration, router int, id uint32) time.Duration {
	request := c.routers[router].requests[id]
	if request == nil {
		return 0
	}
	return c.excusedDelayOf(now, router, request)
}

// excusedDelayOf returns how much of a request's time its router was paused or delayed by a relay. A paused
// router has read the request later by this time, and a server has received an attempt later by this time.
func (c *Checker) excusedDelayOf(now time.Duration, router int, request *requestState) time.Duration {
	excused := &c.excused[router]
	return excused.paused.read(now) - request.pausedBefore + excused.relayDelay.read(now) - request.relayDelayBefore
}

// RequestWrittenLate records the time between a client's computation of its remaining time and its write of
// the request.
func (c *Checker) RequestWrittenLate(router int, id uint32, delay time.Duration) {
	if request := c.routers[router].requests[id]; request != nil {
		request.writtenLate = delay
	}
}

// TimeLeftReceived records the remaining time that an attempt stated when its server received it, or why the statement
// was unreadable. If the first attempt states too much time, the router must have read the request late by the
// excess; a larger excess of a later attempt is a violation.
func (c *Checker) TimeLeftReceived(now time.Duration, router int, id uint32, sent time.Duration, unreadable error) {
	request := c.routers[router].requests[id]
	if request == nil || request.answered {
		return // CallSent reports calls after the final answer
	}
	if unreadable != nil {
		c.addViolation(TimeLeft, now, router, id, "an attempt tells its server no time that can be read: %v", unreadable)
		return
	}
	excess := sent - (request.deadline - now) - c.excusedDelayOf(now, router, request) - request.writtenLate
	if excess > request.firstExcess+c.day.Invariants.TimeSlack.Std()+c.Lag {
		c.addViolation(TimeLeft, now, router, id, "an attempt tells its server that %v are left, and %v are", sent,
			request.deadline-now)
	}
	if !request.timeSent {
		request.timeSent, request.firstExcess = true, max(excess, 0)
	}
}
