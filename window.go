package hoptiller

// A server's window is the number of this router's own attempts that may be in flight there. It is cut when
// answers come late, and it grows while it is in use and answers come in time.

import "math"

const (
	// The first cut leaves a window of firstCutWindow, divided by the number of routers.
	firstCutWindow  = 12.0
	windowCutFactor = 0.8 // what a late or refused answer leaves of a window
	// One window's worth of good answers adds windowGain requests at all routers together, and at least
	// minWindowGain at each router. Each router cuts its window by itself. If one of hundreds of routers
	// regained only its share of windowGain, its window would never recover.
	windowGain      = 3.0
	minWindowGain   = 0.3
	lateAimFraction = 0.4 // an answer after this fraction of the aim is a sign of a queue
)

// hasRoom reports whether a server's window has room. This protects against queues that make answers late.
func (r *Router) hasRoom(s *server) bool { return float64(s.inFlight) < s.window }

// learnWindow finds how much of this router's work a server sustains before answers come late. Signs of a
// queue cut the window, at most once for each window of attempts. It grows slowly while it is in use.
func (r *Router) learnWindow(q *request, t *attempt, o *Outcome) {
	s, used := t.target, float64(t.target.inFlight+1)
	late, lateAfter := false, lateAimFraction*q.class.Aim.Seconds()
	if s.origin {
		lateAfter *= originLateFactor
	}
	switch o.Status {
	case TurnedAway, Unconfirmed, ConnectFailed:
		late = true
	case Timeout, OK:
		late = o.Latency.Seconds() > lateAfter
	default:
		return
	}
	if s.origin && q.Write {
		return // not a fetch, and no window limits writes to the origin
	}
	if s.origin {
		s.lateFraction += (boolToFloat(late) - s.lateFraction) / lateFetchOutcomes
		late = late && s.lateFraction > maxLateFetches
	}
	if !late {
		if used >= s.window/2 {
			s.window += max(minWindowGain, windowGain/r.routerCount()) / max(s.window, 1)
		}
		return
	}
	// Lateness at a cache that gets little from this router is left to the other routers, but an origin is
	// shared by all. Only an answer shows lateness: a lost attempt may be the connection's fault.
	shared := s.origin && o.Status == OK
	if t.sentAt < s.windowCutAt || used < s.window/2 && !shared && !math.IsInf(s.window, 1) {
		return
	}
	s.windowCutAt = r.now
	if math.IsInf(s.window, 1) {
		s.window = max(firstCutWindow/r.routerCount(), used)
	}
	s.window = min(s.window, 2*max(used, float64(s.peakInFlight)))
	s.peakInFlight = s.inFlight
	s.window = max(1, windowCutFactor*s.window)
}
