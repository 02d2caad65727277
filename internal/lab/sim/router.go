package sim

import (
	"fmt"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
)

// acceptAfterStop is the time for which a router goes on accepting requests after it was stopped, as the real router does.
const acceptAfterStop = 1900 * time.Millisecond

// router carries out the actions of one instance of a policy.
type router struct {
	tier        *tier
	index       int
	incarnation int
	policy      hoptiller.Events
	stoppedAt   time.Duration // when it was asked to stop; 0 if it was not
	killed      bool
	lastID      uint32                 // of the requests
	invocations map[uint32]*invocation // by ID
	byTry       map[*model.Try]*invocation
	servers     map[uint32]model.Member // as last listed, by ID
	pools       map[int]*pool           // by server index
	callStats   connlimit.MeanCallDuration
}

// invocation is one request that has no final answer, or that has calls in flight.
type invocation struct {
	id            uint32
	try           *model.Try
	deadline      time.Duration
	calls         []*call
	closed        bool  // it has a final answer, or its client has disconnected
	abandonedConn *conn // on which a call was cancelled that the server may still work on; nil if there is none
}

// call is one call of an invocation.
type call struct {
	model.Call
	inv         *invocation
	sentAt      time.Duration
	conn        *conn // on which it was sent; nil until then
	pending     bool  // it has no outcome yet
	dialing     *conn // the connection that is being opened for it
	serverIndex int   // -1 if the server was never on the router's list
	serverID    uint32
}

// newRouter starts an incarnation of a router. It knows the servers that discovery lists at this time.
func newRouter(t *tier, index, incarnation int) *router {
	r := &router{tier: t, index: index, incarnation: incarnation, invocations: map[uint32]*invocation{},
		byTry: map[*model.Try]*invocation{}, servers: map[uint32]model.Member{}, pools: map[int]*pool{}}
	seed := model.NewRandom(t.day.Seed, "router", index+1000*incarnation).Uint64()
	r.policy = t.policy(r.now(), Settings(t.day, index), seed, r)
	t.World.Discovery.Register(index, t.World.Discovery.Version(), func(u model.ListUpdate) {
		if !r.killed {
			r.handleUpdate(u)
		}
	})
	known := model.ListUpdate{Complete: true, Members: t.World.Discovery.Members()}
	r.applyList(known, hoptiller.ListCached)
	return r
}

// now returns the time on the router's clock.
func (r *router) now() time.Duration { return Epoch + r.tier.World.Now() }

// refusesRequests reports whether the router has been stopped for longer than acceptAfterStop.
func (r *router) refusesRequests(now time.Duration) bool {
	return r.stoppedAt > 0 && now > r.stoppedAt+acceptAfterStop
}

// deliver passes an event to the policy: at once, or at the start of the next round if the day has rounds.
func (r *router) deliver(run func()) {
	round := r.tier.day.EventInterval.Std()
	if round <= 0 {
		run()
		return
	}
	now := r.tier.World.Now()
	at := (now + round - 1) / round * round
	r.tier.World.At(at, func() {
		if !r.killed {
			run()
		}
	})
}

// trace adds a line to the trace if this request is the one to be traced.
func (r *router) trace(id uint32, format string, args ...any) {
	if s := r.tier.opt.Trace; s != nil && s.Router == r.index && s.Request == id {
		r.tier.traceLines = append(r.tier.traceLines, fmt.Sprintf("%12v  ", r.tier.World.Now())+fmt.Sprintf(format, args...))
	}
}

// accept accepts a client's request.
func (r *router) accept(try *model.Try) {
	t := r.tier
	now := t.World.Now()
	r.lastID++
	inv := &invocation{id: r.lastID, try: try, deadline: try.SentAt + try.Remaining}
	r.invocations[inv.id], r.byTry[try] = inv, inv
	t.Scorer.RequestTaken(t.World.Now())
	t.Checker.RequestTaken(now, r.index, inv.id, try.Op.Class, inv.deadline)
	r.trace(inv.id, "request taken: %s, key %016x, client request %d, try %d, %v left", t.day.Classes[try.Op.Class].Name,
		try.Op.Key, try.Op.ID, try.Number, inv.deadline-now)
	r.deliver(func() {
		if inv.closed {
			return
		}
		r.policy.Request(r.now(), hoptiller.Request{ID: inv.id, Class: try.Op.Class, Tenant: try.Op.Tenant, Key: try.Op.Key,
			Write: try.Op.Write, Remaining: max(inv.deadline-t.World.Now(), 0)})
	})
}

