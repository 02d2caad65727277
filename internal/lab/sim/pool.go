package sim

import (
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/lab/model"
)

// pool is a router's connections to one server, kept by the same rules as the
// real router's: an idle connection first, then one that few calls share, then a new one.
type pool struct {
	r       *router
	server  int
	conns   []*conn // open, those used last at the end
	dialing []*conn
}

// conn is one connection, from the router's side.
type conn struct {
	p      *pool
	c      *model.Conn
	calls  []*call // that wait for their answer, in order
	first  *call   // for which it is being opened
	ending bool    // some call on it was given up: it ends when the others have their answers
	dead   bool
	idleAt time.Duration
}

func (r *router) pool(server int) *pool {
	p := r.pools[server]
	if p == nil {
		p = &pool{r: r, server: server}
		r.pools[server] = p
	}
	return p
}

// poolList is the pools in a fixed order.
func (r *router) poolList() (list []*pool) {
	for _, p := range r.pools {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pool) int { return a.server - b.server })
	return list
}

func (p *pool) all() []*conn { return slices.Concat(p.conns, p.dialing) }

// limits are the calls that share a connection before another one is opened, and the most connections.
func (p *pool) limits() (share, most int) {
	day := p.r.t.day
	if p.server == 0 {
		return 1, day.Origin.Conns
	}
	return day.Fleet.Share, day.Fleet.MostConns
}

// place finds a connection for a call and writes it.
func (p *pool) place(c *call) {
	share, most := p.limits()
	now, world := p.r.t.World.Now(), p.r.t.World
	idle := p.r.t.day.Fleet.IdleFor.D() * 3 / 4
	for i := len(p.conns) - 1; i >= 0; i-- {
		if v := p.conns[i]; len(v.calls) == 0 && !v.ending {
			if now-v.idleAt >= idle {
				p.r.end(v, hoptiller.Reset)
				continue
			}
			p.conns = append(slices.Delete(p.conns, i, i+1), v)
			v.write(c)
			return
		}
	}
	var best *conn
	for _, v := range p.conns {
		if !v.ending && (best == nil || len(v.calls) < len(best.calls)) {
			best = v
		}
	}
	full := len(p.conns)+len(p.dialing) >= most
	switch {
	case best != nil && (full || len(best.calls) < share):
		best.write(c)
	case full:
		world.After(0, func() { p.r.outcome(c, hoptiller.ConnectFailed) })
	default:
		v := &conn{p: p, first: c}
		c.dialing = v
		p.dialing = append(p.dialing, v)
		v.c = world.Dial(p.r.index, p.server, v)
		world.After(p.r.t.day.Fleet.ConnectFor.D(), func() {
			if slices.Contains(p.dialing, v) && !p.r.dead {
				v.c.Close()
				v.Refused(v.c)
			}
		})
	}
}

func (v *conn) write(c *call) {
	c.conn = v
	v.calls = append(v.calls, c)
	v.c.Send(&c.Call)
}

// Opened implements model.Holder.
func (v *conn) Opened(*model.Conn) {
	p := v.p
	if p.r.dead {
		return
	}
	p.dialing = slices.DeleteFunc(p.dialing, func(o *conn) bool { return o == v })
	p.conns = append(p.conns, v)
	c := v.first
	v.first, c.dialing, v.idleAt = nil, nil, p.r.t.World.Now()
	if c.open {
		v.write(c)
	}
}

// Refused implements model.Holder.
func (v *conn) Refused(*model.Conn) {
	p := v.p
	if p.r.dead {
		return
	}
	p.dialing = slices.DeleteFunc(p.dialing, func(o *conn) bool { return o == v })
	p.r.outcome(v.first, hoptiller.ConnectFailed)
}

// Answered implements model.Holder.
func (v *conn) Answered(answered *model.Call, a model.Answer) {
	r := v.p.r
	if r.dead || v.dead || len(v.calls) == 0 {
		return
	}
	c := v.calls[0] // answers come in order
	v.calls = v.calls[1:]
	r.calls.Ended(r.t.World.Now() - c.sent)
	if len(v.calls) == 0 {
		v.idle()
	}
	if v.ending && !v.wanted() {
		r.end(v, hoptiller.Cancelled)
	}
	r.outcome(c, [...]hoptiller.Status{model.Served: hoptiller.OK, model.Missed: hoptiller.Miss,
		model.Failed: hoptiller.ServerError, model.Busy: hoptiller.Full, model.Stale: hoptiller.Full}[a])
}

// idle has a connection closed in time, unless it is used again or the caches' tables hold it.
func (v *conn) idle() {
	p, world := v.p, v.p.r.t.World
	now := world.Now()
	v.idleAt = now
	day := p.r.t.day
	kept := connlimit.Kept(day.Routers, 0)
	if !day.Fleet.Reap || p.server == 0 || len(p.conns) <= kept {
		return
	}
	world.After(max(p.r.calls.Idle(0), day.Fleet.ConnectFor.D()), func() {
		if !p.r.dead && !v.dead && len(v.calls) == 0 && v.idleAt == now && len(p.conns) > kept {
			p.r.end(v, hoptiller.Cancelled)
		}
	})
}

// Lost implements model.Holder.
func (v *conn) Lost(*model.Conn) {
	if v.p.r.dead || v.dead {
		return
	}
	if v.first != nil { // it went while it was being opened
		v.Refused(v.c)
		return
	}
	v.p.r.end(v, hoptiller.Reset)
}

// wanted tells whether anyone waits for an answer on it.
func (v *conn) wanted() bool {
	return slices.ContainsFunc(v.calls, func(c *call) bool { return c.open })
}

// end ends a connection; the calls on it end with a status.
func (r *router) end(v *conn, status hoptiller.Status) {
	if v.dead {
		return
	}
	v.dead = true
	v.c.Close()
	v.p.conns = slices.DeleteFunc(v.p.conns, func(o *conn) bool { return o == v })
	calls := v.calls
	v.calls = nil
	for _, c := range calls {
		r.outcome(c, status)
	}
}

// give has a call waited for no longer. Only the end of its connection tells the server.
func (r *router) give(c *call) {
	if d := c.dialing; d != nil { // the connection comes up all the same
		return
	}
	v := c.conn
	if v == nil || v.dead {
		return
	}
	v.ending = true
	others := slices.ContainsFunc(v.calls, func(o *call) bool { return o.open && o != c })
	if others {
		c.inv.given = v
		return
	}
	v.calls = slices.DeleteFunc(v.calls, func(o *call) bool { return o == c })
	r.end(v, hoptiller.Cancelled)
}

func (p *pool) closeIdle() {
	for _, v := range slices.Clone(p.conns) {
		if len(v.calls) == 0 {
			p.r.end(v, hoptiller.Cancelled)
		}
	}
}

// moved ends all connections to a process that is no more.
func (p *pool) moved() {
	for _, v := range slices.Clone(p.conns) {
		p.r.end(v, hoptiller.Reset)
	}
}
