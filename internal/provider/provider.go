// Package provider makes invoker calls over pooled connections: to the slot
// caches in the memcache meta protocol, and to any other server for which
// there is a Protocol.
package provider

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

// Protocol is how a kind of server is spoken to.
type Protocol interface {
	// Append writes the call of an invocation; wait is how long the router will wait.
	Append(b []byte, inv *relay.Invocation, host string, wait time.Duration) []byte
	// Parse reads the answer to the call of inv at the start of b. n is 0 if it is not whole yet.
	// Unless keep is set, the connection can't be used after it.
	Parse(b []byte, inv *relay.Invocation) (status hoptiller.Status, data []byte, n int, keep bool, err error)
}

// goesOnWithin is how long an answer that has begun may stop before its end.
const goesOnWithin = 150 * time.Millisecond

// A connection whose first call has waited for overdue typical times, and for overdueLeast, gets no more
// calls while there is another way: it may have fallen silent, and whatever is behind that call waits too.
const (
	overdue      = 8
	overdueLeast = 20 * time.Millisecond
	overdueMost  = 2 // connections that may be so before it takes a later call's answer to tell them from a slow server
)

// Settings bound a pool.
type Settings struct {
	Share          int           // calls on each open connection before another one is opened
	MostConns      int           // connections to a server, however many calls share them
	MostTotal      int           // connections to all servers; 0: no limit
	MostCalls      int           // calls out on one connection at once
	IdleLimit      time.Duration // connections without use for so long are not used again; 0: no limit
	ConnectTimeout time.Duration
	Called         func() // told of each call that was written whole; nil: nobody is
}

// Pool has the connections to all servers of a kind. It is a relay.Caller.
type Pool struct {
	set   Settings
	proto Protocol

	mu      sync.Mutex
	servers map[uint32]*server
	total   int // connections that are open or being opened
}

type server struct {
	relay.Server
	conns   []*conn // all that are open, those used last at the end
	dialing int
	typical time.Duration // smoothed time from a call to its answer
	passed  time.Time     // when the latest call that has an answer was sent
}

// conn is one connection. Its calls are answered in order.
type conn struct {
	net.Conn
	pool   *Pool
	server *server
	idleAt time.Time

	write sync.Mutex // held while a call is queued and written

	// Guarded by pool.mu.
	load   int     // calls that are on it or about to be
	calls  []*call // those that wait for their answer
	ending bool    // some call on it was given up: it ends when the others have their answers
	dead   bool
}

// call is one call that waits for its answer.
type call struct {
	inv     *relay.Invocation
	sent    time.Time
	done    chan relay.Result // has room for the one result
	givenUp bool
}

// New returns a Pool without servers.
func New(set Settings, proto Protocol) *Pool {
	return &Pool{set: set, proto: proto, servers: map[uint32]*server{}}
}

// Update implements relay.Caller.
func (p *Pool) Update(entry relay.Server, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[entry.ID]
	if s == nil {
		s = &server{}
		p.servers[entry.ID] = s
	}
	s.Server = entry
	if moved { // what is out on connections to a process that is no more will never be answered
		for _, c := range slices.Clone(s.conns) {
			p.drop(c)
		}
	}
	if entry.Phase != hoptiller.Ready { // idle connections have no use any more
		p.closeIdle(s)
	}
}

// Forget implements relay.Caller.
func (p *Pool) Forget(id uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil && (len(s.conns) > 0 || s.dialing > 0) {
		return false
	}
	delete(p.servers, id)
	return true
}

// CloseIdle implements relay.Caller.
func (p *Pool) CloseIdle(id uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		p.closeIdle(s)
	}
}

func (p *Pool) closeIdle(s *server) {
	for _, c := range slices.Clone(s.conns) {
		if c.load == 0 {
			p.drop(c)
		}
	}
}

// Close closes all connections; calls that are out end as resets.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		for _, c := range slices.Clone(s.conns) {
			p.drop(c)
		}
	}
}

