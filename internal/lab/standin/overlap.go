package standin

import (
	"time"

	"hoptiller/internal/lab/arrival"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
)

// outCall is the latest call of a request.
type outCall struct {
	call *model.Call
	link *link
	at   time.Time // when its first byte came
	came *rules.CallTrace
}

// alone sees to it that no other call of the request was out together with this one. All times are those of the sockets: on a busy
// machine the end of a call may be read here long after the beginning of the next, and one that came while its connection's handshake
// went on is read after a later one.
func (l *link) alone(r *request, call *model.Call, at time.Time) {
	e, before := l.n.e, r.out
	latest := &outCall{call, l, at, &rules.CallTrace{Attempt: call.Attempt, Server: l.server, Connected: l.accepted, Written: at.Sub(e.begun), Read: e.World.Now()}}
	if r.out = latest; before == nil || e.day.Rules.Copies {
		return
	}
	e.World.After(slack, func() {
		if !r.overlaps(before, latest) || !r.overlaps(latest, before) {
			return
		}
		now := time.Since(e.begun)
		e.Check.CallsOverlapped(e.World.Now(), l.n.index, r.number, before.came, latest.came, l.n.lag.most(now), e.lag.most(now))
	})
}

// overlaps tells whether a call had not ended when another one came.
func (r *request) overlaps(first, second *outCall) bool {
	end, ended := r.endOf(first)
	if first.came.InFlight = !ended; ended {
		first.came.Ended = end.Sub(first.link.n.e.begun)
	}
	return !ended || end.Sub(second.at) > arrival.Uncertainty
}

// endOf is when a call ended: it was answered or lost here, or its router ended its connection; false: it is still out.
func (r *request) endOf(out *outCall) (at time.Time, ended bool) {
	at, ended = r.ended[out.call]
	if closed, is := out.link.source.End(); is && (!ended || closed.Before(at)) {
		return closed, true
	}
	return at, ended
}
