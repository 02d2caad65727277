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

// WithLimits returns a policy that applies an operator's plan to the requests of another policy, with the router's own
// admission code. The policies of package rival apply only the limits on retries of a hoptiller.Constraints.
func WithLimits(policy Policy, p *plan.Plan) Policy {
	return func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
		l := &limitedPolicy{Actions: act, control: admission.New(p), requests: map[uint32]*openRequest{}}
		l.next = policy(now, set, seed, l)
		return l
	}
}

// queueTimerFlag is a bit that marks the tokens of timers at which a request stops waiting in a queue. The other bits are
// the ID of the request.
const queueTimerFlag = 1 << 63

// limitedPolicy sits between a router and its policy: the router uses it as its policy, and the policy uses it as its Actions.
type limitedPolicy struct {
	hoptiller.Actions
	next      hoptiller.Events
	control   *admission.Controller
	requests  map[uint32]*openRequest
	now       time.Duration
	servers   map[uint32]admission.Server
	depth     int                  // depth of nested calls of run
	decisions []admission.Decision // not applied yet
}

// openRequest is a request that has no final answer.
type openRequest struct {
	hoptiller.Request
	arrivedAt   time.Duration
	admitted    bool // it was passed on to the policy
	constraints *admission.Constraints
}

// run runs an event of the policy. Decisions that the event leads to are applied after it has returned, because a
// policy must not be called while one of its own calls is running.
func (l *limitedPolicy) run(now time.Duration, event func()) {
	l.now = now
	l.depth++
	event()
	l.depth--
	for l.depth == 0 && len(l.decisions) > 0 {
		decision := l.decisions[0]
		l.decisions = l.decisions[1:]
		l.apply(decision)
	}
}

// apply carries out a decision on a request: it is passed on to the policy, waits or is refused.
func (l *limitedPolicy) apply(decision admission.Decision) {
	q := l.requests[uint32(decision.RequestID)]
	if q == nil {
		return // its client has disconnected
	}
	switch decision.Verdict {
	case limit.Admitted:
		q.admitted = true
		r := q.Request
		r.Remaining -= l.now - q.arrivedAt
		r.Constraints = q.constraints.ForModule()
		l.run(l.now, func() { l.next.Request(l.now, r) })
	case limit.Queued:
		l.SetTimer(queueTimerFlag|decision.RequestID, decision.WaitUntil-l.now)
	case limit.Rejected:
		delete(l.requests, q.ID)
		l.Actions.Refuse(q.ID, decision.RetryAfter)
	}
}

func (l *limitedPolicy) Request(now time.Duration, q hoptiller.Request) {
	l.run(now, func() {
		key := fmt.Appendf(nil, "%016x", q.Key)
		a := &openRequest{Request: q, arrivedAt: now,
			constraints: l.control.Lookup(q.Class, key, fmt.Append(nil, q.Tenant), netip.Addr{})}
		l.requests[q.ID] = a
		decision, others := l.control.Admit(now, uint64(q.ID), a.constraints)
		l.decisions = append(append(l.decisions, decision), others...)
	})
}

// finish records the final answer of a request and frees what it held.
func (l *limitedPolicy) finish(id uint32, result limit.Outcome) {
	q := l.requests[id]
	if q == nil {
		return
	}
	delete(l.requests, id)
	if !q.admitted {
		_, _, others := l.control.CancelWait(l.now, uint64(id))
		l.decisions = append(l.decisions, others...)
		return
	}
	if result == limit.Succeeded && q.constraints.Late(l.now-q.arrivedAt) {
		result = limit.Failed
	}
	l.decisions = append(l.decisions, l.control.Finish(l.now, uint64(id), result)...)
}

func (l *limitedPolicy) Refuse(id uint32, after time.Duration) {
	l.finish(id, limit.Unknown)
	l.Actions.Refuse(id, after)
}

func (l *limitedPolicy) Fail(id uint32) {
	l.finish(id, limit.Failed)
	l.Actions.Fail(id)
}

func (l *limitedPolicy) Outcome(now time.Duration, o hoptiller.Outcome) {
	l.run(now, func() {
		l.next.Outcome(now, o)
		if o.Status == hoptiller.OK {
			l.finish(o.Request, limit.Succeeded)
		}
	})
}

func (l *limitedPolicy) ClientDisconnected(now time.Duration, id uint32) {
	l.run(now, func() {
		q := l.requests[id]
		if l.finish(id, limit.Unknown); q == nil || q.admitted {
			l.next.ClientDisconnected(now, id)
		}
	})
}

func (l *limitedPolicy) Timer(now time.Duration, token uint64) {
	if token&queueTimerFlag == 0 {
		l.run(now, func() { l.next.Timer(now, token) })
		return
	}
	l.run(now, func() {
		if waited, decision, others := l.control.CancelWait(now, token&^queueTimerFlag); waited {
			l.decisions = append(append(l.decisions, decision), others...)
		}
	})
}

func (l *limitedPolicy) StreamStarted(now time.Duration, id uint32, attempt int) {
	l.run(now, func() { l.next.StreamStarted(now, id, attempt) })
}

func (l *limitedPolicy) UpdateServers(now time.Duration, kind hoptiller.ListKind, servers []hoptiller.Server) {
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
	l.run(now, func() { l.next.UpdateServers(now, kind, servers) })
}

// SendMessage implements MessageSender if the router does.
func (l *limitedPolicy) SendMessage(router int, message []byte) {
	if t, ok := l.Actions.(MessageSender); ok {
		t.SendMessage(router, message)
	}
}

// ReceiveMessage implements MessageReceiver if the policy does.
func (l *limitedPolicy) ReceiveMessage(now time.Duration, router int, message []byte) {
	if h, ok := l.next.(MessageReceiver); ok {
		l.run(now, func() { h.ReceiveMessage(now, router, message) })
	}
}