// drop closes a connection whose other side has ended or broken it: what is out on it is reset.
// p.mu is held.
func (p *Pool) drop(c *conn) { p.end(c, hoptiller.Reset) }

// end closes a connection; what is out on it ends with a status. p.mu is held.
func (p *Pool) end(c *conn, status hoptiller.Status) {
	if c.dead {
		return
	}
	c.dead = true
	c.Close()
	p.total--
	s := c.server
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	for _, out := range c.calls {
		out.done <- relay.Result{Status: status}
	}
	c.calls = nil
}

// spoilt ends a connection on which something has come that can't be read. The server did answer the
// first call, which may have run. Those behind it end by this router's choice and no fault of theirs.
// p.mu is held.
func (p *Pool) spoilt(c *conn) {
	calls := c.calls
	if len(calls) > 0 {
		c.calls = calls[1:]
	}
	p.end(c, hoptiller.Cancelled) // first: as long as it is open, a call on it counts as out
	if len(calls) > 0 {
		calls[0].done <- relay.Result{Status: hoptiller.ServerError}
	}
}

// Call implements relay.Caller.
func (p *Pool) Call(ctx context.Context, id uint32, inv *relay.Invocation) relay.Result {
	out := &call{inv: inv, done: make(chan relay.Result, 1)}
	var c *conn
	for sent := false; !sent; {
		var status hoptiller.Status
		if c, status = p.connect(ctx, id); c == nil {
			return relay.Result{Status: status}
		}
		if sent, status = c.send(ctx, out); status != hoptiller.OK {
			return relay.Result{Status: status}
		}
	}
	select {
	case r := <-out.done:
		return r
	case <-ctx.Done():
	}
	r, ended := p.give(c, out)
	switch {
	case ended:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Status = hoptiller.Timeout
	default:
		r.Status = hoptiller.Cancelled
	}
	return r
}

// give gives a call up, unless its answer has come meanwhile. Only the end of its connection tells the
// server, and that ends all calls on it; so where there are others, the connection only takes no more
// calls, and ends with the last of them. A router that wants to call again must not wait for that: until
// then the call counts as still out.
func (p *Pool) give(c *conn, out *call) (r relay.Result, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case r = <-out.done:
		return r, true
	default:
	}
	// Its answer may still come, when the invocation's buffer has gone back to the pool.
	inv := *out.inv
	inv.ID = bytes.Clone(inv.ID)
	out.inv, out.givenUp = &inv, true
	c.ending = true
	if c.dropIfUnused(); c.dead {
		return r, false
	}
	r.End = func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.end(c, hoptiller.Cancelled) // the neighbours too, by no fault of the server's
	}
	return r, false
}

// dropIfUnused ends a connection that is to end once nobody waits for anything on it. p.mu is held.
func (c *conn) dropIfUnused() {
	for _, out := range c.calls {
		if !out.givenUp {
			return
		}
	}
	if c.ending || c.server.Phase != hoptiller.Ready {
		c.pool.drop(c)
	}
}

// connect finds a connection for a call and counts the call as on it: one that is idle, else the
// one with the fewest calls, else a new one. A new one costs the server as much work as a good part of a
// call does, and its first call two round trips, which is more than a short wait behind another call.
// Without a connection it tells why.
func (p *Pool) connect(ctx context.Context, id uint32) (*conn, hoptiller.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.Phase != hoptiller.Ready {
		return nil, hoptiller.Moot
	}
	c := p.idle(s)
	full := len(s.conns)+s.dialing >= p.set.MostConns
	if c == nil && !full && p.set.MostTotal > 0 && p.total >= p.set.MostTotal {
		full = !p.makeRoom()
	}
	if c == nil {
		c = s.leastBusy(time.Now(), full)
	}
	switch {
	case full && (c == nil || c.load >= p.set.MostCalls):
		return nil, hoptiller.ConnectFailed
	case !full && (c == nil || c.load >= p.set.Share):
		nc, reader, err := p.dial(ctx, s)
		if err != nil {
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil, hoptiller.Moot
			}
			return nil, hoptiller.ConnectFailed
		}
		c = &conn{Conn: nc, pool: p, server: s}
		s.conns = append(s.conns, c)
		go c.read(reader)
	}
	c.load++
	return c, hoptiller.OK
}

