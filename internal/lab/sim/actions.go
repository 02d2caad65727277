package sim

import (
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// A router is the hoptiller.Actions of its policy.

// Send implements hoptiller.Actions.
func (r *router) Send(request, server uint32, timeout time.Duration) {
	t := r.t
	now := t.World.Now()
	m, known := r.list[server]
	inv := r.open[request]
	if inv == nil || inv.closed {
		t.Check.Sent(now, r.index, request, m.Index)
		return
	}
	c := &call{inv: inv, sent: now, open: true}
	c.Try, c.Attempt = inv.try, len(inv.calls)
	index := m.Index
	if !known {
		index = -1
	}
	t.Check.Sent(now, r.index, request, index)
	t.Check.TimeTold(now, r.index, request, timeout, nil)
	inv.calls = append(inv.calls, c)
	c.server, c.id = index, server
	r.tell(request, "call %d goes to server %d, %v to answer", c.Attempt, index, timeout)
	t.Tally.Called(m.Zone != r.index%t.day.Zones)
	if !known || len(inv.calls) > t.day.Rules.Attempts {
		t.World.After(time.Millisecond, func() { r.outcome(c, hoptiller.Moot) }) // time passes, or a policy that sends on would never end
		return
	}
	if g := inv.given; g != nil { // one call out at a time: what was given up must end first
		inv.given = nil
		r.end(g, hoptiller.Cancelled)
	}
	timeout = min(timeout, inv.end-now)
	t.World.After(timeout, func() {
		if c.open && !r.dead {
			r.give(c)
			r.outcome(c, hoptiller.Timeout)
		}
	})
	r.pool(index).place(c)
}

// Cancel implements hoptiller.Actions.
func (r *router) Cancel(request uint32, attempt int) {
	inv := r.open[request]
	if inv == nil || attempt >= len(inv.calls) {
		return
	}
	c := inv.calls[attempt]
	r.t.World.After(0, func() {
		if c.open && !r.dead {
			r.give(c)
			r.outcome(c, hoptiller.Cancelled)
		}
	})
}

// CloseIdle implements hoptiller.Actions.
func (r *router) CloseIdle(server uint32) {
	if m, ok := r.list[server]; ok {
		r.pool(m.Index).closeIdle()
	}
}

// Refuse implements hoptiller.Actions.
func (r *router) Refuse(request uint32, after time.Duration) {
	if inv := r.open[request]; inv != nil && !inv.closed {
		r.answer(inv, hoptiller.StepReject, after)
	}
}

// Fail implements hoptiller.Actions.
func (r *router) Fail(request uint32) {
	if inv := r.open[request]; inv != nil && !inv.closed {
		r.answer(inv, hoptiller.StepFail, 0)
	}
}

// SetTimer implements hoptiller.Actions.
func (r *router) SetTimer(token uint64, delay time.Duration) {
	due := r.t.World.Now() + delay
	if round := r.t.day.Round.D(); round > 0 {
		due = max((due+round-1)/round, r.t.World.Now()/round+1) * round
	}
	r.t.World.At(due, func() {
		if !r.dead {
			r.policy.Timer(r.now(), token)
		}
	})
}

// FetchList implements hoptiller.Actions.
func (r *router) FetchList() { r.t.World.Directory.Ask(r.index, true, false, nil) }

// Watch implements hoptiller.Actions.
func (r *router) Watch(on bool) {
	r.t.Check.Watches(r.index, on)
	r.t.World.Directory.Ask(r.index, false, on, nil)
}

// Log implements hoptiller.Actions.
func (r *router) Log(text string) { r.t.Tally.Log(r.t.World.Now(), r.index, text) }

// Tell implements Teller.
func (r *router) Tell(to int, message []byte) {
	message = slices.Clone(message)
	r.t.Tally.Told(len(message))
	r.t.World.Tell(r.index, to, func() {
		if p := r.t.routers[to]; p != nil {
			if h, ok := p.policy.(Hearer); ok {
				p.event(func() { h.Told(p.now(), r.index, message) })
			}
		}
	})
}

// tries are the requests that have no answer, in the order in which they came.
func (r *router) tries() (list []*model.Try) {
	ids := make([]uint32, 0, len(r.open))
	for id, inv := range r.open {
		if !inv.closed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		list = append(list, r.open[id].try)
	}
	return list
}