// clientLeft handles a client that has stopped waiting for its answer.
func (r *router) clientLeft(try *model.Try) {
	inv := r.byTry[try]
	if inv == nil || inv.closed {
		return
	}
	if now := r.tier.World.Now(); now >= inv.deadline {
		// The client waited until the deadline. The router may still answer within the grace time, and violates an
		// invariant if it does not.
		r.tier.World.At(inv.deadline+r.tier.day.Invariants.Grace.Std()+1, func() {
			if !r.killed && !inv.closed {
				r.disconnectClient(inv)
			}
		})
		return
	}
	r.tier.Checker.ClientDisconnected(r.index, inv.id)
	r.disconnectClient(inv)
}

// disconnectClient closes a request whose client has disconnected and notifies the policy.
func (r *router) disconnectClient(inv *invocation) {
	r.trace(inv.id, "the client has gone")
	r.closeInvocation(inv)
	r.deliver(func() { r.policy.ClientDisconnected(r.now(), inv.id) })
}

// giveFinalAnswer sends the final answer of a request to its client.
func (r *router) giveFinalAnswer(inv *invocation, kind hoptiller.StepKind, after time.Duration) {
	r.tier.Checker.FinalAnswer(r.tier.World.Now(), r.index, inv.id, kind)
	final := [...]model.FinalAnswer{hoptiller.StepServed: model.FinalValue, hoptiller.StepReject: model.FinalRefused,
		hoptiller.StepFail: model.FinalFailed}[kind]
	r.trace(inv.id, "final answer: %s", [...]string{"served", "refused", "failed"}[final])
	r.tier.Scorer.FinalAnswer(r.tier.World.Now(), final)
	r.tier.World.Reply(inv.try, final, after)
	r.closeInvocation(inv)
}

// closeInvocation marks a request as answered or its client as disconnected.
func (r *router) closeInvocation(inv *invocation) {
	inv.closed = true
	delete(r.byTry, inv.try)
	r.forgetIfFinished(inv)
}

// forgetIfFinished removes a request that is closed and has no calls in flight.
func (r *router) forgetIfFinished(inv *invocation) {
	if !inv.closed {
		return
	}
	for _, c := range inv.calls {
		if c.pending {
			return
		}
	}
	delete(r.invocations, inv.id)
}

// kill ends the process: the connections of its clients and to its servers are closed.
func (r *router) kill() {
	r.killed = true
	for _, try := range r.unansweredTries() {
		r.tier.World.Reply(try, model.FinalLost, 0)
	}
	for _, p := range r.poolList() {
		for _, c := range p.allConns() {
			c.modelConn.Close()
		}
	}
}

// handleUpdate handles an update of the server list by the discovery service.
func (r *router) handleUpdate(u model.ListUpdate) {
	now := r.tier.World.Now()
	r.tier.Checker.UpdateReceived(now, r.index, u)
	kind := hoptiller.ListDelta
	switch {
	case u.Failed:
		r.deliver(func() { r.policy.UpdateServers(r.now(), hoptiller.ListFailed, nil) })
		return
	case u.Complete:
		kind = hoptiller.ListFull
	}
	r.deliver(func() { r.applyList(u, kind) })
}

// applyList passes a server list to the policy, and closes the connections to servers whose process has restarted.
func (r *router) applyList(u model.ListUpdate, kind hoptiller.ListKind) {
	if kind == hoptiller.ListCached {
		r.tier.Checker.UpdateReceived(r.tier.World.Now(), r.index, u)
	}
	servers := make([]hoptiller.Server, len(u.Members))
	for i, m := range u.Members {
		s := hoptiller.Server{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight}
		switch m.Phase {
		case model.Ready:
			s.Phase = hoptiller.Ready
		case model.Draining:
			s.Phase = hoptiller.Draining
		}
		if m.Started > 0 {
			s.Started = Epoch + m.Started
		}
		servers[i] = s
		if old, known := r.servers[m.ID]; known && m.Phase == model.Ready && old.Started != m.Started {
			r.poolFor(m.ServerIndex).closeAll()
		}
		r.servers[m.ID] = m
	}
	r.policy.UpdateServers(r.now(), kind, servers)
}

// endCall ends a call and passes its outcome to the policy.
func (r *router) endCall(c *call, status hoptiller.Status) {
	if !c.pending {
		return
	}
	c.pending = false
	inv, now := c.inv, r.tier.World.Now()
	r.trace(inv.id, "call %d to server %d ends: %s after %v", c.Attempt, c.serverIndex, scoring.CallResultNames[status], now-c.sentAt)
	r.tier.Checker.CallEnded(now, r.index, inv.id, c.Attempt, status)
	r.tier.Scorer.CallEnded(now, status, now-c.sentAt)
	served := status == hoptiller.OK && !inv.closed
	if served {
		r.giveFinalAnswer(inv, hoptiller.StepServed, 0)
	}
	closed := inv.closed
	r.forgetIfFinished(inv)
	o := hoptiller.Outcome{Request: inv.id, Attempt: c.Attempt, Server: c.serverID, Status: status, Latency: now - c.sentAt,
		Closed: closed}
	r.deliver(func() { r.policy.Outcome(r.now(), o) })
}