// errMoved tells that the server has started anew while a connection to it came up.
var errMoved = errors.New("server has moved")

// makeRoom closes the connection that has been idle longest, of any server. p.mu is held.
func (p *Pool) makeRoom() bool {
	var oldest *conn
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.load == 0 && (oldest == nil || c.idleAt.Before(oldest.idleAt)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.drop(oldest)
	}
	return oldest != nil
}

// dial opens a connection. p.mu is held, but not while it waits.
func (p *Pool) dial(ctx context.Context, s *server) (nc net.Conn, reader *buffer.Reader, err error) {
	addr, started := s.Addr, s.Started
	s.dialing++
	p.total++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.set.ConnectTimeout, KeepAlive: -1}
	if nc, err = dialer.DialContext(ctx, "tcp", addr); err == nil {
		reader, err = buffer.NewReader(nc)
	}
	p.mu.Lock()
	s.dialing--
	if err == nil && (s.Addr != addr || s.Started != started) {
		err = errMoved
	}
	if err != nil {
		p.total--
		if nc != nil {
			nc.Close()
		}
	}
	return nc, reader, err
}

// idle takes the idle connection that was used last; the others then end by and by. Those near the
// server's idle limit are closed, since a call that crosses the server's close is lost as a reset.
func (p *Pool) idle(s *server) *conn {
	for i := len(s.conns) - 1; i >= 0; i-- {
		c := s.conns[i]
		if c.load > 0 {
			continue
		}
		if p.set.IdleLimit > 0 && time.Since(c.idleAt) >= p.set.IdleLimit {
			p.drop(c)
			continue
		}
		copy(s.conns[i:], s.conns[i+1:])
		s.conns[len(s.conns)-1] = c
		return c
	}
	return nil
}

// leastBusy finds the connection with the fewest calls among those that can be expected to answer. Without
// one it is better to open another, unless the whole server may be slow: that would make it slower.
func (s *server) leastBusy(now time.Time, full bool) *conn {
	var best, late *conn
	lates, lost := 0, false
	for _, c := range s.conns {
		switch {
		case c.ending:
		case len(c.calls) > 0 && now.Sub(c.calls[0].sent) > max(overdueLeast, overdue*s.typical):
			lost = lost || s.passed.After(c.calls[0].sent)
			if lates++; late == nil || c.load < late.load {
				late = c
			}
		case best == nil || c.load < best.load:
			best = c
		}
	}
	if best == nil && (full || lates > overdueMost && !lost) {
		return late
	}
	return best
}

