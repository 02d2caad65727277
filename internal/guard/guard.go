// Package guard stands between a front and the relay and applies an operator's
// plan: it looks up what an invocation gets, has package admit decide whether it
// comes in, lets it wait for a bounded time where that is set, and passes it on with
// what the plan forbids.
//
// It decides nothing itself, and knows no protocol.
package guard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hoptiller"
	"hoptiller/internal/admit"
	"hoptiller/internal/limit"
	"hoptiller/internal/meta"
	"hoptiller/internal/plan"
	"hoptiller/internal/relay"
)

// Server carries an invocation to its final answer.
type Server interface {
	Serve(ctx context.Context, inv *relay.Request) relay.Answer
}

// Listener hears of servers.
type Listener interface {
	Told(kind hoptiller.ListKind, servers []relay.Server)
	Knows(id uint32) bool
}

// Guard is a Server and a Listener before another one.
type Guard struct {
	server   Server
	listener Listener
	control  *admit.Control
	start    time.Time
	met      func(limit string) // told of each refusal by a limit

	last   atomic.Uint64
	listed map[uint32]relay.Server // the directory's calls come one at a time

	mu      sync.Mutex
	waiting map[uint64]chan admit.Turn
}

// New returns a Guard for a plan. met is told of each refusal, by the limit's name;
// it must not block.
func New(server Server, listener Listener, p *plan.Plan, met func(limit string)) *Guard {
	g := &Guard{server: server, listener: listener, control: admit.New(p), start: time.Now(), met: met,
		listed: map[uint32]relay.Server{}, waiting: map[uint64]chan admit.Turn{}}
	return g
}

// Adopt puts another plan in the place of the one that holds. Invocations that have
// begun end as they began.
func (g *Guard) Adopt(p *plan.Plan) { g.control.Adopt(p) }

// Counts tells how many invocations with limits are in, and how many wait.
func (g *Guard) Counts() (in, waiting int) { return g.control.Counts() }

// Serve carries an invocation to its final answer, which may be that a limit is met.
func (g *Guard) Serve(ctx context.Context, inv *relay.Request) relay.Answer {
	tenant, _ := meta.Fact(inv.Facts, "customer")
	b := g.control.Find(inv.Class, inv.Key, tenant, inv.Client)
	if inv.Narrow = b.Narrowing(); b.Free() {
		return g.server.Serve(ctx, inv)
	}
	id := g.last.Add(1)
	asked := time.Since(g.start)
	g.mu.Lock() // who may be named must be known to be waiting
	turn, others := g.control.Ask(asked, id, b)
	var wait chan admit.Turn
	if turn.Verdict == limit.Wait {
		wait = make(chan admit.Turn, 2)
		g.waiting[id] = wait
	}
	g.mu.Unlock()
	g.pass(others)
	for turn.Verdict == limit.Wait {
		turn = g.wait(ctx, id, turn, wait)
	}
	if wait != nil {
		g.mu.Lock()
		delete(g.waiting, id)
		g.mu.Unlock()
	}
	if turn.Verdict == limit.No {
		g.met(turn.Limit)
		return relay.Answer{Kind: hoptiller.StepReject, RetryAfter: turn.After}
	}
	answer := g.server.Serve(ctx, inv)
	done, how := time.Since(g.start), limit.Well
	switch {
	case ctx.Err() != nil || answer.Kind == hoptiller.StepReject:
		how = limit.Unknown // the module's own shedding is no sign of what the fleet can do
	case answer.Kind == hoptiller.StepFail || b.Late(done-asked):
		how = limit.Badly
	}
	g.pass(g.control.Done(done, id, how))
	return answer
}

// wait waits for the next turn of one that is in a queue, until its time there is up or its client has left.
func (g *Guard) wait(ctx context.Context, id uint64, turn admit.Turn, named chan admit.Turn) admit.Turn {
	timer := time.NewTimer(turn.Until - time.Since(g.start))
	defer timer.Stop()
	select {
	case turn = <-named:
		return turn
	case <-timer.C:
	case <-ctx.Done():
	}
	waited, turn, others := g.control.Leave(time.Since(g.start), id)
	if !waited {
		return <-named // it has been named just now
	}
	g.pass(others)
	return turn
}

// pass tells those that wait of their turns.
func (g *Guard) pass(turns []admit.Turn) {
	for _, t := range turns {
		g.mu.Lock()
		c := g.waiting[t.ID]
		g.mu.Unlock()
		if c != nil { // has room; one may hear that it is in before it hears that it is to wait on
			c <- t
		}
	}
}

// Told takes what the directory says. Pools know of a server before the module does.
func (g *Guard) Told(kind hoptiller.ListKind, servers []relay.Server) {
	if kind != hoptiller.ListFailed {
		if kind == hoptiller.ListFull || kind == hoptiller.ListCached {
			clear(g.listed)
		}
		for _, s := range servers {
			if g.listed[s.ID] = s; s.Phase == hoptiller.Gone {
				delete(g.listed, s.ID)
			}
		}
		all := make([]admit.Server, 0, len(g.listed))
		for _, s := range g.listed {
			if !s.Origin {
				all = append(all, admit.Server{ID: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Addr: s.Addr, Ready: s.Phase == hoptiller.Ready})
			}
		}
		g.control.Servers(all)
	}
	g.listener.Told(kind, servers)
}

// Knows tells whether anything of a server is still known.
func (g *Guard) Knows(id uint32) bool { return g.listener.Knows(id) }
