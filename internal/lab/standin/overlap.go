package standin

import (
	"time"

	"hoptiller/internal/lab/arrival"
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
)

// tracedCall is a call of a request with the times at which it was observed.
type tracedCall struct {
	call      *model.Call
	link      *link
	arrivedAt time.Time // when its first byte arrived
	trace     *invariants.CallTrace
}

// checkOverlap reports a violation if this call and the previous one of the request were in flight at the same
// time. All times are those of the sockets: on a busy machine the end of a call may be read here long after
// the start of the next, and a call that arrives during its connection's handshake is read after a later one.
func (l *link) checkOverlap(request *clientRequest, call *model.Call, at time.Time) {
	e, previous := l.node.engine, request.latestCall
	latest := &tracedCall{call, l, at, &invariants.CallTrace{Attempt: call.Attempt, Server: l.server, Connected: l.acceptedAt,
		Written: at.Sub(e.startedAt), Read: e.World.Now()}}
	if request.latestCall = latest; previous == nil || e.day.Invariants.AllowsHedge {
		return
	}
	e.World.After(slack, func() {
		if !request.endedAfterStart(previous, latest) || !request.endedAfterStart(latest, previous) {
			return
		}
		now := time.Since(e.startedAt)
		e.Checker.CallsOverlapped(e.World.Now(), l.node.index, request.number, previous.trace, latest.trace, l.node.lag.max(now),
			e.lag.max(now))
	})
}

// endedAfterStart reports whether the first call was still in flight when the second one arrived.
func (r *clientRequest) endedAfterStart(first, second *tracedCall) bool {
	end, ended := r.callEnd(first)
	if first.trace.InFlight = !ended; ended {
		first.trace.Ended = end.Sub(first.link.node.engine.startedAt)
	}
	return !ended || end.Sub(second.arrivedAt) > arrival.Uncertainty
}

// callEnd returns when a call ended, either by its answer or loss here or because the router closed its
// connection. ended is false if the call is still in flight.
func (r *clientRequest) callEnd(traced *tracedCall) (endedAt time.Time, ended bool) {
	endedAt, ended = r.callEndedAt[traced.call]
	if closed, known := traced.link.sourceLog.EndTime(); known && (!ended || closed.Before(endedAt)) {
		return closed, true
	}
	return endedAt, ended
}
