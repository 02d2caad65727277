package sim

import (
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// This file implements hoptiller.Actions: a router carries out the actions of its policy.

// Send implements hoptiller.Actions.
func (r *router) Send(request, server uint32, timeout time.Duration) {
	t := r.tier
	now := t.World.Now()
	m, known := r.servers[server]
	inv := r.invocations[request]
	if inv == nil || inv.closed {
		t.Checker.CallSent(now, r.index, request, m.ServerIndex)
		return
	}
	c := &call{inv: inv, sentAt: now, pending: true}
	c.Try, c.Attempt = inv.try, len(inv.calls)
	index := m.ServerIndex
	if !known {
		index = -1
	}
	t.Checker.CallSent(now, r.index, request, index)
	t.Checker.TimeLeftReceived(now, r.index, request, timeout, nil)
	inv.calls = append(inv.calls, c)
	c.serverIndex, c.serverID = index, server
	r.trace(request, "call %d goes to server %d, %v to answer", c.Attempt, index, timeout)
	t.Scorer.CallSent(m.Zone != r.index%t.day.Zones)
	if !known || len(inv.calls) > t.day.Invariants.MaxAttempts {
		// The call ends after 1 ms, not at once: time would not pass for a policy that always sends again.
		t.World.After(time.Millisecond, func() { r.endCall(c, hoptiller.NotSent) })
		return
	}
	if abandoned := inv.abandonedConn; abandoned != nil {
		// A request has one call in flight at a time, so the connection of its cancelled call is closed first.
		inv.abandonedConn = nil
		r.closeConn(abandoned, hoptiller.Cancelled)
	}
	timeout = min(timeout, inv.deadline-now)
	t.World.After(timeout, func() {
		if c.pending && !r.killed {
			r.abandon(c)
			r.endCall(c, hoptiller.Timeout)
		}
	})
	r.poolFor(index).assign(c)
}

// Cancel implements hoptiller.Actions.
func (r *router) Cancel(request uint32, attempt int) {
	inv := r.invocations[request]
	if inv == nil || attempt >= len(inv.calls) {
		return
	}
	c := inv.calls[attempt]
	r.tier.World.After(0, func() {
		if c.pending && !r.killed {
			r.abandon(c)
			r.endCall(c, hoptiller.Cancelled)
		}
	})
}

// CloseIdle implements hoptiller.Actions.
func (r *router) CloseIdle(server uint32) {
	if m, ok := r.servers[server]; ok {
		r.poolFor(m.ServerIndex).closeIdle()
	}
}

// Refuse implements hoptiller.Actions.
func (r *router) Refuse(request uint32, after time.Duration) {
	if inv := r.invocations[request]; inv != nil && !inv.closed {
		r.giveFinalAnswer(inv, hoptiller.StepReject, after)
	}
}

// Fail implements hoptiller.Actions.
func (r *router) Fail(request uint32) {
	if inv := r.invocations[request]; inv != nil && !inv.closed {
		r.giveFinalAnswer(inv, hoptiller.StepFail, 0)
	}
}

// SetTimer implements hoptiller.Actions.
func (r *router) SetTimer(token uint64, delay time.Duration) {
	due := r.tier.World.Now() + delay
	if round := r.tier.day.EventInterval.Std(); round > 0 {
		due = max((due+round-1)/round, r.tier.World.Now()/round+1) * round
	}
	r.tier.World.At(due, func() {
		if !r.killed {
			r.policy.Timer(r.now(), token)
		}
	})
}

// FetchList implements hoptiller.Actions.
func (r *router) FetchList() { r.tier.World.Discovery.Request(r.index, true, false, nil) }

// Watch implements hoptiller.Actions.
func (r *router) Watch(on bool) {
	r.tier.Checker.WatchChanged(r.index, on)
	r.tier.World.Discovery.Request(r.index, false, on, nil)
}

// Log implements hoptiller.Actions.
func (r *router) Log(text string) { r.tier.Scorer.RouterLog(r.tier.World.Now(), r.index, text) }

// SendMessage implements MessageSender.
func (r *router) SendMessage(to int, message []byte) {
	message = slices.Clone(message)
	r.tier.Scorer.PeerMessage(len(message))
	r.tier.World.SendPeerMessage(r.index, to, func() {
		if p := r.tier.routers[to]; p != nil {
			if h, ok := p.policy.(MessageReceiver); ok {
				p.deliver(func() { h.ReceiveMessage(p.now(), r.index, message) })
			}
		}
	})
}

// unansweredTries returns the requests that have no final answer, in order of arrival.
func (r *router) unansweredTries() (list []*model.Try) {
	ids := make([]uint32, 0, len(r.invocations))
	for id, inv := range r.invocations {
		if !inv.closed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		list = append(list, r.invocations[id].try)
	}
	return list
}
