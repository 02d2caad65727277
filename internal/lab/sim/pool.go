package sim

import (
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/lab/model"
)

// pool holds a router's connections to one server. It works like the pool of the real router: a call takes an idle
// connection first, then one that few calls share, then a new one.
type pool struct {
	router  *router
	server  int     // index
	conns   []*conn // open; the most recently used is last
	dialing []*conn // being opened
}

// conn is the router's side of one connection.
type conn struct {
	pool      *pool
	modelConn *model.Conn
	calls     []*call // waiting for their answers, in order
	dialedFor *call   // the call for which the connection is being opened
	closing   bool    // a call on it was cancelled or timed out; it is closed when the other calls have their answers
	closed    bool
	idleSince time.Duration
}

// poolFor returns the pool of a server, and creates it if needed.
func (r *router) poolFor(server int) *pool {
	p := r.pools[server]
	if p == nil {
		p = &pool{router: r, server: server}
		r.pools[server] = p
	}
	return p
}

// poolList returns the pools in the order of their servers.
func (r *router) poolList() (list []*pool) {
	for _, p := range r.pools {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pool) int { return a.server - b.server })
	return list
}

// allConns returns the open connections and those that are being opened.
func (p *pool) allConns() []*conn { return slices.Concat(p.conns, p.dialing) }

// connLimits returns the number of calls that share a connection before another one is opened, and the maximum number of
// connections.
func (p *pool) connLimits() (share, maxConns int) {
	day := p.router.tier.day
	if p.server == 0 {
		return 1, day.Origin.Conns
	}
	return day.Fleet.CallsPerConn, day.Fleet.MaxConnsPerRouter
}

// assign finds a connection for a call and sends the call on it, or opens one. If the pool is full and has no usable
// connection, the call fails.
func (p *pool) assign(c *call) {
	share, maxConns := p.connLimits()
	now, world := p.router.tier.World.Now(), p.router.tier.World
	idle := p.router.tier.day.Fleet.IdleTimeout.Std() * 3 / 4
	for i := len(p.conns) - 1; i >= 0; i-- {
		if cn := p.conns[i]; len(cn.calls) == 0 && !cn.closing {
			if now-cn.idleSince >= idle {
				p.router.closeConn(cn, hoptiller.Reset)
				continue
			}
			p.conns = append(slices.Delete(p.conns, i, i+1), cn)
			cn.send(c)
			return
		}
	}
	var best *conn
	for _, cn := range p.conns {
		if !cn.closing && (best == nil || len(cn.calls) < len(best.calls)) {
			best = cn
		}
	}
	full := len(p.conns)+len(p.dialing) >= maxConns
	switch {
	case best != nil && (full || len(best.calls) < share):
		best.send(c)
	case full:
		world.After(0, func() { p.router.endCall(c, hoptiller.ConnectFailed) })
	default:
		cn := &conn{pool: p, dialedFor: c}
		c.dialing = cn
		p.dialing = append(p.dialing, cn)
		cn.modelConn = world.Dial(p.router.index, p.server, cn)
		world.After(p.router.tier.day.Fleet.ConnectTimeout.Std(), func() {
			if slices.Contains(p.dialing, cn) && !p.router.killed {
				cn.modelConn.Close()
				cn.Refused(cn.modelConn)
			}
		})
	}
}

// send sends a call on the connection.
func (cn *conn) send(c *call) {
	c.conn = cn
	cn.calls = append(cn.calls, c)
	cn.modelConn.Send(&c.Call)
}

// Opened implements model.ConnHandler.
func (cn *conn) Opened(*model.Conn) {
	p := cn.pool
	if p.router.killed {
		return
	}
	p.dialing = slices.DeleteFunc(p.dialing, func(o *conn) bool { return o == cn })
	p.conns = append(p.conns, cn)
	c := cn.dialedFor
	cn.dialedFor, c.dialing, cn.idleSince = nil, nil, p.router.tier.World.Now()
	if c.pending {
		cn.send(c)
	}
}

// Refused implements model.ConnHandler.
func (cn *conn) Refused(*model.Conn) {
	p := cn.pool
	if p.router.killed {
		return
	}
	p.dialing = slices.DeleteFunc(p.dialing, func(o *conn) bool { return o == cn })
	p.router.endCall(cn.dialedFor, hoptiller.ConnectFailed)
}

