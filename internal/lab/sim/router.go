package sim

import (
	"fmt"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/tally"
)

// serving is how long a router that was told to stop takes requests, as the real one does.
const serving = 1900 * time.Millisecond

// router carries out what one policy decides.
type router struct {
	t       *tier
	index   int
	life    int
	policy  hoptiller.Events
	stopped time.Duration // when it was told to stop
	dead    bool
	last    uint32
	open    map[uint32]*invocation
	byTry   map[*model.Try]*invocation
	list    map[uint32]model.Member
	pools   map[int]*pool
	calls   connlimit.Calls
}

// invocation is one request that is not closed, or whose calls are still out.
type invocation struct {
	id     uint32
	try    *model.Try
	end    time.Duration
	calls  []*call
	closed bool
	given  *conn // on which a call was given up that the server may still work on
}

// call is one call of an invocation.
type call struct {
	model.Call
	inv     *invocation
	sent    time.Duration
	conn    *conn // once it is written
	open    bool
	dialing *conn
	server  int // by index, -1 if the router's list never named it
	id      uint32
}

func newRouter(t *tier, index, life int) *router {
	r := &router{t: t, index: index, life: life, open: map[uint32]*invocation{}, byTry: map[*model.Try]*invocation{},
		list: map[uint32]model.Member{}, pools: map[int]*pool{}}
	seed := model.Stream(t.day.Seed, "router", index+1000*life).Uint64()
	r.policy = t.policy(r.now(), Settings(t.day, index), seed, r)
	t.World.Directory.Join(index, t.World.Directory.Version(), func(u model.Update) {
		if !r.dead {
			r.told(u)
		}
	})
	known := model.Update{Full: true, Members: t.World.Directory.Present()}
	r.listed(known, hoptiller.ListCached)
	return r
}

func (r *router) now() time.Duration { return Epoch + r.t.World.Now() }

func (r *router) refuses(now time.Duration) bool { return r.stopped > 0 && now > r.stopped+serving }

// event has the policy hear something: at once, or with its next round.
func (r *router) event(run func()) {
	round := r.t.day.Round.D()
	if round <= 0 {
		run()
		return
	}
	now := r.t.World.Now()
	at := (now + round - 1) / round * round
	r.t.World.At(at, func() {
		if !r.dead {
			run()
		}
	})
}

// tell adds to the story that was asked for.
func (r *router) tell(id uint32, format string, args ...any) {
	if s := r.t.opt.Story; s != nil && s.Router == r.index && s.Request == id {
		r.t.story = append(r.t.story, fmt.Sprintf("%12v  ", r.t.World.Now())+fmt.Sprintf(format, args...))
	}
}

// take takes a client's request.
func (r *router) take(try *model.Try) {
	t := r.t
	now := t.World.Now()
	r.last++
	inv := &invocation{id: r.last, try: try, end: try.At + try.Remaining}
	r.open[inv.id], r.byTry[try] = inv, inv
	t.Tally.Taken(t.World.Now())
	t.Check.Taken(now, r.index, inv.id, try.Op.Class, inv.end)
	r.tell(inv.id, "request taken: %s, key %016x, client request %d, try %d, %v left", t.day.Classes[try.Op.Class].Name,
		try.Op.Key, try.Op.ID, try.N, inv.end-now)
	r.event(func() {
		if inv.closed {
			return
		}
		r.policy.Request(r.now(), hoptiller.Request{ID: inv.id, Class: try.Op.Class, Tenant: try.Op.Tenant, Key: try.Op.Key,
			Write: try.Op.Write, Remaining: max(inv.end-t.World.Now(), 0)})
	})
}

// leave takes the end of a client that waits no longer.
func (r *router) leave(try *model.Try) {
	inv := r.byTry[try]
	if inv == nil || inv.closed {
		return
	}
	if now := r.t.World.Now(); now >= inv.end {
		// It has waited to the end. Its router still has the grace to answer, and breaks a rule if it does not.
		r.t.World.At(inv.end+r.t.day.Rules.Grace.D()+1, func() {
			if !r.dead && !inv.closed {
				r.gone(inv)
			}
		})
		return
	}
	r.t.Check.Left(r.index, inv.id)
	r.gone(inv)
}

func (r *router) gone(inv *invocation) {
	r.tell(inv.id, "the client has gone")
	r.close(inv)
	r.event(func() { r.policy.ClientGone(r.now(), inv.id) })
}

// answer gives the final answer.
func (r *router) answer(inv *invocation, kind hoptiller.StepKind, after time.Duration) {
	r.t.Check.Final(r.t.World.Now(), r.index, inv.id, kind)
	final := [...]model.Final{hoptiller.StepServed: model.Value, hoptiller.StepReject: model.Refused, hoptiller.StepFail: model.Failure}[kind]
	r.tell(inv.id, "final answer: %s", [...]string{"served", "refused", "failed"}[final])
	r.t.Tally.Answered(r.t.World.Now(), final)
	r.t.World.Reply(inv.try, final, after)
	r.close(inv)
}

func (r *router) close(inv *invocation) {
	inv.closed = true
	delete(r.byTry, inv.try)
	r.forget(inv)
}

func (r *router) forget(inv *invocation) {
	if !inv.closed {
		return
	}
	for _, c := range inv.calls {
		if c.open {
			return
		}
	}
	delete(r.open, inv.id)
}

// die ends the process: clients and servers see their connections end.
func (r *router) die() {
	r.dead = true
	for _, try := range r.tries() {
		r.t.World.Reply(try, model.Lost, 0)
	}
	for _, p := range r.poolList() {
		for _, c := range p.all() {
			c.c.Close()
		}
	}
}

// told takes what the directory says.
func (r *router) told(u model.Update) {
	now := r.t.World.Now()
	r.t.Check.Told(now, r.index, u)
	kind := hoptiller.ListDelta
	switch {
	case u.Failed:
		r.event(func() { r.policy.List(r.now(), hoptiller.ListFailed, nil) })
		return
	case u.Full:
		kind = hoptiller.ListFull
	}
	r.event(func() { r.listed(u, kind) })
}

func (r *router) listed(u model.Update, kind hoptiller.ListKind) {
	if kind == hoptiller.ListCached {
		r.t.Check.Told(r.t.World.Now(), r.index, u)
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
		if old, known := r.list[m.ID]; known && m.Phase == model.Ready && old.Started != m.Started {
			r.pool(m.Index).moved()
		}
		r.list[m.ID] = m
	}
	r.policy.List(r.now(), kind, servers)
}

// outcome ends a call and tells the policy.
func (r *router) outcome(c *call, status hoptiller.Status) {
	if !c.open {
		return
	}
	c.open = false
	inv, now := c.inv, r.t.World.Now()
	r.tell(inv.id, "call %d to server %d ends: %s after %v", c.Attempt, c.server, tally.StatusNames[status], now-c.sent)
	r.t.Check.Ended(now, r.index, inv.id, c.Attempt, status)
	r.t.Tally.Closed(now, status, now-c.sent)
	served := status == hoptiller.OK && !inv.closed
	if served {
		r.answer(inv, hoptiller.StepServed, 0)
	}
	closed := inv.closed
	r.forget(inv)
	o := hoptiller.Outcome{Request: inv.id, Attempt: c.Attempt, Server: c.id, Status: status, Latency: now - c.sent,
		Closed: closed}
	r.event(func() { r.policy.Outcome(r.now(), o) })
}
