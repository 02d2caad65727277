package standin

import (
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// Not every request that is refused, failed, lost or late is the fault of its router. This file finds other
// explanations: a fault applied to the router, the results of its servers, a lack of capacity of the caches,
// or too short a time. Requests without an explanation count against the routers.

const (
	loadWindow          = time.Second            // window over which the load of the caches is measured
	fullLoad            = 0.9                    // load, as a share of capacity, above which nearly all caches are busy
	routerTimeAllowance = 100 * time.Millisecond // time that a router may spend on a request in addition to its calls
	// A client that waits no longer than this multiple of the mean work may get no answer.
	minWorkMultiple = 3.0
	slowCallShare   = 0.5 // share of the class's aim from which a call counts as slow
)

// recentLoad is the work of the reads that clients have recently requested.
type recentLoad struct {
	windowStart       time.Duration // when the current window started
	current, previous float64       // work in the current window and in the one before
}

// add counts requested work.
func (l *recentLoad) add(now time.Duration, work float64) {
	l.advance(now)
	l.current += work
}

// advance starts the window that contains the given time, if it is a new one.
func (l *recentLoad) advance(now time.Duration) {
	switch passed := now - l.windowStart; {
	case passed >= 2*loadWindow:
		l.windowStart, l.previous, l.current = now, 0, 0
	case passed >= loadWindow:
		l.windowStart, l.previous, l.current = l.windowStart+loadWindow, l.current, 0
	}
}

// rate returns the load over the last loadWindow, in standard-core seconds per second. It is the work of the
// current window so far, plus the share of the previous window that still lies within loadWindow.
func (l *recentLoad) rate(now time.Duration) float64 {
	l.advance(now)
	elapsedShare := float64(now-l.windowStart) / float64(loadWindow)
	return (l.current + l.previous*(1-elapsedShare)) / loadWindow.Seconds()
}

// cachesOverloaded reports whether clients request more than the caches can serve. Engine.mu must be held.
func (e *Engine) cachesOverloaded() bool {
	now, capacity := e.World.Now(), 0.0
	for _, c := range e.World.Caches {
		if c.AcceptsWork() {
			capacity += c.Capacity(now)
		}
	}
	return e.requestedLoad.rate(now) > fullLoad*capacity
}

// callSummary summarises the calls of a request.
type callSummary struct {
	totalTime time.Duration // time that the calls spent at servers
	anySlow   bool          // a call took long
	anyFailed bool          // a call ended with neither a value nor a miss
	anyMissed bool
}

// callEnded adds a finished call.
func (s *callSummary) callEnded(status hoptiller.Status, took, aim time.Duration) {
	s.totalTime += took
	s.anySlow = s.anySlow || took > time.Duration(slowCallShare*float64(aim))
	s.anyFailed = s.anyFailed || status != hoptiller.OK && status != hoptiller.Miss
	s.anyMissed = s.anyMissed || status == hoptiller.Miss
}

// failureCause says what explains that a request was refused, failed, lost or slow.
type failureCause uint8

const (
	causeRouter failureCause = iota // no explanation but the router
	causeTiming                     // only a fault at the same time, with no sign that it affected the request
	causeKnown                      // a fault or limit that affected the request, its calls or its router
)

// causeOf returns what explains the outcome of a request. It must be called before the request ends for the
// checker. Engine.mu must be held.
func (e *Engine) causeOf(request *clientRequest) failureCause {
	now, node := e.World.Now(), e.nodes[request.try.Router]
	class := &e.day.Classes[request.try.Op.Class]
	for call, arrivedAt := range request.callArrivedAt { // calls still in flight
		if _, ended := request.callEndedAt[call]; !ended {
			request.callSummary.callEnded(hoptiller.OK, now-arrivedAt, class.Aim.Std())
		}
	}
	switch {
	case request.incarnation != node.incarnation || node.wasKilled(request): // the process of its router has ended
		return causeKnown
	case e.Checker.ExcusedDelay(now, node.index, request.number) > 0: // the router was paused, or a relay delayed its calls
		return causeKnown
	case request.callSummary.anySlow || request.callSummary.anyFailed:
		return causeKnown
	case request.try.Remaining < time.Duration(minWorkMultiple*float64(class.Work)):
		return causeKnown
	case request.callSummary.anyMissed && e.World.Origin.Load() > fullLoad:
		return causeKnown
	// A fault on the paths does not affect a request that is refused at once, but it affects the requests before it.
	case node.disturbances > 0:
		return causeTiming
	case e.cachesOverloaded():
		return causeTiming
	}
	return causeRouter
}

// recordFailure counts a finished request as unexplained or as explained by timing, unless it was answered as
// fast as its calls allowed or a known cause explains its end. Engine.mu must be held.
func (e *Engine) recordFailure(request *clientRequest, answer model.FinalAnswer) {
	if request.try.Op.Disconnected {
		return
	}
	duration := e.World.Now() - request.try.SentAt
	late := duration > e.day.Classes[request.try.Op.Class].Aim.Std()
	if answer == model.FinalValue && (!late || duration-request.callSummary.totalTime <= routerTimeAllowance) {
		return
	}
	switch e.causeOf(request) {
	case causeRouter:
		e.Scorer.RequestUnexplained(e.World.Now())
	case causeTiming:
		e.Scorer.RequestExplainedByTiming(e.World.Now())
	}
}
