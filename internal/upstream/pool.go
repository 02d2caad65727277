// Package upstream makes attempts at requests over pooled connections: to the slot
// caches in the memcache meta protocol, and to any other server for which
// there is a Protocol.
package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/loadreport"
	"hoptiller/internal/relay"
)

// Settings bound a pool.
type Settings struct {
	Share          int           // calls on each open connection before another one is opened
	MostConns      int           // connections to a server, however many calls share them
	MostTotal      int           // connections to all servers; 0: no limit
	MostCalls      int           // calls out on one connection at once
	IdleLimit      time.Duration // connections without use for so long are not used again; 0: no limit
	Rest           time.Duration // after an answer, in which a connection gets no call: a second one may come
	Places         int           // connections that each core of a server accepts; 0: not stated
	Kept           int           // idle connections to a server that stay till then; more are closed sooner
	ConnectTimeout time.Duration
	Room           *semaphore.Weighted      // bytes of values whose length shows at their end
	Reports        *loadreport.Table        // keeps what servers tell of their load; nil: nothing does
	Seen           func(id uint32, up bool) // told of a server that has no process, and that answers again; nil: nobody is
	Called         func()                   // told of each call that was written whole; nil: nobody is
	LookedAgain    func()                   // told of each last look at a call that had to be made again; nil: nobody is
	Closed         func(CloseReason)        // told of each connection that was closed; nil: nobody is
}

// Pool has the connections to all servers of a kind. It is a relay.Upstream.
type Pool struct {
	set    Settings
	proto  Protocol
	ctx    context.Context // until Close
	cancel context.CancelFunc
	dials  sync.WaitGroup // those that run

	mu      sync.Mutex
	servers map[uint32]*server
	total   int             // connections that are open or being opened
	longAt  time.Time       // when a long value came last
	calls   connlimit.Calls // to any server
	reaping bool            // a look for connections that have been idle too long is due
}

type server struct {
	relay.Server
	conns       []*conn // all that are open, those used last at the end
	dialing     int
	unreachable bool          // it has no process, as far as is seen
	next        *dial         // how the next of those ends; nil: nobody waits for that
	typical     time.Duration // smoothed time from a call to its answer
	passed      time.Time     // when the latest call that has an answer was sent
	ready       atomic.Bool   // it may get calls, as the list has it: for those who must not wait for the pool's mu
}

// New returns a Pool without servers.
func New(set Settings, proto Protocol) *Pool {
	p := &Pool{set: set, proto: proto, servers: map[uint32]*server{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Update implements relay.Upstream.
func (p *Pool) Update(entry relay.Server, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[entry.ID]
	if s == nil {
		s = &server{}
		p.servers[entry.ID] = s
	}
	s.Server = entry
	s.ready.Store(entry.Phase == hoptiller.Ready)
	if moved {
		p.leaveFormer(s)
	}
	if entry.Phase != hoptiller.Ready { // idle connections have no use any more
		p.closeIdle(s, CloseServerLeaving)
	}
}

// leaveFormer ends the connections to a server that runs elsewhere or anew, since what is out at a process that is no more will never be
// answered. But news of a start come late: a connection may lead to the new process already, and what is out on it goes on. A long value
// that has begun towards its client is never cut off: if its server is no more, the system says so. p.mu is held.
func (p *Pool) leaveFormer(s *server) {
	for _, c := range slices.Clone(s.conns) {
		switch {
		case c.load > 0 && s.reachedBy(c.addr, c.opened):
		case c.body != nil:
			c.ending = true
		default:
			p.drop(c, CloseServerMoved)
		}
	}
}

// reachedBy tells whether a connection that came up to an address at a time leads to the process that is listed now. Where that can't be
// known it does, which costs no more than the calls that are out.
func (s *server) reachedBy(addr string, opened time.Time) bool {
	return addr == s.Addr && !opened.Before(s.Since)
}

// Forget implements relay.Upstream.
func (p *Pool) Forget(id uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil && (len(s.conns) > 0 || s.dialing > 0) {
		return false
	}
	delete(p.servers, id)
	if p.set.Reports != nil {
		p.set.Reports.Forget(id)
	}
	return true
}

// CloseIdle implements relay.Upstream.
func (p *Pool) CloseIdle(id uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		p.closeIdle(s, CloseIdleSuspect)
	}
}

func (p *Pool) closeIdle(s *server, reason CloseReason) {
	for _, c := range slices.Clone(s.conns) {
		if c.load == 0 {
			p.drop(c, reason)
		}
	}
}

// Close closes all connections; calls that are out end as resets.
func (p *Pool) Close() {
	defer p.dials.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	for _, s := range p.servers {
		for _, c := range slices.Clone(s.conns) {
			p.drop(c, CloseShutdown)
		}
	}
}

// Call implements relay.Upstream.
func (p *Pool) Call(begin, ctx context.Context, id uint32, req *relay.Request) relay.Result {
	out := &call{req: req, done: make(chan relay.Result, 1)}
	var c *conn
	for sent := false; !sent; {
		var status hoptiller.Status
		if c, status = p.connect(begin, id); c == nil {
			return relay.Result{Status: status}
		}
		if sent, status = c.send(begin, ctx, out); status != hoptiller.OK {
			return relay.Result{Status: status}
		}
	}
	var r relay.Result
	select {
	case r = <-out.done:
	case <-ctx.Done():
		var answered bool
		if r, answered = p.abandon(c, out); !answered {
			r.Status = ended(ctx)
			return r
		}
	}
	if b, ok := r.Body.(*body); ok && b.length < 0 {
		return p.gather(ctx, b)
	}
	return r
}
