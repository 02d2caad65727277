// Package upstream makes attempts at requests over pooled connections: to the slot caches in the memcache meta
// protocol, and to any other kind of server for which there is a Protocol.
package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/loadreport"
	"hoptiller/internal/relay"
	"hoptiller/internal/valuemem"
)

// Settings are the limits and callbacks of a Pool.
type Settings struct {
	CallsPerConn      int           // calls on each open connection before another one is opened
	MaxConnsPerServer int           // connections to one server, however many calls share them
	MaxConns          int           // connections to all servers; 0: no limit
	MaxCallsPerConn   int           // calls in flight on one connection
	IdleLimit         time.Duration // a connection that has been idle for this long is not used again; 0: no limit
	Cooldown          time.Duration // time after an answer in which no call is sent, because a second answer may arrive
	SurplusTime       time.Duration // time after an answer in which a surplus one can arrive that names no request; 0: there is none
	ConnsPerCore      int           // connections that each core of a server accepts; 0: not stated
	MaxIdle           int           // idle connections to one server that stay open until IdleLimit; surplus ones close sooner
	ConnectTimeout    time.Duration
	ValueMemory       *valuemem.Budget         // memory for values whose length is known only at their end
	LoadReports       *loadreport.Table        // stores the load reports of servers; nil: they are dropped
	Observed          func(id uint32, up bool) // called when a server is found to have no process, or answers again; may be nil
	AttemptSent       func()                   // called for each call that was written completely; may be nil
	CheckRepeated     func()                   // called for each final check that had to be repeated; may be nil
	ConnClosed        func(CloseReason)        // called for each connection that was closed; may be nil
}

// Pool holds the connections to all servers of one kind. It implements relay.Upstream.
type Pool struct {
	settings     Settings
	protocol     Protocol
	ctx          context.Context // done after Close
	cancel       context.CancelFunc
	runningDials sync.WaitGroup // running dials

	mu            sync.Mutex
	servers       map[uint32]*server
	connCount     int                        // connections that are open or being opened
	lastLongValue time.Time                  // when a long value began to arrive last
	callTimes     connlimit.MeanCallDuration // mean duration of calls to all servers
	reapScheduled bool                       // a check for connections that have been idle too long is scheduled
}

// server is a listed server with the connections to it.
type server struct {
	relay.Server
	conns          []*conn       // open connections; the one used last is at the end
	dialing        int           // number of dials that are in progress
	unreachable    bool          // the server was observed to have no process
	nextDial       *dial         // gets the result of the next dial that ends; nil: no call waits for it
	typicalLatency time.Duration // smoothed time from sending a call to its answer
	newestAnswered time.Time     // when the newest call that has been answered was sent
	fastestAnswer  time.Duration // shortest time from sending a call to its answer; 0: no call has been answered
	ready          atomic.Bool   // the server is listed as Ready; can be read without the pool's mu
}

// New returns a Pool that knows no servers.
func New(settings Settings, protocol Protocol) *Pool {
	p := &Pool{settings: settings, protocol: protocol, servers: map[uint32]*server{}}
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
	if moved {
		s.fastestAnswer = 0
	}
	s.Server = entry
	s.ready.Store(entry.Phase == hoptiller.Ready)
	if moved {
		p.closeOutdated(s)
	}
	if entry.Phase != hoptiller.Ready { // idle connections are useless now
		p.closeIdle(s, CloseServerLeaving)
	}
}

// closeOutdated closes the connections to the former process of a server that has moved or restarted, because calls
// that are in flight to a process that no longer exists are never answered. However, discovery lists a restart
// late: a connection may already lead to the new process, and its calls continue. A long value that has begun to reach its
// client is never cut off: if its server no longer exists, the operating system reports that. The caller holds p.mu.
func (p *Pool) closeOutdated(s *server) {
	for _, c := range slices.Clone(s.conns) {
		switch {
		case c.load > 0 && s.mayReachCurrent(c.addr, c.opened):
		case c.stream != nil:
			c.closeWhenUnused = true
		default:
			p.closeReset(c, CloseServerMoved)
		}
	}
}

// mayReachCurrent reports whether a connection that was opened to an address at a given time leads to the process
// that is listed now. It returns true if that cannot be known, which at worst costs the calls in flight.
func (s *server) mayReachCurrent(addr string, opened time.Time) bool {
	return addr == s.Addr && !opened.Before(s.EarliestStart)
}

// Forget implements relay.Upstream.
func (p *Pool) Forget(id uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil && (len(s.conns) > 0 || s.dialing > 0) {
		return false
	}
	delete(p.servers, id)
	if p.settings.LoadReports != nil {
		p.settings.LoadReports.Forget(id)
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

// closeIdle closes the idle connections to a server. The caller holds p.mu.
func (p *Pool) closeIdle(s *server, reason CloseReason) {
	for _, c := range slices.Clone(s.conns) {
		if c.load == 0 {
			p.closeReset(c, reason)
		}
	}
}

// Close closes all connections. Calls in flight end as Reset.
func (p *Pool) Close() {
	defer p.runningDials.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	for _, s := range p.servers {
		for _, c := range slices.Clone(s.conns) {
			p.closeReset(c, CloseShutdown)
		}
	}
}

// Call implements relay.Upstream.
func (p *Pool) Call(sendCtx, ctx context.Context, id uint32, req *relay.Request) relay.Result {
	call := &pendingCall{req: req, result: make(chan relay.Result, 1)}
	var c *conn
	for sent := false; !sent; {
		var status hoptiller.Status
		if c, status = p.acquireConn(sendCtx, id); c == nil {
			return relay.Result{Status: status}
		}
		if sent, status = c.send(sendCtx, ctx, call); status != hoptiller.OK {
			return relay.Result{Status: status}
		}
	}
	var r relay.Result
	select {
	case r = <-call.result:
	case <-ctx.Done():
		var answered bool
		if r, answered = p.abandon(c, call); !answered {
			r.Status = contextStatus(ctx)
			return r
		}
	}
	if b, ok := r.Body.(*streamBody); ok && b.length < 0 {
		return p.bufferBody(ctx, b)
	}
	return r
}
