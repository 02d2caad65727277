package provider

import (
	"cmp"
	"context"
	"errors"
	"net"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
)

// A connection whose first call has waited for overdue typical times, and for overdueLeast, gets no more
// calls while there is another way: it may have fallen silent, and whatever is behind that call waits too.
const (
	overdue      = 8
	overdueLeast = 20 * time.Millisecond
	overdueMost  = 2 // connections that may be so before it takes a later call's answer to tell them from a slow server
)

// connect finds a connection for a call and counts the call as on it: one that is idle, else the
// one with the fewest calls, else a new one. A new one costs the server as much work as a good part of a
// call does, and its first call two round trips, which is more than a short wait behind another call.
// Without a connection it tells why.
func (p *Pool) connect(ctx context.Context, id uint32) (*conn, hoptiller.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.Phase != hoptiller.Ready || ctx.Err() != nil {
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
	case !full && (c == nil || c.load >= p.share()):
		return p.open(ctx, s)
	}
	c.load++
	return c, hoptiller.OK
}

// share is how many calls share a connection before another one is opened. While there are long values none do:
// whatever waits behind one would wait for its client too.
func (p *Pool) share() int {
	if !p.longAt.IsZero() && time.Since(p.longAt) < longLately {
		return 1
	}
	return p.set.Share
}

// longestDial is how long a connection may take to come up where the platform does not say.
const longestDial = 2 * time.Second

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

// open opens a connection for a call. p.mu is held, but not while it waits. One whose call is given up meanwhile comes up
// all the same and is there for the next call: the server has done its work for it by then.
func (p *Pool) open(ctx context.Context, s *server) (c *conn, status hoptiller.Status) {
	s.dialing++
	p.total++
	addr, started, wanted := s.Addr, s.Started, true
	done := make(chan struct{})
	p.mu.Unlock()
	go func() {
		defer close(done)
		nc, reader, err := p.dial(addr)
		p.mu.Lock()
		defer p.mu.Unlock()
		s.dialing--
		if err == nil && (s.Addr != addr || s.Started != started) {
			nc.Close()
			err = errMoved
		}
		if err != nil {
			p.total--
			return
		}
		c = &conn{Conn: nc, pool: p, server: s, idleAt: time.Now()}
		s.conns = append(s.conns, c)
		go c.read(reader)
		if wanted {
			c.load++
		} else {
			c.dropIfUnused()
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	p.mu.Lock()
	switch wanted = false; {
	case c != nil:
		return c, hoptiller.OK
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, hoptiller.Moot
	}
	return nil, hoptiller.ConnectFailed
}

func (p *Pool) dial(addr string) (net.Conn, *buffer.Reader, error) {
	dialer := net.Dialer{Timeout: cmp.Or(p.set.ConnectTimeout, longestDial), KeepAlive: -1}
	nc, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	reader, err := buffer.NewReader(nc)
	if err != nil {
		nc.Close()
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
		case c.ending || c.body != nil:
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
