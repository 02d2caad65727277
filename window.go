package hoptiller

// Windows: how many of this instance's own attempts may be out at a server. A window is cut where answers
// come late, and grows while it is in use and they don't.

import "math"

const (
	windowFirst = 12.0 // what a first cut leaves of a window at all balancers together
	windowCut   = 0.8  // what a late or refused answer leaves of a window
	windowGain  = 3.0  // requests that a window's worth of good answers adds at all of them,
	windowOwn   = 0.3  // and at each, which is cut by itself: a part of hundreds would never be regained
	lateAt      = 0.4  // answers after this part of the aim are signs of a queue
)

// hasRoom tells whether a server's window has room: the guard against queues that make answers late.
func (r *Router) hasRoom(s *server) bool { return float64(s.out) < s.window }

// learnWindow finds how much own work a server bears before answers come late: cut on
// signs of a queue, once for each window sent, and grown slowly while it is in use.
func (r *Router) learnWindow(q *request, t *attempt, o *Outcome) {
	s, used := t.to, float64(t.to.out+1)
	late, at := false, lateAt*q.class.Aim.Seconds()
	if s.origin {
		at *= originLate
	}
	switch o.Status {
	case Full, ConnectFailed:
		late = true
	case Timeout, OK:
		late = o.Latency.Seconds() > at
	default:
		return
	}
	if s.origin && q.Write {
		return // other work than a fetch, of which no window bounds any
	}
	if s.origin {
		s.late += (one(late) - s.late) / lateOver
		late = late && s.late > lateBorne
	}
	if !late {
		if used >= s.window/2 {
			s.window += max(windowOwn, windowGain/r.balancers()) / max(s.window, 1)
		}
		return
	}
	// What is late at a cache that has little of this instance's is for others to mend; an origin is shared.
	// Only an answer shows that: what is lost on the way may be the connection's fault.
	shared := s.origin && o.Status == OK
	if t.at < s.cutAt || used < s.window/2 && !shared && !math.IsInf(s.window, 1) {
		return
	}
	s.cutAt = r.now
	if math.IsInf(s.window, 1) {
		s.window = max(windowFirst/r.balancers(), used)
	}
	s.window = min(s.window, 2*max(used, float64(s.most)))
	s.most = s.out
	s.window = max(1, windowCut*s.window)
}
