package sim

import (
	"fmt"
	"net/netip"
	"time"

	"hoptiller"
	"hoptiller/internal/admission"
	"hoptiller/internal/limit"
	"hoptiller/internal/plan"
)

// Limited puts a plan round a policy, with the code that the router has for it. Of
// a hoptiller.Narrowing the rivals keep what it says of repeats, and no more.
func Limited(policy Policy, p *plan.Plan) Policy {
	return func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
		l := &limited{Actions: act, control: admission.New(p), open: map[uint32]*asked{}}
		l.next = policy(now, set, seed, l)
		return l
	}
}

// leaving marks the tokens of timers at which one leaves a queue.
const leaving = 1 << 63

// limited stands between a router and its policy.
type limited struct {
	hoptiller.Actions
	next    hoptiller.Events
	control *admission.Controller
	open    map[uint32]*asked
	now     time.Duration
	servers map[uint32]admission.Server
	inside  int // calls of the policy that are not over
	turns   []admission.Decision
}

// asked is a request that has no final answer.
type asked struct {
	hoptiller.Request
	at    time.Duration
	in    bool
	bound *admission.Constraints
}

// hear lets the policy hear something. What that frees for others is theirs when it is over: a policy must not be
// called while it calls.
func (l *limited) hear(now time.Duration, event func()) {
	l.now = now
	l.inside++
	event()
	l.inside--
	for l.inside == 0 && len(l.turns) > 0 {
		t := l.turns[0]
		l.turns = l.turns[1:]
		l.turn(t)
	}
}

func (l *limited) turn(t admission.Decision) {
	q := l.open[uint32(t.RequestID)]
	if q == nil {
		return // it has left meanwhile
	}
	switch t.Verdict {
	case limit.Go:
		q.in = true
		r := q.Request
		r.Remaining -= l.now - q.at
		r.Narrow = q.bound.Narrowing()
		l.hear(l.now, func() { l.next.Request(l.now, r) })
	case limit.Wait:
		l.SetTimer(leaving|t.RequestID, t.WaitUntil-l.now)
	case limit.No:
		delete(l.open, q.ID)
		l.Actions.Refuse(q.ID, t.RetryAfter)
	}
}

func (l *limited) Request(now time.Duration, q hoptiller.Request) {
	l.hear(now, func() {
		key := fmt.Appendf(nil, "%016x", q.Key)
		a := &asked{Request: q, at: now, bound: l.control.Lookup(q.Class, key, fmt.Append(nil, q.Tenant), netip.Addr{})}
		l.open[q.ID] = a
		t, others := l.control.Admit(now, uint64(q.ID), a.bound)
		l.turns = append(append(l.turns, t), others...)
	})
}

// end takes the final answer of a request.
func (l *limited) end(id uint32, how limit.Ended) {
	q := l.open[id]
	if q == nil {
		return
	}
	delete(l.open, id)
	if !q.in {
		_, _, others := l.control.CancelWait(l.now, uint64(id))
		l.turns = append(l.turns, others...)
		return
	}
	if how == limit.Well && q.bound.Late(l.now-q.at) {
		how = limit.Badly
	}
	l.turns = append(l.turns, l.control.Finish(l.now, uint64(id), how)...)
}

func (l *limited) Refuse(id uint32, after time.Duration) {
	l.end(id, limit.Unknown)
	l.Actions.Refuse(id, after)
}

func (l *limited) Fail(id uint32) {
	l.end(id, limit.Badly)
	l.Actions.Fail(id)
}

func (l *limited) Outcome(now time.Duration, o hoptiller.Outcome) {
	l.hear(now, func() {
		l.next.Outcome(now, o)
		if o.Status == hoptiller.OK {
			l.end(o.Request, limit.Well)
		}
	})
}

func (l *limited) ClientGone(now time.Duration, id uint32) {
	l.hear(now, func() {
		q := l.open[id]
		if l.end(id, limit.Unknown); q == nil || q.in {
			l.next.ClientGone(now, id)
		}
	})
}

func (l *limited) Timer(now time.Duration, token uint64) {
	if token&leaving == 0 {
		l.hear(now, func() { l.next.Timer(now, token) })
		return
	}
	l.hear(now, func() {
		if waited, t, others := l.control.CancelWait(now, token&^leaving); waited {
			l.turns = append(append(l.turns, t), others...)
		}
	})
}

func (l *limited) Streaming(now time.Duration, id uint32, attempt int) {
	l.hear(now, func() { l.next.Streaming(now, id, attempt) })
}

func (l *limited) List(now time.Duration, kind hoptiller.ListKind, servers []hoptiller.Server) {
	if l.servers == nil || kind == hoptiller.ListFull {
		l.servers = map[uint32]admission.Server{}
	}
	for _, s := range servers {
		l.servers[s.ID] = admission.Server{ID: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Ready: s.Phase == hoptiller.Ready}
	}
	if kind != hoptiller.ListFailed {
		var all []admission.Server
		for _, s := range l.servers {
			all = append(all, s)
		}
		l.control.SetServers(all)
	}
	l.hear(now, func() { l.next.List(now, kind, servers) })
}

// Tell sends a message, where the policy has any.
func (l *limited) Tell(router int, message []byte) {
	if t, ok := l.Actions.(Teller); ok {
		t.Tell(router, message)
	}
}

// Told takes one.
func (l *limited) Told(now time.Duration, router int, message []byte) {
	if h, ok := l.next.(Hearer); ok {
		l.hear(now, func() { h.Told(now, router, message) })
	}
}