// send writes a call, unless the connection has ended or is to end since it was chosen; then another may
// be. If it fails, it tells how: until the last byte is written the server can't have begun the call. The directory may have spoken since the call was picked, and a drain binds when a call
// is sent, so the last look at the list is here.
func (c *conn) send(ctx context.Context, out *call) (sent bool, status hoptiller.Status) {
	c.write.Lock() // calls are queued in the order in which they are written
	defer c.write.Unlock()
	p := c.pool
	p.mu.Lock()
	switch {
	case c.dead || c.ending:
		c.leave()
		p.mu.Unlock()
		return false, hoptiller.OK
	case c.server.Phase != hoptiller.Ready || ctx.Err() != nil:
		c.leave()
		p.mu.Unlock()
		return false, hoptiller.Moot
	}
	out.sent = time.Now()
	c.calls = append(c.calls, out)
	host := c.server.Name
	p.mu.Unlock()

	end, _ := ctx.Deadline()
	buf := buffer.Get()
	defer buffer.Put(buf)
	b := p.proto.Append(buf[:0], out.inv, host, time.Until(end))
	c.SetWriteDeadline(end)
	stop := context.AfterFunc(ctx, func() { c.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.Write(b); err == nil {
		if p.set.Called != nil {
			p.set.Called()
		}
		return true, hoptiller.OK
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls = slices.DeleteFunc(c.calls, func(o *call) bool { return o == out })
	p.drop(c) // half a call is on it
	if errors.Is(ctx.Err(), context.Canceled) {
		return false, hoptiller.Moot
	}
	return false, hoptiller.ConnectFailed
}

// leave takes a call off the connection's count. p.mu is held.
func (c *conn) leave() {
	c.load--
	c.idleAt = time.Now()
	c.dropIfUnused()
}

// read takes the answers on a connection until it ends. An answer that has begun goes on, so one that stops
// is spoilt: to wait on would hold up all calls behind it until their time is up.
func (c *conn) read(r *buffer.Reader) {
	var err error
	for ok := true; ok && err == nil; {
		err = r.Next(func(b []byte) (used int) {
			used, ok = c.answers(b)
			return used
		})
		if r.Unread() > 0 {
			c.SetReadDeadline(time.Now().Add(goesOnWithin))
		} else {
			c.SetReadDeadline(time.Time{})
		}
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrShortBuffer) {
		p.spoilt(c)
	} else {
		p.drop(c)
	}
}

// answers hands out the whole answers in b and tells how many bytes they took up, and whether the
// connection can be read on.
func (c *conn) answers(b []byte) (used int, ok bool) {
	p := c.pool
	p.mu.Lock() // also keeps a call from being given up while its answer is read
	defer p.mu.Unlock()
	for used < len(b) && !c.dead {
		if len(c.calls) == 0 { // an answer that nothing asked for must not reach the next call
			return used, false
		}
		out := c.calls[0]
		status, data, n, keep, err := p.proto.Parse(b[used:], out.inv)
		if err != nil {
			p.spoilt(c)
			return used, false
		}
		if n == 0 {
			return used, true
		}
		r := relay.Result{Status: status}
		if status == hoptiller.OK && !out.givenUp {
			r.Data = bytes.Clone(data)
		}
		used += n
		c.calls = c.calls[1:]
		if s := c.server; out.sent.After(s.passed) {
			s.passed = out.sent
		}
		c.server.typical += (time.Since(out.sent) - c.server.typical) / 16
		if c.leave(); !keep {
			p.drop(c)
		}
		out.done <- r
	}
	return used, !c.dead
}

// Meta is the protocol of the slot caches.
type Meta struct{}

// Append implements Protocol.
func (Meta) Append(b []byte, inv *relay.Invocation, _ string, wait time.Duration) []byte {
	c := meta.Command{Verb: meta.Get, Key: inv.Key, ID: inv.ID, Facts: inv.Facts, Value: inv.Value}
	if inv.Write {
		c.Verb = meta.Set
	}
	return meta.AppendCommand(b, &c, max(1, wait.Milliseconds()))
}

// Parse implements Protocol.
func (Meta) Parse(b []byte, inv *relay.Invocation) (hoptiller.Status, []byte, int, bool, error) {
	a, n, err := meta.ParseAnswer(b, string(inv.ID))
	if err != nil || n == 0 {
		return 0, nil, 0, false, err
	}
	switch a.Kind {
	case meta.Failed:
		return hoptiller.ServerError, nil, n, true, nil
	case meta.Busy:
		return hoptiller.Full, nil, n, true, nil
	case meta.Miss:
		return hoptiller.Miss, nil, n, true, nil
	}
	if inv.Write != (a.Kind == meta.Stored) {
		return 0, nil, 0, false, meta.ErrAnswer
	}
	return hoptiller.OK, a.Data, n, true, nil
}