// Answered implements model.ConnHandler.
func (cn *conn) Answered(answered *model.Call, a model.CallResult) {
	r := cn.pool.router
	if r.killed || cn.closed || len(cn.calls) == 0 {
		return
	}
	c := cn.calls[0] // answers come in order
	cn.calls = cn.calls[1:]
	r.callStats.Add(r.tier.World.Now() - c.sentAt)
	if len(cn.calls) == 0 {
		cn.scheduleIdleClose()
	}
	if cn.closing && !cn.hasPendingCall() {
		r.closeConn(cn, hoptiller.Cancelled)
	}
	r.endCall(c, [...]hoptiller.Status{model.ResultServed: hoptiller.OK, model.ResultMissed: hoptiller.Miss,
		model.ResultFailed: hoptiller.ServerError, model.ResultBusy: hoptiller.TurnedAway, model.ResultStale: hoptiller.TurnedAway}[a])
}

// scheduleIdleClose has a connection closed once it has been idle for long enough. It stays open if it is used again,
// or if the pool has no more connections than the caches' tables have slots for.
func (cn *conn) scheduleIdleClose() {
	p, world := cn.pool, cn.pool.router.tier.World
	now := world.Now()
	cn.idleSince = now
	day := p.router.tier.day
	maxIdle := connlimit.MaxIdle(day.Routers, 0)
	if !day.Fleet.CloseIdleEarly || p.server == 0 || len(p.conns) <= maxIdle {
		return
	}
	world.After(max(p.router.callStats.IdleTimeout(0), day.Fleet.ConnectTimeout.Std()), func() {
		if !p.router.killed && !cn.closed && len(cn.calls) == 0 && cn.idleSince == now && len(p.conns) > maxIdle {
			p.router.closeConn(cn, hoptiller.Cancelled)
		}
	})
}

// Closed implements model.ConnHandler.
func (cn *conn) Closed(*model.Conn) {
	if cn.pool.router.killed || cn.closed {
		return
	}
	if cn.dialedFor != nil { // it was lost while it was being opened
		cn.Refused(cn.modelConn)
		return
	}
	cn.pool.router.closeConn(cn, hoptiller.Reset)
}

// hasPendingCall reports whether a call that was not cancelled waits for an answer on the connection.
func (cn *conn) hasPendingCall() bool {
	return slices.ContainsFunc(cn.calls, func(c *call) bool { return c.pending })
}

// closeConn closes a connection and ends the calls on it with a status.
func (r *router) closeConn(cn *conn, status hoptiller.Status) {
	if cn.closed {
		return
	}
	cn.closed = true
	cn.modelConn.Close()
	cn.pool.conns = slices.DeleteFunc(cn.pool.conns, func(o *conn) bool { return o == cn })
	calls := cn.calls
	cn.calls = nil
	for _, c := range calls {
		r.endCall(c, status)
	}
}

// abandon stops waiting for the answer to a call that was cancelled or has timed out.
// The server notices only when the connection is closed, which is at once unless other calls wait on it.
func (r *router) abandon(c *call) {
	if d := c.dialing; d != nil { // the connection is not closed: other calls can use it once it is open
		return
	}
	cn := c.conn
	if cn == nil || cn.closed {
		return
	}
	cn.closing = true
	others := slices.ContainsFunc(cn.calls, func(o *call) bool { return o.pending && o != c })
	if others {
		c.inv.abandonedConn = cn
		return
	}
	cn.calls = slices.DeleteFunc(cn.calls, func(o *call) bool { return o == c })
	r.closeConn(cn, hoptiller.Cancelled)
}

// closeIdle closes the connections that no call waits on.
func (p *pool) closeIdle() {
	for _, cn := range slices.Clone(p.conns) {
		if len(cn.calls) == 0 {
			p.router.closeConn(cn, hoptiller.Cancelled)
		}
	}
}

// closeAll closes all connections because another process has replaced the server's process.
func (p *pool) closeAll() {
	for _, cn := range slices.Clone(p.conns) {
		p.router.closeConn(cn, hoptiller.Reset)
	}
}
